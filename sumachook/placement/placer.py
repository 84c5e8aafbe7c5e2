"""The placer: brings model servers nearer to the plan, while this core holds the placement lease."""

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

POLL_TIMEOUT = timedelta(seconds=1.5)  # beyond the next poll: a slow answer still counts
DEMAND_HALF_LIFE = timedelta(seconds=60)  # a plan should not follow every burst
FORGOTTEN_DEMAND = 0.05  # decayed counts below this are dropped
MODELS = "models"
ADAPTERS = "adapters"
ORDER = "order"
WARM = "warm"  # the status of what has been ready for a short time only
COMPONENT = "placement"

Items = dict[str, str]  # {model or adapter: status} of one server
ItemAtServer = tuple[str, str]


class SentOrder(NamedTuple):
    """An order whose result no read has shown yet, and how many reads there were."""

    verb: str
    reads: int


class UnconfirmedLoad(NamedTuple):
    """A load that may have begun though its call failed: its gigabytes stay taken from the store's budget."""

    gigabytes: float
    failed_at: timedelta


class Backoff(NamedTuple):
    """An order that was refused is not sent again before `until`; `pause` doubles each time."""

    until: timedelta
    pause: timedelta


class Placer:
    """Reads what model servers hold, proposes the plan and what is held, and orders loads within the store's budget.

    Parameters
    ----------
    state : the ordered control state
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
    PLAN_INTERVAL = timedelta(seconds=4)  # also without a change, so that the plan follows demand
    WARM_FOR = timedelta(seconds=6)  # edges send little to what has been ready for a shorter time
    RESEND_INTERVAL = timedelta(seconds=1)  # of a proposal that may have been lost
    UNCONFIRMED_FOR = timedelta(seconds=30)  # no load takes longer
    MAX_READS = 5  # after which an order that no read shows counts as lost
    MAX_BACKOFF = timedelta(seconds=60)
    UNREACHABLE_AFTER = 3  # failed reads in a row

    def __init__(self, state: Any, now: timedelta):
        self.state = state
        self.port = ModelServerApi()
        self.fence = 0
        self.call_number = 0
        self.demand: dict[str, float] = {}
        self.demand_at = now
        self.needs_plan = True
        self.state_changes: Subject[Any] = Subject()
        outlines = self.state_changes.pipe(ops.map(_outline))
        outlines.pipe(ops.distinct_until_changed()).subscribe(self._request_plan)
        self._start_lease(now)

    def _request_plan(self, _: Any) -> None:
        self.needs_plan = True

    def _start_lease(self, now: timedelta) -> None:
        """A new holder knows nothing until it has read it from the servers; the store's budget begins empty."""
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
        self.unanswered: dict[str, float] = {}
        self.unconfirmed: dict[str, UnconfirmedLoad] = {}
        self.refused: dict[ItemAtServer, Backoff] = {}

    def take(self, event: Event, now: timedelta) -> list[Effect]:
        """Handle one event."""
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
        self.demand = {name: count * factor for name, count in self.demand.items() if count * factor > FORGOTTEN_DEMAND}
        self.demand_at = now

    # ticks ---------------------------------------------------------------------------

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
        return effects + self._propose_held(now) + self._propose_pairs(now) + self._send_orders(now)

    def _fill_budget(self, now: timedelta) -> None:
        """Gigabytes that may be loaded from the store now; loads that may have begun stay taken from its burst."""
        store = self.state.catalogue.store
        self.unconfirmed = {
            name: load
            for name, load in self.unconfirmed.items()
            if now - load.failed_at < self.UNCONFIRMED_FOR and name in self.state.servers
        }
        taken = sum(self.unanswered.values()) + sum(load.gigabytes for load in self.unconfirmed.values())
        earned = store.pace * (now - self.budget_at).total_seconds()
        self.budget = min(max(0.0, store.burst - taken), self.budget + earned)
        self.budget_at = now

    def _servers(self) -> dict[str, dict[str, Any]]:
        return {name: server for name, server in self.state.servers.items() if server["kind"] == "model"}

    # reads ---------------------------------------------------------------------------

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
        self._learn_items(call_id.server, {**self.models.get(call_id.server, {}), **items}, now)
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
        return [Log("warning", COMPONENT, "A server is dark.", {"server": name})]

    def _learn_items(self, name: str, items: Items, now: timedelta) -> None:
        """Take over what a server says; an order is forgotten once it shows, or after some reads without it.

        Reads are counted, not seconds: a server that froze has not had the time to show anything.
        """
        before = self.actual.get(name)
        self.actual[name] = items
        self.unconfirmed.pop(name, None)
        for (server, item), sent in list(self.in_flight.items()):
            if server != name:
                continue
            is_shown = (sent.verb == LOAD) == (item in items)
            if is_shown or sent.reads >= self.MAX_READS:
                del self.in_flight[(server, item)]
            else:
                self.in_flight[(server, item)] = SentOrder(sent.verb, sent.reads + 1)
        for item, status in items.items():
            if status == READY and before is not None and before.get(item) != READY:
                self.ready_since[(name, item)] = now

    # proposals -----------------------------------------------------------------------

    def _propose_held(self, now: timedelta) -> list[Effect]:
        """Have it ordered what each server holds, where that has changed."""
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
        ready_since = self.ready_since.get((name, item), -self.WARM_FOR)
        return WARM if status == READY and now - ready_since < self.WARM_FOR else status

    def _propose_pairs(self, now: timedelta) -> list[Effect]:
        """Have the plan ordered, where it has changed; there is none before all servers were read."""
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

    # orders --------------------------------------------------------------------------

    def _send_orders(self, now: timedelta) -> list[Effect]:
        """Order what is due: one unanswered order a server."""
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
            not_now={key for key, backoff in self.refused.items() if now < backoff.until},
        )
        self.budget -= planned.gigabytes
        effects: list[Effect] = []
        for order in planned.orders:
            if order.server in self.unanswered:
                self.budget += order.gigabytes if order.verb == LOAD else 0.0
                continue
            effects += self._send_order(order, servers[order.server])
        return effects

    def _may_order(self, name: str, server: dict[str, Any]) -> bool:
        """Only servers that were read, stay, are in an open zone and owe no answer."""
        return (
            name in self.actual
            and name not in self.unanswered
            and name not in self.unconfirmed
            and not server["leaving"]
            and self.state.is_open(server["area"])
        )

    def _send_order(self, order: ServerOrder, server: dict[str, Any]) -> list[Effect]:
        self.unanswered[order.server] = order.gigabytes
        self.in_flight[(order.server, order.item)] = SentOrder(order.verb, 0)
        self.call_number += 1
        call_id = OrderId(PLACER, self.fence, ORDER, order.server, order.verb, order.item, self.call_number)
        call = self.port.order(order.verb, order.kind, order.item, self.fence)
        details = {"server": order.server, "verb": order.verb, "item": order.item, "fence": self.fence}
        return [
            _fetch(call_id, server, call, ORDER_TIMEOUT),
            Log("info", COMPONENT, "Order goes out.", details),
        ]

    def _handle_order_answer(
        self, call_id: OrderId, event: ResponseReceived | CallFailed, now: timedelta
    ) -> list[Effect]:
        name, item = call_id.server, call_id.item
        gigabytes = self.unanswered.pop(name, 0.0)
        if isinstance(event, ResponseReceived) and event.status == 200:
            self.refused.pop((name, item), None)
            return []
        may_have_begun = isinstance(event, CallFailed) and not CallFailure(event.failure).was_before_first_byte
        if not may_have_begun:
            self.in_flight.pop((name, item), None)
        elif call_id.verb == LOAD:
            self.unconfirmed[name] = UnconfirmedLoad(gigabytes, now)
        last_pause = self.refused.get((name, item), Backoff(now, self.RESEND_INTERVAL)).pause
        pause = min(self.MAX_BACKOFF, last_pause * 2)
        self.refused[(name, item)] = Backoff(now + pause, pause)
        reason = event.status if isinstance(event, ResponseReceived) else CallFailure(event.failure).value
        details = {"server": name, "verb": call_id.verb, "item": item, "answer": str([reason])}
        return [Log("warning", COMPONENT, "An order was not taken.", details)]


def _fetch(call_id: PollId | OrderId, server: dict[str, Any], call: Any, timeout: timedelta) -> Fetch:
    method, path, headers, body = call
    return Fetch(call_id, method, f"http://{server['address']}{path}", headers, body, timeout, timeout, "whole")


def _outline(state: Any) -> tuple[Any, ...]:
    """What a plan depends on of the ordered state."""
    servers = sorted((name, item["area"], item["leaving"], item["memory"]) for name, item in state.servers.items())
    return state.generation, state.evacuated, tuple(servers)
