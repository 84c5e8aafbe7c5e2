"""Applies committed entries to a core's state and notifies the components that depend on it."""

from collections import deque
from datetime import timedelta
from typing import TYPE_CHECKING, Any, NamedTuple

from sumachook.changefeed.events import EntryDelivered, ServeRequested, SnapshotRestored
from sumachook.configuration.carried_fields import MAX_CARRIED_SHOWN, carried_fields
from sumachook.configuration.difference import FIELDS, LISTS
from sumachook.consensus import events as consensus_events
from sumachook.consensus.effects import Compact, Deliver, Restore
from sumachook.control_state.change_attempts import Attempt
from sumachook.control_state.changes import (
    Change,
    Configure,
    ConfigureByDifference,
    OperatorCall,
    OperatorChange,
    read_change,
    tag_of,
)
from sumachook.control_state.results import ChangeResult
from sumachook.exceptions import SumachookError
from sumachook.host.effects import Effect, Log
from sumachook.host.events import Event
from sumachook.placement.events import StateChanged

if TYPE_CHECKING:
    from sumachook.nodes.core import Core

STATE = "state"  # the name under which failures to apply an entry are counted


class MissingEntryError(SumachookError):
    """Raised for a committed entry whose predecessor was not delivered: the state would lack that entry."""

    def __init__(self, expected: int, delivered: int) -> None:
        super().__init__(f"entry {delivered} was delivered in place of entry {expected}")


class _Delivery(NamedTuple):
    """A committed change that was applied, and its result."""

    change: Change
    result: ChangeResult


class StateDelivery:
    """Applies committed entries and snapshots in order; notifies the change feed, placement and pending changes.

    Consensus counts an entry as delivered when it returns `Deliver`. An entry or snapshot that the state fails to apply
    stays in `waiting`, with all that follow, and is retried at each tick; until it is applied, `is_complete` is false.
    """

    __slots__ = ("core", "waiting")

    def __init__(self, core: "Core") -> None:
        self.core = core
        self.waiting: deque[Deliver | Restore] = deque()

    @property
    def is_complete(self) -> bool:
        """Whether the state has applied every entry that consensus has delivered."""
        return not self.waiting

    def handle_deliver(self, effect: Deliver, now: timedelta) -> list[Any]:
        """Applies one committed entry; an entry that does not follow the last one stops the node."""
        last_number = self.waiting[-1].number if self.waiting else self.core.state.number
        if effect.number != last_number + 1:
            error = MissingEntryError(last_number + 1, effect.number)
            self.core.guard.stop()
            return self.core.guard.record(STATE, effect, error)
        self.waiting.append(effect)
        return self.apply_waiting(now)

    def handle_restore(self, effect: Restore, now: timedelta) -> list[Any]:
        """Replaces the state with a snapshot, which makes the entries that still wait superfluous."""
        self.waiting.clear()
        self.waiting.append(effect)
        return self.apply_waiting(now)

    def apply_waiting(self, now: timedelta) -> list[Any]:
        """Applies what waits, up to the first entry that the state fails to apply."""
        effects: list[Any] = []
        while self.waiting:
            effect = self.waiting[0]
            try:
                delivery = self._apply_with_retry(effect)
            except Exception as error:
                return [*effects, *self.core.guard.record(STATE, effect, error)]
            self.waiting.popleft()
            effects += self._notify(effect, delivery, now)
        return effects

    def _apply_with_retry(self, effect: Deliver | Restore) -> "_Delivery | None":
        """Applies an entry or a snapshot; a failure, which leaves the state as it was, is retried once at once."""
        try:
            return self._apply(effect)
        except Exception:
            return self._apply(effect)

    def _apply(self, effect: Deliver | Restore) -> "_Delivery | None":
        state = self.core.state
        with state.unchanged_on_failure():
            if isinstance(effect, Restore):
                state.restore(effect.state)
                state.number = effect.number
                return None
            change = read_change(effect.entry)
            return _Delivery(change, state.apply(effect.number, change))

    def _notify(self, effect: Deliver | Restore, delivery: "_Delivery | None", now: timedelta) -> list[Any]:
        guard = self.core.guard
        event: Event = SnapshotRestored(effect.number)
        if isinstance(effect, Deliver):
            event = EntryDelivered(effect.number, effect.entry)
        effects = guard.take("source", event, now)
        effects += guard.take("placer", StateChanged(), now)
        effects += guard.take("provisioner", StateChanged(), now)
        if delivery is not None and isinstance(delivery.change, OperatorCall):
            call, result = delivery.change, delivery.result
            effects += guard.run("api", lambda: [self._record_result(effect.number, call, result, now)], effect, now)
        return effects

    def _record_result(self, number: int, call: OperatorCall, result: ChangeResult, now: timedelta) -> Log:
        attempt = Attempt(call.origin, call.number, call.seen)
        self.core.api.configuration_changes.handle_delivery(number, attempt, result, self.core.state.version, now)
        fields: dict[str, Any] = {"number": number, "kind": tag_of(call.change), "result": result.outcome.value}
        content = _configuration_content(call.change)
        if content is not None:
            fields["version"] = self.core.state.version
            fields["carried"] = carried_fields(content)[:MAX_CARRIED_SHOWN]
        return Log("info", "core", "Operator change delivered.", fields)

    def handle_compact(self, effect: Compact, now: timedelta) -> list[Effect]:
        """Compacts a long log; not while the disk accepts no writes, or while the state lacks delivered entries."""
        if not self.core.is_participating:
            return []
        return self.core.guard.take("consensus", consensus_events.LogCompacted(), now)

    def handle_serve(self, event: ServeRequested, now: timedelta) -> list[Any]:
        """Sends entries that were delivered together to the followers in one batch."""
        guard = self.core.guard
        effects = guard.take("source", event, now)
        return effects + guard.run("api", lambda: self.answer_finished_changes(now), event, now)

    def answer_finished_changes(self, now: timedelta) -> list[Any]:
        """Answers operators whose changes the edges have confirmed."""
        core = self.core
        changes = core.api.configuration_changes
        if not changes.pending_changes:
            return []
        return changes.answer_finished(core.peers.alive_edges(), core.source.confirmed, now)


def _configuration_content(change: OperatorChange) -> Any:
    """Returns the document of a configuration change, or the changed parts; None for any other change."""
    match change:
        case Configure():
            return change.document
        case ConfigureByDifference():
            return {**change.difference[FIELDS], **change.difference[LISTS]}
    return None
