"""The replicated control state, which every core and edge computes from the same ordered changes."""

from collections.abc import Callable, Sequence
from typing import Any

from sumachook.control_state import changes, configurations, evacuations, roles, servers, snapshots, voters
from sumachook.control_state.changes import Change, change_of
from sumachook.control_state.fields import StateFields
from sumachook.control_state.results import ChangeResult

_OPERATOR_HANDLERS: dict[type[Change], Callable[[StateFields, Any, int | None], ChangeResult]] = {
    changes.ApplyDocument: configurations.apply_document,
    changes.Configure: configurations.configure,
    changes.ConfigureWithDefaults: configurations.configure,
    changes.ConfigureByDigest: configurations.configure_by_digest,
    changes.ConfigureByDifference: configurations.configure_by_difference,
    changes.Evacuate: evacuations.evacuate,
    changes.Restore: evacuations.restore,
}
_HANDLERS: dict[type[Change], Callable[[StateFields, Any], ChangeResult]] = {
    changes.FoundCluster: voters.found_cluster,
    changes.ClusterFounded: voters.cluster_founded,
    changes.AddVoter: voters.add_voter,
    changes.ReplaceVoter: voters.replace_voter,
    changes.RemoveVoter: voters.remove_voter,
    changes.AcquireRole: roles.acquire_role,
    changes.ReleaseRole: roles.release_role,
    changes.UpdateServers: servers.update_servers,
    changes.PlaceReplicas: servers.place_replicas,
    changes.UpdateLoadedModels: servers.update_loaded_models,
}


class State(StateFields):
    """The replicated control state; only `apply` and `restore` modify it, with the same result on every node.

    >>> state = State()
    >>> state.apply(1, changes.Evacuate("op-1", "hall")).stored()
    ('refused', (('area', "no area 'hall'"),))
    >>> state.apply(2, changes.AcquireRole("placer", "core-1", 1)).stored()
    ('ok',)
    >>> state.apply(3, changes.AcquireRole("placer", "core-2", 1)).stored()
    ('refused', (('duty', 'not vacant'),))
    """

    __slots__ = ()

    def apply(self, number: int, change: Change | Sequence[Any]) -> ChangeResult:
        """Applies the change with this log number, given as a `Change` or as its stored array."""
        if not isinstance(change, Change):
            change = change_of(change)
        self.number = number
        if isinstance(change, changes.OperatorCall):
            return _OPERATOR_HANDLERS[type(change.change)](self, change.change, change.seen)
        if isinstance(change, changes.OperatorChange):
            return _OPERATOR_HANDLERS[type(change)](self, change, None)
        return _HANDLERS[type(change)](self, change)

    def compact_form(self, change: changes.Configure) -> changes.OperatorChange:
        """Returns the shortest change to propose for a configuration, given the state of this node."""
        return configurations.compact_form(self, change)

    def snapshot(self) -> dict[str, Any]:
        """Returns the state as plain data to be stored or sent; later changes do not modify it."""
        return snapshots.snapshot_of(self)

    def restore(self, snapshot: dict[str, Any]) -> None:
        """Replaces the whole state with that of a snapshot."""
        snapshots.restore_snapshot(self, snapshot)
