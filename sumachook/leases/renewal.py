"""Renews and releases the leases of the roles that this voter holds."""

from datetime import timedelta
from typing import NamedTuple

from sumachook.control_state.changes import ReleaseRole
from sumachook.control_state.effects import ProposeChange
from sumachook.host.effects import Effect
from sumachook.leases.messages import RELEASED, LeaseRenewed, RenewLease
from sumachook.leases.timing import LeaseTiming
from sumachook.leases.voters import Voters


class Renewal(NamedTuple):
    """One renewal request of a lease; `sent` is the time of sending by this voter's clock, in seconds."""

    role: str
    fence: int
    sent: float


class Lease(NamedTuple):
    """A lease with its fencing token and its expiry time by this voter's clock."""

    fence: int
    until: timedelta


class HeldLeases:
    """Renews the leases of this voter; a lease lasts from the sending of a renewal that a majority acknowledged."""

    __slots__ = ("voters", "timing", "leases", "answers", "next_renewal", "is_quitting", "released")

    def __init__(self, voters: Voters, timing: LeaseTiming, now: timedelta) -> None:
        self.voters = voters
        self.timing = timing
        self.leases: dict[str, Lease] = {}
        self.answers: dict[Renewal, set[str]] = {}
        self.next_renewal = now
        self.is_quitting = False
        self.released: dict[str, int] = {}  # role -> the highest fencing token that this voter has released

    def fence(self, role: str, now: timedelta) -> int:
        """Returns the fencing token under which this voter may act in a role at time `now`, else 0."""
        fence = self.voters.state.fence(role, self.voters.name)
        lease = self.leases.get(role)
        if self.is_quitting or not fence or self.is_released(role, fence):
            return 0
        is_held = lease is not None and lease.fence == fence and now < lease.until
        return fence if is_held else 0

    def renew(self, now: timedelta) -> tuple[list[str], list[Effect]]:
        """Returns the roles whose renewal is due, and the renewal requests to send for them."""
        roles: list[str] = []
        effects: list[Effect] = []
        if now < self.next_renewal:
            return roles, effects
        self.next_renewal = now + self.timing.renew_interval
        for role in self.voters.state.role_holders:
            fence = self.voters.state.fence(role, self.voters.name)
            if fence and not self.is_quitting and not self.is_released(role, fence):
                roles.append(role)
                effects += self._renew(Renewal(role, fence, now.total_seconds()))
        oldest_open = (now - self.timing.lease).total_seconds()
        self.answers = {renewal: voters for renewal, voters in self.answers.items() if renewal.sent > oldest_open}
        return roles, effects

    def _renew(self, renewal: Renewal) -> list[Effect]:
        """Sends a renewal to the other voters; this voter itself acknowledges it only while in a working view."""
        self.answers[renewal] = {self.voters.name} if self.voters.is_fresh else set()
        self._extend(renewal)
        return self.voters.send_to_others(RenewLease(*renewal))

    def on_renewed(self, replica: str, message: LeaseRenewed) -> None:
        """Counts the acknowledgement of a renewal by another voter."""
        renewal = Renewal(message.role, message.fence, message.sent)
        if renewal in self.answers and self.voters.includes(replica):
            self.answers[renewal].add(replica)
            self._extend(renewal)

    def _extend(self, renewal: Renewal) -> None:
        """Extends a lease, counted from the sending of a renewal, once a majority has acknowledged that renewal."""
        if len(self.answers[renewal]) < self.voters.majority:
            return
        until = timedelta(seconds=renewal.sent) + self.timing.lease
        lease = self.leases.get(renewal.role)
        if lease is None or lease.fence != renewal.fence or lease.until < until:
            self.leases[renewal.role] = Lease(renewal.fence, until)

    def release_all(self) -> list[Effect]:
        """Releases all roles at once; afterwards this voter holds no role and sends no orders until `Resume`."""
        self.is_quitting = True
        self.leases.clear()
        own_roles = self.voters.own_roles()
        self.released |= dict(own_roles)
        effects: list[Effect] = []
        for role, fence in own_roles:
            effects += self.voters.send_to_others(RenewLease(role, fence, RELEASED))
        return effects + [ProposeChange(ReleaseRole(role, fence)) for role, fence in own_roles]

    def is_released(self, role: str, fence: int) -> bool:
        """Returns whether this voter released the token, also before a `Resume`: others may not wait for its lease."""
        return fence <= self.released.get(role, 0)
