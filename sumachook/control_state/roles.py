"""Applies changes of the holders of singleton roles; each new holder gets a higher fencing token."""

from sumachook.control_state import changes
from sumachook.control_state.fields import RoleHolder, StateFields
from sumachook.control_state.results import ChangeResult, accepted, rejected


def acquire_role(state: StateFields, change: changes.AcquireRole) -> ChangeResult:
    """Assigns a role if it is vacant and the change has the next fencing token."""
    holder, last = state.role_holders[change.role]
    if holder:
        return rejected("duty", "not vacant")
    if change.fencing_token != last + 1:
        return rejected("duty", f"fence {change.fencing_token} after {last}")
    state.role_holders[change.role] = RoleHolder(change.holder, change.fencing_token)
    return accepted()


def release_role(state: StateFields, change: changes.ReleaseRole) -> ChangeResult:
    """Makes a role vacant if it is still held with the given fencing token."""
    holder, last = state.role_holders[change.role]
    if not holder or change.fencing_token != last:
        return rejected("duty", "not that fence")
    state.role_holders[change.role] = RoleHolder("", last)
    return accepted()


def is_held_with(state: StateFields, role: str, fencing_token: int) -> bool:
    """Returns whether the role is held with this fencing token."""
    holder, last = state.role_holders[role]
    return bool(holder) and last == fencing_token
