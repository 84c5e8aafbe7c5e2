"""Looks up other nodes for a core, in the membership and in the control state."""

from sumachook.control_state.state import State
from sumachook.membership.member import MemberStatus
from sumachook.membership.membership import Membership


class CorePeers:
    """Looks up names, addresses and restart epochs of other nodes in the membership and the control state."""

    __slots__ = ("node", "restart_epoch", "membership", "state")

    def __init__(self, node: str, restart_epoch: int, membership: Membership, state: State) -> None:
        self.node = node
        self.restart_epoch = restart_epoch
        self.membership = membership
        self.state = state

    def edge_addresses(self) -> tuple[str, ...]:
        """Returns the addresses of the live edges."""
        return tuple(member.address for member in self.membership.live if member.role == "edge")

    def alive_edges(self) -> list[str]:
        """Returns the sorted names of the edges that are alive and not suspected."""
        return sorted(
            member.node
            for member in self.membership.live
            if member.status == MemberStatus.ALIVE and member.role == "edge"
        )

    def core_addresses(self) -> tuple[str, ...]:
        """Returns the addresses at which cores may be reached: the seeds and the live cores."""
        live = [member.address for member in self.membership.live if member.role == "core"]
        return (*self.membership.seeds, *live)

    def other_voters(self) -> list[str]:
        """Returns the addresses of the other voters."""
        return [address for voter, address in self.state.voting_members.items() if voter != self.node]

    def restart_epochs(self) -> dict[str, int]:
        """Returns the restart epochs of the live nodes by name, including this node."""
        epochs = {member.node: member.restart_epoch for member in self.membership.live}
        return epochs | {self.node: self.restart_epoch}
