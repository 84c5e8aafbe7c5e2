"""What time it is, as the cohort agrees."""

from bisect import bisect_right
from datetime import UTC, datetime, timedelta
from statistics import median_low

ZERO = datetime(1970, 1, 1, tzinfo=UTC)
MILLI = timedelta(milliseconds=1)


class Almanac:
    """Takes (message, now): ("vote", node, wall), ("pulse",); `time(now)` is the agreed wall time (§1.9).

    Between votes time goes on by the monotonic clock. It moves only to what a majority of those heard of late, this node
    among them, say within a minute of each other; a wall clock that jumps is outvoted, and where all jump apart nothing moves.

    >>> second = timedelta(seconds=1)
    >>> wall = [ZERO + 100 * second]
    >>> almanac = Almanac(lambda: wall[0], second)
    >>> for node in ("a", "b"): _ = almanac.take(("vote", node, 101_000), 2 * second)
    >>> wall[0] += timedelta(days=1); _ = almanac.take(("pulse",), 3 * second); almanac.time(3 * second) - ZERO
    datetime.timedelta(seconds=102)
    """

    __slots__ = ("wall", "votes", "offset", "is_agreed", "last_pulse", "due_at")

    EVERY = timedelta(seconds=0.25)
    RECENT = timedelta(seconds=30)
    NEAR = timedelta(minutes=1)
    LATE_PULSE = timedelta(seconds=1)

    def __init__(self, wall, now):
        self.wall, self.votes, self.is_agreed = wall, {}, False
        self.offset, self.last_pulse, self.due_at = wall() - ZERO - now, now, now

    def time(self, now) -> datetime:
        return ZERO + self.offset + now

    @property
    def vote(self) -> int:
        """This node's own wall clock, in milliseconds, as it tells others."""
        return (self.wall() - ZERO) // MILLI

    def take(self, message: tuple, now) -> list:
        if message[0] == "vote":
            if now - self.last_pulse < self.LATE_PULSE:  # what lay in a buffer tells an old time
                self.votes[message[1]] = (message[2] * MILLI - now, now)
            return []
        self.last_pulse = now
        if now >= self.due_at:
            self.due_at = now + self.EVERY
            self._count(now)
        return []

    def _count(self, now):
        self.votes = {node: vote for node, vote in self.votes.items() if now - vote[1] < self.RECENT}
        offsets = sorted([self.wall() - ZERO - now, *(offset for offset, _ in self.votes.values())])
        spans = [(place, bisect_right(offsets, first + self.NEAR)) for place, first in enumerate(offsets)]
        first, last = max(spans, key=lambda span: span[1] - span[0])
        largest = offsets[first:last]
        if len(offsets) > 1 and len(largest) * 2 > len(offsets):
            self.offset, self.is_agreed = median_low(largest), True


def test_one_is_outvoted_all_apart_move_nothing_and_a_majority_is_followed():
    second, wall = timedelta(seconds=1), [ZERO + timedelta(days=3)]
    almanac = Almanac(lambda: wall[0], second)
    true = 5 * 86_400_000
    for node in "abc":
        almanac.take(("vote", node, true), second)
    almanac.take(("pulse",), second)
    assert almanac.is_agreed and almanac.time(second) == ZERO + timedelta(days=5)
    for place, node in enumerate("abc"):
        almanac.take(("vote", node, true + (place - 1) * 86_400_000 * 9), second * 1.5)
    almanac.take(("pulse",), second * 1.5)
    assert almanac.time(second * 2) == ZERO + timedelta(days=5) + second
    almanac.take(("vote", "a", true - 10**9), second * 9)  # lay in a buffer while this node was away
    assert almanac.votes["a"][0] != (true - 10**9) * MILLI - second * 9
