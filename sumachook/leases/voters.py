"""The voters of the lease protocol, from the view of one of them."""

from collections.abc import Mapping
from typing import Protocol

from sumachook.host.effects import Effect, Send
from sumachook.transport.node_message import NodeMessage


class ControlState(Protocol):
    """The part of the replicated control state that leases read."""

    @property
    def role_holders(self) -> Mapping[str, tuple[str, int]]:
        """The holder ("" if vacant) and the last fencing token of each role."""

    @property
    def voting_members(self) -> Mapping[str, str]:
        """The address of each voter, by name."""

    def fence(self, role: str, holder: str) -> int:
        """Returns the fencing token under which `holder` holds a role, or 0 if it does not."""


class Voters:
    """The voters of the lease protocol; `name` is this voter, and `is_fresh` whether it is in a working view.

    A lease needs acknowledgements from a majority and a successor needs votes from a majority. Any two majorities
    have a voter in common.
    """

    __slots__ = ("name", "state", "is_fresh")

    def __init__(self, name: str, state: ControlState) -> None:
        self.name = name
        self.state = state
        self.is_fresh = False

    def includes(self, replica: str) -> bool:
        """Returns whether this replica is a voter."""
        return replica in self.state.voting_members

    @property
    def majority(self) -> int:
        """The smallest number of voters that is a majority."""
        return len(self.state.voting_members) // 2 + 1

    def send_to_others(self, message: NodeMessage) -> list[Effect]:
        """Returns effects that send a message to every other voter."""
        return [Send(address, message) for voter, address in self.state.voting_members.items() if voter != self.name]

    def own_roles(self) -> list[tuple[str, int]]:
        """Returns the roles that this voter holds according to the control state, with their fencing tokens."""
        return [(role, fence) for role, (holder, fence) in self.state.role_holders.items() if holder == self.name]
