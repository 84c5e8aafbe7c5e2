"""The real clocks of a process."""

import time
from datetime import UTC, datetime, timedelta
from typing import Protocol


class NodeClock(Protocol):
    """The clocks that a node is given at its start."""

    def mono(self) -> timedelta:
        """Monotonic time."""

    def wall(self) -> datetime:
        """Wall time, in UTC."""


class Clock:
    """Monotonic time as a timedelta, wall time as an aware datetime.

    Only the day of the ledger, the agreed time and the logs use the wall clock; every wait is by monotonic time, so
    that a wall clock that jumps moves no lease and no timeout.
    """

    __slots__ = ()

    def mono(self) -> timedelta:
        """Monotonic time, which goes on while the machine sleeps, so that a lease is over when it wakes."""
        return timedelta(seconds=time.clock_gettime(time.CLOCK_BOOTTIME))

    def wall(self) -> datetime:
        """Wall time, in UTC."""
        return datetime.now(UTC)
