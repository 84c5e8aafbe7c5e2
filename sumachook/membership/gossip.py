"""Which member updates go along with a message."""

from collections.abc import Mapping
from math import ceil, log2

from sumachook.membership.member import Member, MemberStatus, MemberUpdate

MAX_UPDATES_PER_MESSAGE = 8  # keeps a message well within one datagram
# An update is dropped once it was told or heard again this many times log2(members). Some members may be missed by
# all tellings; they learn of it when they compare their view with another's.
TRANSMISSION_FACTOR = 2


class Gossip:
    """Counts how often each update was told or heard again, and gives those with the least; one that was told often
    enough is dropped.
    """

    __slots__ = ("_transmissions",)

    def __init__(self) -> None:
        self._transmissions: dict[str, int] = {}

    def __len__(self) -> int:
        """How many updates there are still to tell."""
        return len(self._transmissions)

    def add(self, node: str) -> None:
        """What is known of this node has changed and is to be told."""
        self._transmissions[node] = 0

    def note_heard(self, node: str) -> None:
        """Another node told what is known here: the fewer are left to whom it is news."""
        if node in self._transmissions:
            self._transmissions[node] += 1

    def remove(self, node: str) -> None:
        """What is known of this node need not be told."""
        self._transmissions.pop(node, None)

    def clear(self) -> None:
        """Drops all that there is to tell."""
        self._transmissions.clear()

    def next_updates(
        self, local_member: Member, members: Mapping[str, Member], target: Member | None
    ) -> tuple[MemberUpdate, ...]:
        """The updates for one message; a doubt of its receiver always goes along, so that it can object."""
        max_transmissions = TRANSMISSION_FACTOR * ceil(log2(len(members) + 2))
        updates: list[MemberUpdate] = []
        if target is not None and target.status != MemberStatus.ALIVE:
            updates.append(target.to_update())
        for node in sorted(self._transmissions, key=self._transmissions.__getitem__)[:MAX_UPDATES_PER_MESSAGE]:
            member = local_member if node == local_member.node else members.get(node)
            self._transmissions[node] += 1
            if member is None or self._transmissions[node] > max_transmissions:
                del self._transmissions[node]
            elif member is not target:
                updates.append(member.to_update())
        return tuple(updates)
