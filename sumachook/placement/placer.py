"""The placer: plans replicas and orders loads on model servers while this core holds the placement lease."""

from datetime import timedelta
from typing import Any, NamedTuple

from reactivex import operators as ops
from reactivex.subject import Subject

from sumachook.calls.run_status import CallFailure
from sumachook.control_state.changes import PlaceReplicas, UpdateLoadedModels
from sumachook.control_state.effects import ProposeChange
from sumachook.host.effects import Effect, Fetch, Log
from sumachook.host.events import CallFailed, Event, MessageReceived, ResponseReceived
from sumachook.leases.timing import ORDER_TIMEOUT
from sumachook.placement.call_ids import PLACER, OrderId, PollId
from sumachook.placement.events import LeaseTick, StateChanged
from sumachook.placement.messages import DemandReport
from sumachook.placement.orders import LOAD, READY, ServerOrder, plan_orders
from sumachook.placement.plan import Pair, plan_pairs
from sumachook.requests.model_server_api import ModelServerApi

ORDER_OUTCOME_WITHIN = ORDER_TIMEOUT * 3  # time after which the outcome of an order counts as lost
POLL_TIMEOUT = timedelta(seconds=1.5)  # longer than the poll interval: a slow response still counts
DEMAND_HALF_LIFE = timedelta(seconds=60)  # long enough that the plan does not follow short bursts
MIN_DEMAND = 0.05  # decayed request counts below this are dropped
MODELS = "models"
ADAPTERS = "adapters"
ORDER = "order"
WARM = "warm"  # status of a model or adapter that became ready less than `WARM_UP_TIME` ago
COMPONENT = "placement"

Items = dict[str, str]  # {model or adapter: status} of one server
ItemAtServer = tuple[str, str]


class SentOrder(NamedTuple):
    """An order whose effect no poll has shown yet, and the number of polls since it was sent."""

    verb: str
    reads: int


class UnansweredOrder(NamedTuple):
    """An order whose call has not ended, the gigabytes that it loads from the store, and when it was sent."""

    gigabytes: float
    sent_at: timedelta


class UnconfirmedLoad(NamedTuple):
    """A load that may have begun although its call failed: its size stays counted against the store's burst."""

    gigabytes: float
    failed_at: timedelta


class Backoff(NamedTuple):
    """Delays the retry of a refused order to `until`; `pause` doubles with each refusal."""

    until: timedelta
    pause: timedelta


class Placer:
    """Polls the model servers, proposes their contents and the plan, and orders loads within the store's budget.

    Parameters
    ----------
    state : the replicated control state
    now : the time on this core's monotonic clock
    """

    __slots__ = (
        "state",
        "port",
        "fence",
        "call_number",
        "demand",
        "demand_at",
        "state_changes",
        "needs_plan",
        "actual",
        "models",
        "failures",
        "unreachable",
        "ready_since",
        "next_poll_at",
        "next_plan_at",
        "held_proposed_at",
        "pairs_proposed_at",
        "budget",
        "budget_at",
        "in_flight",
        "unanswered",
        "unconfirmed",
        "refused",
    )

    POLL_INTERVAL = timedelta(seconds=0.8)
    PLAN_INTERVAL = timedelta(seconds=4)  # interval of planning without other changes, to follow demand
    WARM_UP_TIME = timedelta(seconds=6)  # time after a load in which edges limit the requests to the item
    # base of the intervals at which proposals, which may be lost, are sent again, and of the backoff of refused orders
    RESEND_INTERVAL = timedelta(seconds=1)
    UNCONFIRMED_TIMEOUT = timedelta(seconds=30)  # after this time an unconfirmed load has ended; no load takes longer
    MAX_READS = 5  # number of polls without the effect of an order after which the order counts as lost
    MAX_BACKOFF = timedelta(seconds=60)
    UNREACHABLE_AFTER = 3  # consecutive failed polls until a server counts as unreachable

    def __init__(self, state: Any, now: timedelta):
        self.state = state
        self.port = ModelServerApi()
        self.fence = 0
        self.call_number = 0
        self.demand: dict[str, float] = {}
        self.demand_at = now
        self.needs_plan = True
        self._watch_state()
        self._start_lease(now)

    def _watch_state(self) -> None:
        """Requests a plan whenever its inputs change; the subscription ends with the first exception."""
        self.state_changes: Subject[Any] = Subject()
        plan_inputs = self.state_changes.pipe(ops.map(_plan_inputs))
        plan_inputs.pipe(ops.distinct_until_changed()).subscribe(self._request_plan)

    def _request_plan(self, _: Any) -> None:
        self.needs_plan = True

    def _start_lease(self, now: timedelta) -> None:
        """Resets what is known of the servers until they are polled, and starts with an empty budget for the store."""
        self.actual: dict[str, Items] = {}
        self.models: dict[str, Items] = {}
        self.failures: dict[str, int] = {}
        self.unreachable: set[str] = set()
        self.ready_since: dict[ItemAtServer, timedelta] = {}
        self.next_poll_at = now
        self.next_plan_at = now + self.POLL_INTERVAL * 2
        self.held_proposed_at = now - self.RESEND_INTERVAL
        self.pairs_proposed_at = now - self.RESEND_INTERVAL
        self.budget = 0.0
        self.budget_at = now
        self.in_flight: dict[ItemAtServer, SentOrder] = {}
        self.unanswered: dict[str, UnansweredOrder] = {}
        self.unconfirmed: dict[str, UnconfirmedLoad] = {}
        self.refused: dict[ItemAtServer, Backoff] = {}

    def restart(self, now: timedelta) -> list[Effect]:
        """Starts anew under the same lease after a failure, which may have lost calls that count as unanswered.

        Loads that may be running stay counted against the store's burst.
        """
        for server, order in self.unanswered.items():
            self.unconfirmed.setdefault(server, UnconfirmedLoad(order.gigabytes, now))
        unconfirmed = self.unconfirmed
        self._start_lease(now)
        self.unconfirmed = unconfirmed
        self.needs_plan = True
        self._watch_state()
        return []

    def take(self, event: Event, now: timedelta) -> list[Effect]:
        """Handles a tick, a state change, a demand report, or the result of a call."""
        match event:
            case LeaseTick(fence=fence):
                return self._handle_tick(fence, now)
            case StateChanged():
                self.state_changes.on_next(self.state)
            case MessageReceived(message=DemandReport(counts=counts)):
                self._record_demand(counts, now)
            case ResponseReceived(call_id=call_id) | CallFailed(call_id=call_id):
                return self._handle_call(call_id, event, now)
        return []

    # demand --------------------------------------------------------------------------

    def _record_demand(self, counts: dict[str, float], now: timedelta) -> None:
        self._decay_demand(now)
        for name, count in counts.items():
            self.demand[name] = self.demand.get(name, 0.0) + count

    def _decay_demand(self, now: timedelta) -> None:
        if now - self.demand_at <= timedelta(seconds=1):
            return
        factor = 0.5 ** ((now - self.demand_at) / DEMAND_HALF_LIFE)
        self.demand = {name: count * factor for name, count in self.demand.items() if count * factor > MIN_DEMAND}
        self.demand_at = now

    # ticks and the store's budget ----------------------------------------------------

    def _handle_tick(self, fence: int, now: timedelta) -> list[Effect]:
        if fence != self.fence:
            self.fence = fence
            self._start_lease(now)
        if not fence or self.state.catalogue is None:
            return []
        self._decay_demand(now)
        self._fill_budget(now)
        effects: list[Effect] = []
        if now >= self.next_poll_at:
            self.next_poll_at = now + self.POLL_INTERVAL
            effects += self._poll()
        return effects + self._propose_loaded_models(now) + self._propose_pairs(now) + self._send_orders(now)

    def _fill_budget(self, now: timedelta) -> None:
        """Refills the budget of gigabytes to load from the store; loads that may be running reduce the burst."""
        self._end_overdue_orders(now)
        store = self.state.catalogue.store
        self.unconfirmed = {
            name: load
            for name, load in self.unconfirmed.items()
            if now - load.failed_at < self.UNCONFIRMED_TIMEOUT and name in self.state.servers
        }
        taken = sum(order.gigabytes for order in self.unanswered.values()) + sum(
            load.gigabytes for load in self.unconfirmed.values()
        )
        earned = store.pace * (now - self.budget_at).total_seconds()
        self.budget = min(max(0.0, store.burst - taken), self.budget + earned)
        self.budget_at = now

    def _end_overdue_orders(self, now: timedelta) -> None:
        """Treats orders whose outcome was lost as unconfirmed, so that their servers get orders again."""
        for server, order in list(self.unanswered.items()):
            if now - order.sent_at > ORDER_OUTCOME_WITHIN:
                del self.unanswered[server]
                self.unconfirmed[server] = UnconfirmedLoad(order.gigabytes, now)

    def _servers(self) -> dict[str, dict[str, Any]]:
        return {name: server for name, server in self.state.servers.items() if server["kind"] == "model"}

    # polling of the servers ----------------------------------------------------------

    def _poll(self) -> list[Effect]:
        return [self._read(MODELS, name, server, self.port.MODELS) for name, server in self._servers().items()]

    def _read(self, kind: str, name: str, server: dict[str, Any], call: Any) -> Fetch:
        self.call_number += 1
        return _fetch(PollId(PLACER, self.fence, kind, name, self.call_number), server, call, POLL_TIMEOUT)

    def _handle_call(
        self, call_id: PollId | OrderId, event: ResponseReceived | CallFailed, now: timedelta
    ) -> list[Effect]:
        server = self.state.servers.get(call_id.server)
        if call_id.fence != self.fence or server is None:
            return []
        if isinstance(call_id, OrderId):
            return self._handle_order_answer(call_id, event, now)
        items = self._read_items(call_id.kind, event)
        if items is None:
            return self._handle_failed_read(call_id.server)
        if call_id.kind == MODELS:
            self.models[call_id.server] = items
            return [self._read(ADAPTERS, call_id.server, server, self.port.ADAPTERS)]
        self.failures[call_id.server] = 0
        if call_id.server in self.unreachable:
            self.unreachable.discard(call_id.server)
            self.needs_plan = True
        self._record_items(call_id.server, {**self.models.get(call_id.server, {}), **items}, now)
        return []

    def _read_items(self, kind: str, event: ResponseReceived | CallFailed) -> Items | None:
        if not isinstance(event, ResponseReceived) or event.status != 200:
            return None
        read: Any = self.port.read_models if kind == MODELS else self.port.read_adapters
        items: Items | None = read(event.body)
        return items

    def _handle_failed_read(self, name: str) -> list[Effect]:
        self.failures[name] = self.failures.get(name, 0) + 1
        if self.failures[name] != self.UNREACHABLE_AFTER:
            return []
        self.unreachable.add(name)
        self.actual.pop(name, None)
        self.needs_plan = True
        return [Log("warning", COMPONENT, "Model server is unreachable.", {"server": name})]

    def _record_items(self, name: str, items: Items, now: timedelta) -> None:
        """Records the contents of a server, and drops its orders that took effect or had none after `MAX_READS` polls.

        Polls are counted rather than seconds, because a frozen server has had no time to carry out anything.
        """
        before = self.actual.get(name)
        self.actual[name] = items
        self.unconfirmed.pop(name, None)
        for (server, item), sent in list(self.in_flight.items()):
            if server != name:
                continue
            has_taken_effect = (sent.verb == LOAD) == (item in items)
            if has_taken_effect or sent.reads >= self.MAX_READS:
                del self.in_flight[(server, item)]
            else:
                self.in_flight[(server, item)] = SentOrder(sent.verb, sent.reads + 1)
        for item, status in items.items():
            if status == READY and before is not None and before.get(item) != READY:
                self.ready_since[(name, item)] = now

    # proposals to the control state --------------------------------------------------

    def _propose_loaded_models(self, now: timedelta) -> list[Effect]:
        """Proposes the contents of servers that differ from the control state."""
        if now - self.held_proposed_at < self.RESEND_INTERVAL / 4:
            return []
        changed: dict[str, Items | None] = {}
        for name in self._servers():
            if name in self.unreachable:
                items = None
            elif name in self.actual:
                items = {item: self._status_of(name, item, status, now) for item, status in self.actual[name].items()}
            else:
                continue
            if items != self.state.model_statuses.get(name):
                changed[name] = items
        if not changed or now - self.held_proposed_at < self.RESEND_INTERVAL / 2:
            return []
        self.held_proposed_at = now
        return [ProposeChange(UpdateLoadedModels(self.fence, changed))]

    def _status_of(self, name: str, item: str, status: str, now: timedelta) -> str:
        ready_since = self.ready_since.get((name, item), -self.WARM_UP_TIME)
        return WARM if status == READY and now - ready_since < self.WARM_UP_TIME else status

    def _propose_pairs(self, now: timedelta) -> list[Effect]:
        """Proposes a changed plan; does not plan before every server was polled or found unreachable."""
        is_due = now >= self.next_plan_at or (
            self.needs_plan and now >= self.pairs_proposed_at + self.RESEND_INTERVAL / 2
        )
        servers = self._servers()
        is_read = all(name in self.actual or name in self.unreachable for name in servers)
        if not is_due or not servers or not is_read:
            return []
        self.next_plan_at = now + self.PLAN_INTERVAL
        self.needs_plan = False
        pairs = self._planned_pairs()
        if pairs == self.state.pairs:
            return []
        self.pairs_proposed_at = now
        self.needs_plan = True
        return [ProposeChange(PlaceReplicas(self.fence, pairs))]

    def _planned_pairs(self) -> dict[str, Pair]:
        state = self.state
        return plan_pairs(
            state.catalogue, state.servers, state.evacuated, self.unreachable, self.demand, state.pairs, self.actual
        )

    # orders to the servers -----------------------------------------------------------

    def _send_orders(self, now: timedelta) -> list[Effect]:
        """Sends the planned orders, with at most one unanswered order per server."""
        servers = {name: server for name, server in self._servers().items() if self._may_order(name, server)}
        if not servers or not self.state.pairs:
            return []
        planned = plan_orders(
            self.state.catalogue,
            servers,
            self.state.pairs,
            self.demand,
            actual={name: self.actual[name] for name in servers},
            in_flight={key: sent.verb for key, sent in self.in_flight.items()},
            budget=self.budget,
            backing_off={key for key, backoff in self.refused.items() if now < backoff.until},
        )
        self.budget -= planned.gigabytes
        effects: list[Effect] = []
        for order in planned.orders:
            if order.server in self.unanswered:
                self.budget += order.gigabytes if order.verb == LOAD else 0.0
                continue
            effects += self._send_order(order, servers[order.server], now)
        return effects

    def _may_order(self, name: str, server: dict[str, Any]) -> bool:
        """Returns whether a server was polled, is not leaving, is in an open zone, and has no unanswered order."""
        return (
            name in self.actual
            and name not in self.unanswered
            and name not in self.unconfirmed
            and not server["leaving"]
            and self.state.is_open(server["area"])
        )

    def _send_order(self, order: ServerOrder, server: dict[str, Any], now: timedelta) -> list[Effect]:
        self.unanswered[order.server] = UnansweredOrder(order.gigabytes, now)
        self.in_flight[(order.server, order.item)] = SentOrder(order.verb, 0)
        self.call_number += 1
        call_id = OrderId(PLACER, self.fence, ORDER, order.server, order.verb, order.item, self.call_number)
        call = self.port.order(order.verb, order.kind, order.item, self.fence)
        details = {"server": order.server, "verb": order.verb, "item": order.item, "fence": self.fence}
        return [
            _fetch(call_id, server, call, ORDER_TIMEOUT),
            Log("info", COMPONENT, "Sending an order to a model server.", details),
        ]

    def _handle_order_answer(
        self, call_id: OrderId, event: ResponseReceived | CallFailed, now: timedelta
    ) -> list[Effect]:
        name, item = call_id.server, call_id.item
        unanswered = self.unanswered.pop(name, UnansweredOrder(0.0, now))
        if isinstance(event, ResponseReceived) and event.status == 200:
            self.refused.pop((name, item), None)
            return []
        may_have_begun = isinstance(event, CallFailed) and not CallFailure(event.failure).was_before_first_byte
        if not may_have_begun:
            self.in_flight.pop((name, item), None)
        elif call_id.verb == LOAD:
            self.unconfirmed[name] = UnconfirmedLoad(unanswered.gigabytes, now)
        last_pause = self.refused.get((name, item), Backoff(now, self.RESEND_INTERVAL)).pause
        pause = min(self.MAX_BACKOFF, last_pause * 2)
        self.refused[(name, item)] = Backoff(now + pause, pause)
        reason = event.status if isinstance(event, ResponseReceived) else CallFailure(event.failure).value
        details = {"server": name, "verb": call_id.verb, "item": item, "answer": str([reason])}
        return [Log("warning", COMPONENT, "Order was not accepted.", details)]


def _fetch(call_id: PollId | OrderId, server: dict[str, Any], call: Any, timeout: timedelta) -> Fetch:
    method, path, headers, body = call
    return Fetch(call_id, method, f"http://{server['address']}{path}", headers, body, timeout, timeout, "whole")


def _plan_inputs(state: Any) -> tuple[Any, ...]:
    """Returns the parts of the control state that a plan depends on, to detect changes."""
    servers = sorted((name, item["area"], item["leaving"], item["memory"]) for name, item in state.servers.items())
    return state.generation, state.evacuated, tuple(servers)
