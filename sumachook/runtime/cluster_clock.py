"""The cluster time: the wall time on which a majority of the nodes agrees."""

from bisect import bisect_right
from collections.abc import Callable
from datetime import UTC, datetime, timedelta
from statistics import median_low
from typing import NamedTuple

UNIX_EPOCH = datetime(1970, 1, 1, tzinfo=UTC)
MILLISECOND = timedelta(milliseconds=1)


class ClockVote(NamedTuple):
    """Offset of another node's wall clock from this node's monotonic time, and the time at which it was received."""

    offset: timedelta
    received_at: timedelta


class ClusterClock:
    """Wall time by majority vote: `time(now)` is the time on which the nodes agree at the monotonic time `now`.

    Between counts the cluster time advances with the monotonic clock. A count adjusts it only if the clocks of a
    majority of the recent voters, including this node, lie within one minute of each other: a single clock that jumps
    is outvoted, and if all clocks disagree nothing changes (docs/design.md, "What time it is").

    >>> second = timedelta(seconds=1)
    >>> wall = [UNIX_EPOCH + 100 * second]
    >>> cluster_clock = ClusterClock(lambda: wall[0], second)
    >>> for node in ("a", "b"): cluster_clock.record_vote(node, 101_000, 2 * second)
    >>> wall[0] += timedelta(days=1); cluster_clock.on_tick(3 * second); cluster_clock.time(3 * second) - UNIX_EPOCH
    datetime.timedelta(seconds=102)
    """

    __slots__ = ("_wall", "votes", "offset", "is_agreed", "_last_tick_at", "_next_count_at")

    COUNT_INTERVAL = timedelta(seconds=0.25)
    VOTE_LIFETIME = timedelta(seconds=30)
    AGREEMENT_WINDOW = timedelta(minutes=1)  # clocks agree if they differ by no more than this
    LATE_TICK = timedelta(seconds=1)  # after a longer pause between ticks, a message may have waited in a buffer

    def __init__(self, wall: Callable[[], datetime], now: timedelta):
        self._wall = wall
        self.votes: dict[str, ClockVote] = {}
        self.is_agreed = False
        self.offset = wall() - UNIX_EPOCH - now
        self._last_tick_at = now
        self._next_count_at = now

    def time(self, now: timedelta) -> datetime:
        """Returns the agreed wall time at the monotonic time `now`."""
        return UNIX_EPOCH + self.offset + now

    @property
    def wall_clock_ms(self) -> int:
        """This node's vote: its own wall clock in milliseconds since 1970."""
        return (self._wall() - UNIX_EPOCH) // MILLISECOND

    def record_vote(self, node: str, wall_clock_ms: int, now: timedelta) -> None:
        """Records the wall clock of another node, unless its message may have waited in a buffer of this process."""
        if now - self._last_tick_at < self.LATE_TICK:
            self.votes[node] = ClockVote(wall_clock_ms * MILLISECOND - now, now)

    def on_tick(self, now: timedelta) -> None:
        """Counts the votes every `COUNT_INTERVAL`."""
        self._last_tick_at = now
        if now >= self._next_count_at:
            self._next_count_at = now + self.COUNT_INTERVAL
            self._count_votes(now)

    def _count_votes(self, now: timedelta) -> None:
        self.votes = {node: vote for node, vote in self.votes.items() if now - vote.received_at < self.VOTE_LIFETIME}
        offsets = sorted([self._wall() - UNIX_EPOCH - now, *(vote.offset for vote in self.votes.values())])
        agreeing = self._largest_group(offsets)
        if len(offsets) > 1 and len(agreeing) * 2 > len(offsets):
            self.offset = median_low(agreeing)
            self.is_agreed = True

    def _largest_group(self, offsets: list[timedelta]) -> list[timedelta]:
        """Returns the largest group of sorted offsets within `AGREEMENT_WINDOW`; of equal groups the lowest."""
        ranges = [
            range(start, bisect_right(offsets, lowest + self.AGREEMENT_WINDOW)) for start, lowest in enumerate(offsets)
        ]
        longest = max(ranges, key=len)
        return offsets[longest.start : longest.stop]
