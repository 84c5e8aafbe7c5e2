"""Tracks up to which entry each replica has synced the leader's log."""

from datetime import timedelta
from typing import NamedTuple

from sumachook.consensus.state import ReplicaState
from sumachook.consensus.timing import CAUGHT_UP_TIMEOUT, SILENCE_TIMEOUT


class _PendingAck(NamedTuple):
    """A log end that a replica has not acknowledged, and when it was noted or entries were last fetched."""

    end: int
    since: timedelta


class Progress:
    """Per replica: the acknowledged log end, the oldest unacknowledged end, and since when it has been caught up."""

    __slots__ = ("state", "acked", "pending_acks", "caught_up_at", "healthy_since")

    def __init__(self, state: ReplicaState) -> None:
        self.state = state
        self.acked: dict[str, int] = {}
        self.pending_acks: dict[str, _PendingAck] = {}
        self.caught_up_at: dict[str, timedelta] = {}
        self.healthy_since: dict[str, timedelta] = {}

    def reset(self) -> None:
        """Discards all acknowledgements, which do not apply to another view."""
        self.acked, self.pending_acks, self.caught_up_at, self.healthy_since = {}, {}, {}, {}

    def acknowledge(self, name: str, end: int, now: timedelta) -> bool:
        """Records the log end that a replica has synced; returns whether it differs from the recorded one."""
        if name in self.state.members:
            is_new = end > self.acked.get(name, 0)
            self.acked[name] = max(end, self.acked.get(name, 0))
        else:  # a restarted learner may report a smaller end than before
            is_new = end != self.acked.get(name, 0)
            self.acked[name] = end
        if end >= self.state.committed:
            if not self.is_caught_up(name, now):
                self.healthy_since[name] = now
            self.caught_up_at[name] = now
        return is_new

    def is_caught_up(self, name: str, now: timedelta) -> bool:
        """Whether the replica had synced every committed entry within the last `CAUGHT_UP_TIMEOUT`."""
        return name in self.caught_up_at and now - self.caught_up_at[name] < CAUGHT_UP_TIMEOUT

    def healthy_for(self, name: str, now: timedelta) -> timedelta:
        """Returns how long the replica has been caught up without interruption."""
        return now - self.healthy_since[name] if self.is_caught_up(name, now) else timedelta(0)

    def record_transfer(self, name: str, now: timedelta) -> None:
        """Restarts the stall timeout of a replica, because it is fetching the entries that it lacks."""
        if name in self.pending_acks:
            self.pending_acks[name] = _PendingAck(self.pending_acks[name].end, now)

    def is_stalled(self, name: str, now: timedelta) -> bool:
        """Whether a member's oldest unacknowledged entry has been outstanding for more than `SILENCE_TIMEOUT`."""
        end, acked = self.state.log.end, self.acked.get(name, 0)
        pending_end, since = self.pending_acks.get(name, _PendingAck(0, now))
        if acked >= pending_end:
            self.pending_acks[name] = _PendingAck(end, now)
            if acked >= end:
                del self.pending_acks[name]
            return False
        return now - since > SILENCE_TIMEOUT

    def ack_pending_for(self, name: str, now: timedelta) -> timedelta:
        """Returns how long the oldest unacknowledged entry of a member has been outstanding."""
        return now - self.pending_acks[name].since if name in self.pending_acks else timedelta(0)
