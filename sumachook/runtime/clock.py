"""The real clocks of a daemon."""

import time
from datetime import UTC, datetime, timedelta


class Clock:
    """Monotonic time as a timedelta, wall time as an aware datetime (§1.3).

    Only the ledger's day and the logs use the wall; every wait is monotonic,
    so a wall clock that jumps moves no lease and no cutoff.
    """

    __slots__ = ()

    def mono(self) -> timedelta:
        """Counts on while the machine sleeps, so that a lease is over when it wakes."""
        return timedelta(seconds=time.clock_gettime(time.CLOCK_BOOTTIME))

    def wall(self) -> datetime:
        return datetime.now(UTC)


def test_wall_knows_its_offset():
    assert Clock().wall().utcoffset() == timedelta(0)
    assert Clock().mono() <= Clock().mono()
