"""Proposes to declare roles vacant."""

from datetime import timedelta

from sumachook.control_state.changes import ReleaseRole
from sumachook.control_state.effects import ProposeChange
from sumachook.host.effects import Effect, Log
from sumachook.leases.timing import LeaseTiming
from sumachook.leases.voters import ControlState


class Vacancies:
    """Proposes vacancies: as leader, of roles whose holder stopped renewing; as holder, of roles that it released.

    A leader measures the time without renewals from when it began to lead. A role is declared vacant only when no
    order of the old holder can still be in flight.
    """

    __slots__ = ("state", "timing", "known_holders", "renewed_at", "leading_since", "proposed_at")

    def __init__(self, state: ControlState, timing: LeaseTiming, now: timedelta) -> None:
        self.state = state
        self.timing = timing
        self.known_holders: dict[str, tuple[str, int]] = {}  # holder and fencing token of each role at the last tick
        self.renewed_at: dict[str, timedelta] = {}
        self.leading_since = now
        self.proposed_at: dict[str, timedelta] = {}

    def note_renewal(self, role: str, now: timedelta) -> None:
        """Records that the holder of this role renewed its lease."""
        self.renewed_at[role] = now

    def note_holder(self, role: str, holder: str, fence: int, now: timedelta) -> None:
        """Records a change of a role's holder or fencing token, which counts as a renewal."""
        if self.known_holders.get(role) != (holder, fence):
            self.known_holders[role] = (holder, fence)
            self.renewed_at[role] = now

    def check_holder(self, role: str, holder: str, fence: int, now: timedelta) -> list[Effect]:
        """Proposes and logs the vacancy of a role whose holder has not renewed within `vacant_after`."""
        unrenewed_since = max(self.renewed_at.get(role, now), self.leading_since)
        if now - unrenewed_since <= self.timing.vacant_after:
            return []
        proposal = self.propose(role, fence, now)
        details = {"duty": role, "holder": holder, "fence": fence}
        return (
            [
                Log("warning", "leases", "Declaring a role vacant: its holder did not renew the lease.", details),
                *proposal,
            ]
            if proposal
            else []
        )

    def propose(self, role: str, fence: int, now: timedelta) -> list[Effect]:
        """Proposes the vacancy of a role; retries after `claim_pause`, since an earlier proposal may have been lost."""
        proposed_at = self.proposed_at.get(role)
        if proposed_at is not None and now - proposed_at < self.timing.claim_pause:
            return []
        self.proposed_at[role] = now
        return [ProposeChange(ReleaseRole(role, fence))]
