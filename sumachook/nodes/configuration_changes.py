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

HTTP_STATUS = {Outcome.ACCEPTED: 200, Outcome.REJECTED: 422, Outcome.STALE: 409}
FIRST_RESEND_DELAY = timedelta(seconds=0.4)  # delay until a proposal is sent again; doubled each time
READ_RETRY_DELAY = timedelta(seconds=0.2)
MIN_TIME_FOR_RETRY = timedelta(seconds=2)  # a failed read is retried only if this much time remains
CALLER_TIMEOUT = timedelta(seconds=1)  # time without a response after which a caller asks another core
MAX_READ_TIME = timedelta(seconds=0.5)
REVERSIBLE_CHANGES = (Evacuate, Restore)  # changes that a later change may undo
MAX_PENDING_CHANGES = 128
RETRY_AFTER_UNCLEAR_S = 0.2
RETRY_AFTER_OVERLOAD_S = 2
RETRY_AFTER_UNACKNOWLEDGED_S = 5


@dataclass(slots=True)
class PendingChange:
    """An operator's change request and its progress from the linearizable read to the delivery of its entry."""

    call_id: CallId
    number: int
    change: OperatorChange
    started_at: timedelta
    answer_by: timedelta
    retry_read_at: timedelta | None = None  # when to retry the linearizable read
    read_number: int | None = None  # number of the last entry delivered before the read completed; None before
    entry: OperatorCall | None = None  # the proposed log entry; None until it is proposed
    propose_at: timedelta | None = None
    resend_delay: timedelta = FIRST_RESEND_DELAY
    was_proposed: bool = False
    entry_number: int = 0
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
    pending_changes: dict[int, PendingChange] = field(default_factory=dict)
    last_number: int = 0

    # the request ------------------------------------------------------------------

    def accept(self, call_id: CallId, change: OperatorChange, now: timedelta) -> Sequence[ReadRequested | Reply]:
        """Starts a syntactically valid change with a linearizable read; it is checked against the state at delivery."""
        if len(self.pending_changes) >= MAX_PENDING_CHANGES:
            reason = f"{MAX_PENDING_CHANGES} orders wait"
            return [fault_reply(call_id, 503, "too-many", reason, RETRY_AFTER_OVERLOAD_S, applied="no")]
        self.last_number += 1
        pending = PendingChange(call_id, self.last_number, change, now, now + self.answer_within)
        self.pending_changes[self.last_number] = pending
        return [ReadRequested(self.read_token(pending))]

    def read_token(self, pending: PendingChange) -> str:
        """Returns the token of the linearizable read that precedes the proposal of a change."""
        return f"order-{pending.number}"

    def change_awaiting_read(self, token: str) -> PendingChange | None:
        """Returns the change that waits for the read with this token, or None."""
        name, _, number = token.partition("-")
        pending = self.pending_changes.get(int(number)) if name == "order" else None
        return pending if pending is not None and pending.read_number is None else None

    def schedule_read_retry(self, pending: PendingChange, now: timedelta) -> bool:
        """Schedules a retry of a failed read; returns False if the caller should rather ask another core."""
        has_time = pending.answer_by - now > MIN_TIME_FOR_RETRY
        read_by = now + READ_RETRY_DELAY + MAX_READ_TIME
        may_wait = not isinstance(pending.change, REVERSIBLE_CHANGES) or not self._may_be_superseded(pending, read_by)
        pending.retry_read_at = now + READ_RETRY_DELAY if has_time and may_wait else None
        return pending.retry_read_at is not None

    def _may_be_superseded(self, pending: PendingChange, now: timedelta) -> bool:
        """Returns whether another core may have answered the caller, who may have requested the opposite since."""
        return isinstance(pending.change, REVERSIBLE_CHANGES) and now - pending.started_at > CALLER_TIMEOUT

    def remove(self, pending: PendingChange) -> None:
        """Drops a change that has been answered."""
        self.pending_changes.pop(pending.number, None)

    def handle_disconnect(self, call_id: CallId) -> None:
        """Drops the changes of a caller that disconnected; they are not proposed any more."""
        for pending in [pending for pending in self.pending_changes.values() if pending.call_id == call_id]:
            self.remove(pending)

    # proposals -------------------------------------------------------------------

    def handle_completed_read(self, token: str, now: timedelta) -> None:
        """Handles a completed read: the state is as new as the request, so the change is proposed at the next tick."""
        pending = self.change_awaiting_read(token)
        if pending is None:
            return
        if self._may_be_superseded(pending, now):
            pending.answer_by = now
            return
        pending.read_number = self.state.number
        pending.entry = OperatorCall(
            self.origin, pending.number, pending.read_number, self._entry_content(pending.change)
        )
        # by the next tick, a disconnect of the caller while its request lay in a buffer has been noticed
        pending.propose_at = now

    def _entry_content(self, change: OperatorChange) -> OperatorChange:
        """Returns the change for the log entry; for a configuration that can be checked by its digest, the digest."""
        return self.state.compact_form(change) if isinstance(change, Configure) else change

    def _propose(self, pending: PendingChange, now: timedelta) -> ProposeChange:
        pending.was_proposed = True
        pending.propose_at = now + pending.resend_delay
        pending.resend_delay *= 2
        return ProposeChange(pending.entry)

    def handle_delivery(
        self, number: int, attempt: Attempt, result: ChangeResult, version: int, now: timedelta
    ) -> None:
        """Records the result of a delivered entry; the first delivery decides, later copies are ignored."""
        pending = self.pending_changes.get(attempt.number) if attempt.origin == self.origin else None
        if pending is not None and pending.result is None:
            pending.entry_number = number
            pending.result = result
            pending.version = version
            pending.delivered_at = now

    # responses --------------------------------------------------------------------

    def tick(
        self, live: Sequence[str], confirmed: Mapping[str, int], now: timedelta
    ) -> list[ReadRequested | ProposeChange | Reply]:
        """Returns the responses, reads and proposals that are due; `live` contains the names of the live edges."""
        effects: list[ReadRequested | ProposeChange | Reply] = [*self.answer_finished(live, confirmed, now)]
        for pending in list(self.pending_changes.values()):
            if pending.result is not None:
                continue
            if now >= pending.answer_by:
                self.remove(pending)
                effects.append(self._answer_unacknowledged(pending))
            elif pending.read_number is None and pending.retry_read_at is not None and now >= pending.retry_read_at:
                pending.retry_read_at = None
                effects.append(ReadRequested(self.read_token(pending)))
            elif pending.propose_at is not None and now >= pending.propose_at:
                effects.append(self._propose(pending, now))
        return effects

    def close(self) -> list[Reply]:
        """Answers all pending changes as unacknowledged: this core shuts down before it can learn their results."""
        pending_changes, self.pending_changes = list(self.pending_changes.values()), {}
        return [self._answer_unacknowledged(pending) for pending in pending_changes]

    def answer_finished(self, live: Sequence[str], confirmed: Mapping[str, int], now: timedelta) -> list[Reply]:
        """Answers changes that all live edges have confirmed, that were rejected, or that waited `confirm_within`."""
        replies = []
        confirmed_by_all = min((confirmed.get(node, 0) for node in live), default=None)
        for pending in list(self.pending_changes.values()):
            if pending.result is None:
                continue
            is_confirmed = confirmed_by_all is None or pending.entry_number <= confirmed_by_all
            is_due = now >= min(pending.delivered_at + self.confirm_within, pending.answer_by)
            if is_confirmed or is_due or pending.result.outcome is not Outcome.ACCEPTED:
                self.remove(pending)
                replies.append(self._answer(pending, pending.result, live, confirmed))
        return replies

    def _answer(
        self, pending: PendingChange, result: ChangeResult, live: Sequence[str], confirmed: Mapping[str, int]
    ) -> Reply:
        request = pending.change.request
        if result.outcome is Outcome.UNKNOWN:
            reason = result.issues[0].reason
            return fault_reply(
                pending.call_id, 503, "unclear", reason, RETRY_AFTER_UNCLEAR_S, applied="maybe", request=request
            )
        body: dict[str, Any] = {
            "result": result.outcome.value,
            "request": request,
            "number": pending.entry_number,
            "version": pending.version,
        }
        if result.outcome is Outcome.ACCEPTED:
            unconfirmed = [node for node in live if confirmed.get(node, 0) < pending.entry_number]
            body["generation"] = result.revision
            body["confirmed"] = [node for node in live if node not in unconfirmed]
            body["unconfirmed"] = unconfirmed
            if isinstance(pending.change, Configure):
                body["carried"] = carried_fields(pending.change.document)[:MAX_CARRIED_SHOWN]
        else:
            body["faults"] = [{"path": path, "reason": reason} for path, reason in result.issues]
        return reply(pending.call_id, HTTP_STATUS[result.outcome], body)

    def _answer_unacknowledged(self, pending: PendingChange) -> Reply:
        """Answers a change without a result; if proposed, it may still be delivered, and sending it again is safe."""
        reason = "no working view acknowledged it; repeat it to learn or finish it"
        return fault_reply(
            pending.call_id,
            503,
            "not-acknowledged",
            reason,
            RETRY_AFTER_UNACKNOWLEDGED_S,
            applied="maybe" if pending.was_proposed else "no",
            request=pending.change.request,
        )
