"""Operators' changes at a core, from the HTTP request through the proposal to the response."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any

from sumachook.configuration.carried_fields import MAX_CARRIED_SHOWN, carried_fields
from sumachook.consensus.events import ReadRequested
from sumachook.control_state.change_attempts import Attempt
from sumachook.control_state.changes import Configure, Evacuate, OperatorCall, OperatorChange, Restore
from sumachook.control_state.effects import ProposeChange
from sumachook.control_state.results import ChangeResult, Outcome
from sumachook.control_state.state import State
from sumachook.host.effects import Reply
from sumachook.host.events import CallId
from sumachook.nodes.replies import fault_reply, reply

STATUS = {Outcome.ACCEPTED: 200, Outcome.REJECTED: 422, Outcome.STALE: 409}
FIRST_RESEND_DELAY = timedelta(seconds=0.4)  # before a proposal is sent again; doubled each time
READ_RETRY_DELAY = timedelta(seconds=0.2)
MIN_TIME_FOR_RETRY = timedelta(seconds=2)  # a failed read is retried only if this much time remains
CALLER_TIMEOUT = timedelta(seconds=1)  # a caller without a response for so long sends its change to another core
MAX_READ_TIME = timedelta(seconds=0.5)
REVERSIBLE = (Evacuate, Restore)  # changes that a later change may undo
MAX_ORDERS = 128
RETRY_AFTER_UNCLEAR_S = 0.2
RETRY_AFTER_OVERLOAD_S = 2
RETRY_AFTER_UNACKNOWLEDGED_S = 5


@dataclass(slots=True)
class Order:
    """An operator's change request and its progress from the linearizable read to the delivery of its entry."""

    call_id: CallId
    number: int
    change: OperatorChange
    started_at: timedelta
    answer_by: timedelta
    read_at: timedelta | None = None  # when to retry the linearizable read
    seen: int | None = None  # number of the last delivered entry when the linearizable read completed; None before
    entry: OperatorCall | None = None  # the proposed log entry
    propose_at: timedelta | None = None
    resend_delay: timedelta = FIRST_RESEND_DELAY
    was_proposed: bool = False
    delivered_as: int = 0
    result: ChangeResult | None = None
    version: int = 0
    delivered_at: timedelta = timedelta(0)  # when the entry that decided the result was delivered


@dataclass(slots=True)
class ConfigurationChanges:
    """Accepts operators' change requests; returns `ReadRequested`, `ProposeChange` and a `Reply` to each request.

    A linearizable read comes first: a change is proposed only after the read has completed and while its caller is
    still connected, with the number of the last entry delivered by then (`Attempt.seen`). Only the delivery of its own
    entry decides the response. No other core proposes it, and this core stops once it has responded or its caller has
    disconnected.
    """

    origin: str
    state: State
    confirm_within: timedelta = timedelta(seconds=2)
    answer_within: timedelta = timedelta(seconds=6)
    orders: dict[int, Order] = field(default_factory=dict)
    last_number: int = 0

    # the request ------------------------------------------------------------------

    def accept(self, call_id: CallId, change: OperatorChange, now: timedelta) -> Sequence[ReadRequested | Reply]:
        """Starts a syntactically valid change with a linearizable read; it is checked against the state at delivery."""
        if len(self.orders) >= MAX_ORDERS:
            reason = f"{MAX_ORDERS} orders wait"
            return [fault_reply(call_id, 503, "too-many", reason, RETRY_AFTER_OVERLOAD_S, applied="no")]
        self.last_number += 1
        order = Order(call_id, self.last_number, change, now, now + self.answer_within)
        self.orders[self.last_number] = order
        return [ReadRequested(self.token(order))]

    def token(self, order: Order) -> str:
        """Returns the token of the linearizable read that precedes the proposal of a change."""
        return f"order-{order.number}"

    def order_of(self, token: str) -> Order | None:
        """Returns the change that waits for the read with this token, or None."""
        name, _, number = token.partition("-")
        order = self.orders.get(int(number)) if name == "order" else None
        return order if order is not None and order.seen is None else None

    def read_again(self, order: Order, now: timedelta) -> bool:
        """Schedules a retry of a failed read; returns False if the caller should rather ask another core."""
        has_time = order.answer_by - now > MIN_TIME_FOR_RETRY
        read_by = now + READ_RETRY_DELAY + MAX_READ_TIME
        may_wait = not isinstance(order.change, REVERSIBLE) or not self._is_late(order, read_by)
        order.read_at = now + READ_RETRY_DELAY if has_time and may_wait else None
        return order.read_at is not None

    def _is_late(self, order: Order, now: timedelta) -> bool:
        """Returns whether another core may have answered the caller, who may have requested the opposite since."""
        return isinstance(order.change, REVERSIBLE) and now - order.started_at > CALLER_TIMEOUT

    def remove(self, order: Order) -> None:
        """Drops a change that has been answered."""
        self.orders.pop(order.number, None)

    def handle_disconnect(self, call_id: CallId) -> None:
        """Drops the changes of a caller that disconnected; they are not proposed any more."""
        for order in [order for order in self.orders.values() if order.call_id == call_id]:
            self.remove(order)

    # proposals -------------------------------------------------------------------

    def readable(self, token: str, now: timedelta) -> None:
        """Handles a completed read: the state is current as of the request, so the change is proposed at the next tick."""
        order = self.order_of(token)
        if order is None:
            return
        if self._is_late(order, now):
            order.answer_by = now
            return
        order.seen = self.state.number
        order.entry = OperatorCall(self.origin, order.number, order.seen, self._content(order.change))
        # by the next tick, a disconnect of the caller while its request lay in a buffer has been noticed
        order.propose_at = now

    def _content(self, change: OperatorChange) -> OperatorChange:
        """Returns the change for the log entry; for a configuration that can be checked by its digest, the digest."""
        return self.state.compact_form(change) if isinstance(change, Configure) else change

    def _propose(self, order: Order, now: timedelta) -> ProposeChange:
        order.was_proposed = True
        order.propose_at = now + order.resend_delay
        order.resend_delay *= 2
        return ProposeChange(order.entry)

    def delivered(self, number: int, attempt: Attempt, result: ChangeResult, version: int, now: timedelta) -> None:
        """Records the result of a delivered entry; the first delivery decides, later copies are ignored."""
        order = self.orders.get(attempt.number) if attempt.origin == self.origin else None
        if order is not None and order.result is None:
            order.delivered_as = number
            order.result = result
            order.version = version
            order.delivered_at = now

    # responses --------------------------------------------------------------------

    def tick(
        self, live: Sequence[str], confirmed: Mapping[str, int], now: timedelta
    ) -> list[ReadRequested | ProposeChange | Reply]:
        """Returns the responses, reads and proposals that are due; `live` contains the names of the live edges."""
        effects: list[ReadRequested | ProposeChange | Reply] = [*self.settle(live, confirmed, now)]
        for order in list(self.orders.values()):
            if order.result is not None:
                continue
            if now >= order.answer_by:
                self.remove(order)
                effects.append(self._answer_unclear(order))
            elif order.seen is None and order.read_at is not None and now >= order.read_at:
                order.read_at = None
                effects.append(ReadRequested(self.token(order)))
            elif order.propose_at is not None and now >= order.propose_at:
                effects.append(self._propose(order, now))
        return effects

    def close(self) -> list[Reply]:
        """Answers all pending changes as unacknowledged: this core shuts down before it can learn their results."""
        orders, self.orders = list(self.orders.values()), {}
        return [self._answer_unclear(order) for order in orders]

    def settle(self, live: Sequence[str], confirmed: Mapping[str, int], now: timedelta) -> list[Reply]:
        """Answers changes that all live edges have confirmed, that were rejected, or that waited `confirm_within`."""
        replies = []
        reached = min((confirmed.get(node, 0) for node in live), default=None)
        for order in list(self.orders.values()):
            if order.result is None:
                continue
            is_reached = reached is None or order.delivered_as <= reached
            is_due = now >= min(order.delivered_at + self.confirm_within, order.answer_by)
            if is_reached or is_due or order.result.outcome is not Outcome.ACCEPTED:
                self.remove(order)
                replies.append(self._answer(order, order.result, live, confirmed))
        return replies

    def _answer(self, order: Order, result: ChangeResult, live: Sequence[str], confirmed: Mapping[str, int]) -> Reply:
        request = order.change.request
        if result.outcome is Outcome.UNKNOWN:
            reason = result.issues[0].reason
            return fault_reply(
                order.call_id, 503, "unclear", reason, RETRY_AFTER_UNCLEAR_S, applied="maybe", request=request
            )
        body: dict[str, Any] = {
            "result": result.outcome.value,
            "request": request,
            "number": order.delivered_as,
            "version": order.version,
        }
        if result.outcome is Outcome.ACCEPTED:
            unconfirmed = [node for node in live if confirmed.get(node, 0) < order.delivered_as]
            body["generation"] = result.revision
            body["confirmed"] = [node for node in live if node not in unconfirmed]
            body["unconfirmed"] = unconfirmed
            if isinstance(order.change, Configure):
                body["carried"] = carried_fields(order.change.document)[:MAX_CARRIED_SHOWN]
        else:
            body["faults"] = [{"path": path, "reason": reason} for path, reason in result.issues]
        return reply(order.call_id, STATUS[result.outcome], body)

    def _answer_unclear(self, order: Order) -> Reply:
        """Answers a change without a result; if proposed, it may still be delivered, and sending it again is safe."""
        reason = "no working view acknowledged it; repeat it to learn or finish it"
        return fault_reply(
            order.call_id,
            503,
            "not-acknowledged",
            reason,
            RETRY_AFTER_UNACKNOWLEDGED_S,
            applied="maybe" if order.was_proposed else "no",
            request=order.change.request,
        )
