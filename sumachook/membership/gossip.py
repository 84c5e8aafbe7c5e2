"""Selects the member updates that are piggybacked on a membership message."""

from collections.abc import Mapping
from math import ceil, log2

from sumachook.membership.member import Member, MemberStatus, MemberUpdate

MAX_UPDATES_PER_MESSAGE = 8  # keeps a message well within one datagram
# An update is dropped after it was sent or received again TRANSMISSION_FACTOR * log2(members) times. A member that all
# these transmissions missed learns of it when it compares its view with another node's.
TRANSMISSION_FACTOR = 2


class Gossip:
    """Queue of member updates to disseminate: those sent or received least often go first, and an update is dropped
    once it was transmitted often enough.
    """

    __slots__ = ("_transmissions",)

    def __init__(self) -> None:
        self._transmissions: dict[str, int] = {}

    def __len__(self) -> int:
        """Returns the number of updates that are still being disseminated."""
        return len(self._transmissions)

    def add(self, node: str) -> None:
        """Queues an update about this node, whose state has changed, with its transmission count at zero."""
        self._transmissions[node] = 0

    def count_received(self, node: str) -> None:
        """Counts an update that arrived from another node as a transmission: fewer nodes still lack it."""
        if node in self._transmissions:
            self._transmissions[node] += 1

    def remove(self, node: str) -> None:
        """Stops disseminating the update about this node."""
        self._transmissions.pop(node, None)

    def clear(self) -> None:
        """Drops all queued updates."""
        self._transmissions.clear()

    def next_updates(
        self, local_member: Member, members: Mapping[str, Member], target: Member | None
    ) -> tuple[MemberUpdate, ...]:
        """Returns the updates for one message; always includes a suspicion of the receiver, for it to refute."""
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
