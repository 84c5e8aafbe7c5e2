"""Whom an edge speaks to: cores, holders of singleton roles, and other edges."""

from datetime import timedelta

from sumachook.control_state.state import State
from sumachook.membership.member import LIVE_STATUSES, MemberStatus
from sumachook.membership.membership import Membership

# An edge that is gone still counts for so long in the parts of shared limits: each side of a split counts the other.
PEER_MEMORY = timedelta(seconds=60)


class EdgePeers:
    """The other nodes as this edge knows them from membership and from the control state."""

    __slots__ = ("node", "zone", "membership", "state")

    def __init__(self, node: str, zone: str, membership: Membership, state: State) -> None:
        self.node = node
        self.zone = zone
        self.membership = membership
        self.state = state

    def live_edges(self) -> tuple[str, ...]:
        """Names of all live edges, this one among them, in order."""
        return tuple(sorted({self.node, *self._live_edge_names()}))

    def recent_edges(self, now: timedelta) -> tuple[str, ...]:
        """Names of the live edges and of those gone for less than `PEER_MEMORY`, in order."""
        gone = [
            member.node
            for member in self.membership.members.values()
            if member.role == "edge" and member.status == MemberStatus.GONE and now - member.status_since < PEER_MEMORY
        ]
        return tuple(sorted({self.node, *self._live_edge_names(), *gone}))

    def _live_edge_names(self) -> list[str]:
        members = self.membership.members.values()
        return [member.node for member in members if member.role == "edge" and member.status in LIVE_STATUSES]

    def relays(self) -> tuple[str, ...]:
        """Addresses of other edges that may relay records, those of other zones first (docs/design/ledger.md)."""
        edges = [member for member in self.membership.live if member.role == "edge"]
        ordered = sorted(edges, key=lambda member: (member.zone == self.zone, member.node))
        return tuple(member.address for member in ordered)

    def cores(self) -> tuple[str, ...]:
        """Addresses of the live cores; without one those of the voters, without these the seeds."""
        live = [member.address for member in self.membership.live if member.role == "core"]
        return tuple(sorted(live) or sorted(self.state.voting_members.values()) or self.membership.seeds)

    def holders_of(self, role: str) -> tuple[str, ...]:
        """Where what a singleton role needs is sent: to its holder, or to every core while it is vacant."""
        holder = self.holder_of(role)
        return (holder,) if holder else self.cores()

    def holder_of(self, role: str) -> str | None:
        """The address of a singleton role's holder, or None while it is vacant."""
        return self.state.voting_members.get(self.state.role_holders[role][0])
