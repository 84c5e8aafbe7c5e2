"""The other nodes as a core knows them from membership and from the control state."""

from sumachook.control_state.state import State
from sumachook.membership.member import MemberStatus
from sumachook.membership.membership import Membership


class CorePeers:
    """Names, addresses and restart epochs of other nodes."""

    __slots__ = ("node", "restart_epoch", "membership", "state")

    def __init__(self, node: str, restart_epoch: int, membership: Membership, state: State) -> None:
        self.node = node
        self.restart_epoch = restart_epoch
        self.membership = membership
        self.state = state

    def edge_addresses(self) -> tuple[str, ...]:
        """Addresses of the live edges."""
        return tuple(member.address for member in self.membership.live if member.role == "edge")

    def alive_edges(self) -> list[str]:
        """Names of the edges that are alive and not suspected, in order."""
        return sorted(
            member.node
            for member in self.membership.live
            if member.status == MemberStatus.ALIVE and member.role == "edge"
        )

    def core_addresses(self) -> tuple[str, ...]:
        """Addresses at which other cores may be found: the seeds, and the live ones."""
        live = [member.address for member in self.membership.live if member.role == "core"]
        return (*self.membership.seeds, *live)

    def other_voters(self) -> list[str]:
        """Addresses of the other voters."""
        return [address for voter, address in self.state.voting_members.items() if voter != self.node]

    def restart_epochs(self) -> dict[str, int]:
        """Restart epochs of the live nodes by name, this one among them."""
        epochs = {member.node: member.restart_epoch for member in self.membership.live}
        return epochs | {self.node: self.restart_epoch}
