"""Looks up the nodes that an edge sends messages to: cores, holders of singleton roles and other edges."""

from datetime import timedelta

from sumachook.control_state.state import State
from sumachook.membership.member import LIVE_STATUSES, MemberStatus
from sumachook.membership.membership import Membership

# A failed edge keeps its share of common limits for this long, so that each side of a partition counts the other.
PEER_RETENTION = timedelta(seconds=60)


class EdgePeers:
    """Looks up names and addresses of other nodes, in the membership and in the control state."""

    __slots__ = ("node", "zone", "membership", "state")

    def __init__(self, node: str, zone: str, membership: Membership, state: State) -> None:
        self.node = node
        self.zone = zone
        self.membership = membership
        self.state = state

    def live_edges(self) -> tuple[str, ...]:
        """Returns the sorted names of all live edges, including this one."""
        return tuple(sorted({self.node, *self._live_edge_names()}))

    def recent_edges(self, now: timedelta) -> tuple[str, ...]:
        """Returns the sorted names of the live edges and of those that failed less than `PEER_RETENTION` ago."""
        gone = [
            member.node
            for member in self.membership.members.values()
            if member.role == "edge"
            and member.status == MemberStatus.GONE
            and now - member.status_since < PEER_RETENTION
        ]
        return tuple(sorted({self.node, *self._live_edge_names(), *gone}))

    def _live_edge_names(self) -> list[str]:
        members = self.membership.members.values()
        return [member.node for member in members if member.role == "edge" and member.status in LIVE_STATUSES]

    def relays(self) -> tuple[str, ...]:
        """Returns addresses of other edges that may relay ledger records, other zones first (docs/design/ledger.md)."""
        edges = [member for member in self.membership.live if member.role == "edge"]
        ordered = sorted(edges, key=lambda member: (member.zone == self.zone, member.node))
        return tuple(member.address for member in ordered)

    def cores(self) -> tuple[str, ...]:
        """Returns the addresses of the live cores; if there are none, of the voters, else of the seeds."""
        live = [member.address for member in self.membership.live if member.role == "core"]
        return tuple(sorted(live) or sorted(self.state.voting_members.values()) or self.membership.seeds)

    def holders_of(self, role: str) -> tuple[str, ...]:
        """Returns the address of a singleton role's holder, or those of all cores while the role is vacant."""
        holder = self.holder_of(role)
        return (holder,) if holder else self.cores()

    def holder_of(self, role: str) -> str | None:
        """Returns the address of a singleton role's holder, or None while the role is vacant."""
        return self.state.voting_members.get(self.state.role_holders[role][0])
