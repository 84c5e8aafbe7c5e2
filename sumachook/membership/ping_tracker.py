"""Bookkeeping of pings that have not been acknowledged yet."""

from datetime import timedelta
from typing import NamedTuple

RESTART_EPOCH_BITS = 16  # bits below the epoch, a time in ms: later runs reuse no number; all are below 2**63


class PendingPing(NamedTuple):
    """An unacknowledged ping of this node; `is_indirect` is set once other nodes were asked to ping the target too."""

    node: str
    sent_at: timedelta
    is_indirect: bool = False


class RelayedPing(NamedTuple):
    """A ping on behalf of the node at `requester_address`, whose own sequence number for it is `requester_sequence`."""

    requester_address: str
    requester_sequence: int
    sent_at: timedelta


class PingTracker:
    """Assigns sequence numbers to pings and tracks unacknowledged ones.

    Numbers start above those of earlier runs of the process, so that a late acknowledgement of such a run matches none.
    """

    __slots__ = ("_sequence", "pending", "relayed")

    def __init__(self, restart_epoch: int) -> None:
        self._sequence = restart_epoch << RESTART_EPOCH_BITS
        self.pending: dict[int, PendingPing] = {}
        self.relayed: dict[int, RelayedPing] = {}

    def begin(self, node: str, now: timedelta) -> int:
        """Registers a ping to this node; returns its sequence number."""
        self._sequence += 1
        self.pending[self._sequence] = PendingPing(node, now)
        return self._sequence

    def begin_relayed(self, requester_address: str, requester_sequence: int, now: timedelta) -> int:
        """Registers a ping on behalf of another node; returns its sequence number."""
        self._sequence += 1
        self.relayed[self._sequence] = RelayedPing(requester_address, requester_sequence, now)
        return self._sequence

    def acknowledge(self, sequence: int, node: str) -> None:
        """Removes the ping that this node acknowledged; ignores those from other nodes or to earlier runs."""
        if sequence in self.pending and self.pending[sequence].node == node:
            del self.pending[sequence]

    def acknowledge_indirect(self, sequence: int) -> None:
        """Removes the ping, since a relaying node reported that the target answered."""
        self.pending.pop(sequence, None)

    def mark_indirect(self, sequence: int) -> None:
        """Records that other nodes have been asked to ping the target of this ping."""
        self.pending[sequence] = self.pending[sequence]._replace(is_indirect=True)

    def drop_relayed_before(self, sent_at: timedelta) -> None:
        """Removes relayed pings that were sent before this time."""
        for sequence, ping in list(self.relayed.items()):
            if ping.sent_at < sent_at:
                del self.relayed[sequence]
