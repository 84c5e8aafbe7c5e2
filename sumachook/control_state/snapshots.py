"""Converts the replicated state to the plain data of a snapshot, and back."""

from typing import Any

from sumachook.configuration.checked_document import revise_document
from sumachook.control_state.accepted_versions import AcceptedVersions
from sumachook.control_state.fields import CompletedRequest, RoleHolder, StateFields
from sumachook.control_state.results import read_result


def snapshot_of(state: StateFields) -> dict[str, Any]:
    """Returns the state as plain data that later changes do not modify, so that another thread can write it."""
    return {
        "number": state.number,
        "generation": state.generation,
        "doc": state.doc,
        "evacuated": state.evacuated,
        "servers": state.servers,
        "duties": {role: tuple(holder) for role, holder in state.role_holders.items()},
        "pairs": state.pairs,
        "held": dict(state.model_statuses),
        "roster": state.voting_members,
        "requests": tuple(
            (request, (completed.content_digest, completed.result.stored()))
            for request, completed in state.requests.items()
        ),
        "listedAt": state.servers_changed_at,
        "taken": state.accepted_versions.snapshot(),
        "versionAt": state.version_changed_at,
        "turnedAt": dict(state.evacuation_changed_at),
    }


def restore_snapshot(state: StateFields, snapshot: dict[str, Any]) -> None:
    """Replaces the whole state with that of a snapshot.

    Snapshots written by the first releases lack "taken" and the keys after it.
    """
    state.number = snapshot["number"]
    _restore_configuration(state, snapshot)
    state.evacuated = tuple(snapshot["evacuated"])
    state.servers = dict(snapshot["servers"])
    state.role_holders = {role: RoleHolder(*holder) for role, holder in snapshot["duties"].items()}
    state.pairs = dict(snapshot["pairs"])
    state.model_statuses = {server: dict(models) for server, models in snapshot["held"].items()}
    state.voting_members = dict(snapshot["roster"])
    state.requests = {
        request: CompletedRequest(content_digest, read_result(result))
        for request, (content_digest, result) in snapshot["requests"]
    }
    state.servers_changed_at = snapshot["listedAt"]
    state.accepted_versions = AcceptedVersions.from_snapshot(snapshot.get("taken"), state.version)
    state.version_changed_at = snapshot.get("versionAt", state.number)
    state.evacuation_changed_at = dict(snapshot.get("turnedAt", ()))


def _restore_configuration(state: StateFields, snapshot: dict[str, Any]) -> None:
    state.generation = snapshot["generation"]
    state.doc = snapshot["doc"]
    state.checked = None if state.doc is None else revise_document(state.checked, state.doc)[0]
    state.catalogue = None if state.checked is None else state.checked.catalogue
