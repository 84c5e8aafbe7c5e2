"""Applies changes that evacuate a zone or reopen it."""

from sumachook.control_state import changes
from sumachook.control_state.change_attempts import digest, is_overtaken
from sumachook.control_state.fields import StateFields
from sumachook.control_state.requests import run_once
from sumachook.control_state.results import ChangeResult, accepted, rejected, unknown


def evacuate(state: StateFields, change: changes.Evacuate, seen: int | None) -> ChangeResult:
    """Marks a zone as evacuated, so that it gets no more requests."""
    content = digest("evacuate", change.zone)
    return run_once(state, change.request, content, lambda: _set_evacuated(state, change.zone, True, seen))


def restore(state: StateFields, change: changes.Restore, seen: int | None) -> ChangeResult:
    """Reopens an evacuated zone for requests."""
    content = digest("restore", change.zone)
    return run_once(state, change.request, content, lambda: _set_evacuated(state, change.zone, False, seen))


def _set_evacuated(state: StateFields, zone: str, is_evacuated: bool, seen: int | None) -> ChangeResult:
    """Evacuates or restores a zone, unless its state was changed after the operator's call arrived at its core."""
    if state.catalogue is None or zone not in state.catalogue.zones:
        return rejected("area", f"no area {zone!r}")
    if (zone in state.evacuated) == is_evacuated:
        return accepted(state.generation)
    if is_overtaken(seen, state.evacuation_changed_at.get(zone, 0)):
        return unknown("area", f"{zone!r} was turned after this call came")
    others = tuple(other for other in state.evacuated if other != zone)
    state.evacuated = tuple(sorted((*others, zone))) if is_evacuated else others
    state.evacuation_changed_at[zone] = state.number
    state.generation += 1
    return accepted(state.generation)
