"""Applies changes of the set of voting cores."""

from sumachook.control_state import changes
from sumachook.control_state.fields import StateFields
from sumachook.control_state.results import ChangeResult, accepted


def found_cluster(state: StateFields, change: changes.FoundCluster) -> ChangeResult:
    """Makes the founding cores the first voters."""
    state.voting_members = dict(change.voting_members)
    return accepted()


def cluster_founded(_state: StateFields, _change: changes.ClusterFounded) -> ChangeResult:
    """Leaves the state as it is; that the change was committed shows that the founders form a quorum."""
    return accepted()


def add_voter(state: StateFields, change: changes.AddVoter) -> ChangeResult:
    """Adds a core to the voters."""
    return _add(state, change.voter, change.address)


def replace_voter(state: StateFields, change: changes.ReplaceVoter) -> ChangeResult:
    """Adds the joining core to the voters; the leaving one keeps its vote until a later change removes it."""
    return _add(state, change.joining, change.address)


def remove_voter(state: StateFields, change: changes.RemoveVoter) -> ChangeResult:
    """Removes a core from the voters."""
    members = state.voting_members.items()
    state.voting_members = {voter: address for voter, address in members if voter != change.voter}
    return accepted()


def _add(state: StateFields, voter: str, address: str) -> ChangeResult:
    state.voting_members = {**state.voting_members, voter: address}  # a copy: a snapshot may refer to the old mapping
    return accepted()
