"""Applies changes of the server list, of the placement plan and of the models that servers have loaded."""

from sumachook.control_state import changes
from sumachook.control_state.fields import PLACER, StateFields
from sumachook.control_state.results import ChangeResult, accepted, rejected
from sumachook.control_state.roles import is_held_with


def update_servers(state: StateFields, change: changes.UpdateServers) -> ChangeResult:
    """Replaces the server list, unless the proposing core compared it with an older list than the current one."""
    if change.basis != state.servers_changed_at:
        return rejected("basis", f"the list is of change {state.servers_changed_at}, not {change.basis}")
    state.servers = dict(change.servers)
    state.servers_changed_at = state.number
    state.model_statuses = {
        server: models for server, models in state.model_statuses.items() if server in state.servers
    }
    return accepted()


def place_replicas(state: StateFields, change: changes.PlaceReplicas) -> ChangeResult:
    """Replaces the placement plan if the change comes from the current placer."""
    if not is_held_with(state, PLACER, change.fencing_token):
        return _rejected_as_older_placer()
    state.pairs = {model: tuple(pair) for model, pair in change.pairs.items()}
    return accepted()


def update_loaded_models(state: StateFields, change: changes.UpdateLoadedModels) -> ChangeResult:
    """Replaces the loaded models of the given servers if the change comes from the current placer."""
    if not is_held_with(state, PLACER, change.fencing_token):
        return _rejected_as_older_placer()
    for server, models in change.loaded_models.items():
        if models is None:
            state.model_statuses.pop(server, None)
        elif server in state.servers:
            state.model_statuses[server] = dict(models)
    return accepted()


def _rejected_as_older_placer() -> ChangeResult:
    return rejected("fence", "an older placer")
