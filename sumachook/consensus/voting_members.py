"""The voting members of the group and their quorums."""

from collections.abc import Collection, Mapping
from typing import Any

import msgspec


def majority_of(size: int) -> int:
    """Returns the smallest number of replicas that is a majority of `size`."""
    return size // 2 + 1


class VotingMembers(msgspec.Struct, frozen=True):
    """The addresses of the voters by name, and the replacement in progress, if any.

    While `joining` replaces `leaving`, both are listed, and a quorum must contain a majority of the voters with the one
    and a majority with the other. Quorums of successive changes therefore intersect. Neither the joining nor the
    leaving voter is required as long as a majority of the other voters is available.

    >>> voting_members = VotingMembers({"a": "a:1", "b": "b:1", "c": "c:1"}).replacing("c", "d", "d:1")
    >>> [voting_members.has_quorum(names) for names in ({"a", "b"}, {"a", "c"}, {"b", "c", "d"})]
    [True, False, True]
    >>> sorted(voting_members.without("c").addresses)
    ['a', 'b', 'd']
    """

    addresses: dict[str, str] = {}
    leaving: str | None = None
    joining: str | None = None

    def has_quorum(self, names: Collection[str]) -> bool:
        """Whether these replicas are a majority of the voters; during a replacement, of both voter groups."""
        present = set(names)
        return all(len(group & present) >= majority_of(len(group)) for group in self._groups())

    def _groups(self) -> list[set[str]]:
        voters = set(self.addresses)
        if self.joining is None or self.leaving is None:
            return [voters]
        return [voters - {self.joining}, voters - {self.leaving}]

    @property
    def is_joint(self) -> bool:
        """Whether a replacement of a voter is in progress."""
        return self.joining is not None

    @property
    def size(self) -> int:
        """The number of voters; during a replacement, the number after its completion."""
        return len(self.addresses) - self.is_joint

    def with_voter(self, name: str, address: str) -> "VotingMembers":
        """Returns the voting members with an additional voter."""
        return VotingMembers({**self.addresses, name: address}, self.leaving, self.joining)

    def replacing(self, leaving: str, joining: str, address: str) -> "VotingMembers":
        """Returns the voting members with a replacement of `leaving` by `joining` in progress."""
        return VotingMembers({**self.addresses, joining: address}, leaving, joining)

    def without(self, name: str) -> "VotingMembers":
        """Returns the voting members without this voter; ends the replacement if the voter is part of it."""
        remaining = {other: address for other, address in self.addresses.items() if other != name}
        is_over = name in (self.leaving, self.joining)
        return VotingMembers(remaining) if is_over else VotingMembers(remaining, self.leaving, self.joining)

    def after(self, change: tuple[Any, ...]) -> "VotingMembers":
        """Returns the voting members after applying a log entry; other entries leave them unchanged."""
        match change:
            case ("found", Mapping() as addresses):
                return VotingMembers(dict(addresses))
            case ("seat-in", name, address):
                return self.with_voter(name, address)
            case ("seat-replace", leaving, joining, address):
                return self.replacing(leaving, joining, address)
            case ("seat-out", name):
                return self.without(name)
        return self
