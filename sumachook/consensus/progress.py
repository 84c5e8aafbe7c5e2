"""How far the other replicas have synced the leader's log."""

from datetime import timedelta

from sumachook.consensus.state import ReplicaState
from sumachook.consensus.timing import CAUGHT_UP_WITHIN, SILENCE


class Progress:
    """For each replica the end it has acknowledged, since when it owes more, and since when it is well."""

    __slots__ = ("state", "acked", "owed", "caught_up_at", "well_since")

    def __init__(self, state: ReplicaState) -> None:
        self.state = state
        self.acked: dict[str, int] = {}
        self.owed: dict[str, tuple[int, timedelta]] = {}
        self.caught_up_at: dict[str, timedelta] = {}
        self.well_since: dict[str, timedelta] = {}

    def reset(self) -> None:
        """Another view: what was known holds no longer."""
        self.acked, self.owed, self.caught_up_at, self.well_since = {}, {}, {}, {}

    def acknowledge(self, name: str, end: int, now: timedelta) -> bool:
        """Notes the end that a replica has synced; whether that is new."""
        if name in self.state.members:
            is_new = end > self.acked.get(name, 0)
            self.acked[name] = max(end, self.acked.get(name, 0))
        else:  # a learner that was started anew may have to begin again
            is_new = end != self.acked.get(name, 0)
            self.acked[name] = end
        if end >= self.state.committed:
            if not self.is_caught_up(name, now):
                self.well_since[name] = now
            self.caught_up_at[name] = now
        return is_new

    def is_caught_up(self, name: str, now: timedelta) -> bool:
        """Whether it had synced all that is committed a moment ago."""
        return name in self.caught_up_at and now - self.caught_up_at[name] < CAUGHT_UP_WITHIN

    def well_for(self, name: str, now: timedelta) -> timedelta:
        """How long it has been heard and caught up without a gap."""
        return now - self.well_since[name] if self.is_caught_up(name, now) else timedelta(0)

    def note_transfer(self, name: str, now: timedelta) -> None:
        """It fetches what it owes, so it is not stalled."""
        if name in self.owed:
            self.owed[name] = (self.owed[name][0], now)

    def is_stalled(self, name: str, now: timedelta) -> bool:
        """Whether this member has owed the same entry for too long, however many came after it."""
        end, acked = self.state.log.end, self.acked.get(name, 0)
        owed, since = self.owed.get(name, (0, now))
        if acked >= owed:
            self.owed[name] = (end, now)
            if acked >= end:
                del self.owed[name]
            return False
        return now - since > SILENCE

    def owing_for(self, name: str, now: timedelta) -> timedelta:
        """How long this member has owed the same entry."""
        return now - self.owed[name][1] if name in self.owed else timedelta(0)
