"""Applies committed entries to a core's state and notifies the components that depend on it."""

from datetime import timedelta
from typing import TYPE_CHECKING, Any

from sumachook.changefeed.events import EntryDelivered, ServeRequested, SnapshotRestored
from sumachook.configuration.carried_fields import MAX_CARRIED_SHOWN, carried_fields
from sumachook.configuration.difference import FIELDS, LISTS
from sumachook.consensus import events as consensus_events
from sumachook.consensus.effects import Compact, Deliver, Restore
from sumachook.control_state.change_attempts import Attempt
from sumachook.control_state.changes import (
    Configure,
    ConfigureByDifference,
    OperatorCall,
    OperatorChange,
    read_change,
    tag_of,
)
from sumachook.control_state.results import ChangeResult
from sumachook.host.effects import Effect, Log
from sumachook.placement.events import StateChanged

if TYPE_CHECKING:
    from sumachook.nodes.core import Core


class StateDelivery:
    """Applies committed entries and snapshots; notifies the change feed, placement and pending operator changes."""

    __slots__ = ("core",)

    def __init__(self, core: "Core") -> None:
        self.core = core

    def handle_deliver(self, effect: Deliver, now: timedelta) -> list[Any]:
        """Applies one committed entry and passes it to the change feed."""
        core = self.core
        change = read_change(effect.entry)
        result = core.state.apply(effect.number, change)
        effects: list[Any] = core.source.take(EntryDelivered(effect.number, effect.entry), now)
        core.placer.take(StateChanged(), now)
        effects += core.provisioner.take(StateChanged(), now)
        if isinstance(change, OperatorCall):
            effects.append(self._record_result(effect.number, change, result, now))
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

    def handle_restore(self, effect: Restore, now: timedelta) -> list[Any]:
        """Replaces the state with a snapshot."""
        core = self.core
        core.state.restore(effect.state)
        core.state.number = effect.number
        core.placer.take(StateChanged(), now)
        core.provisioner.take(StateChanged(), now)
        return core.source.take(SnapshotRestored(effect.number), now)

    def handle_compact(self, effect: Compact, now: timedelta) -> list[Effect]:
        """Compacts a long log; while the disk accepts no writes, the log stays as it is."""
        core = self.core
        return core.consensus.take(consensus_events.LogCompacted(), now) if core.is_disk_available else []

    def handle_serve(self, event: ServeRequested, now: timedelta) -> list[Any]:
        """Sends entries that were delivered together to the followers in one batch."""
        return [*self.core.source.take(event, now), *self.answer_finished_changes(now)]

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
