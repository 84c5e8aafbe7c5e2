"""The monotonic clock and the wall clock of a process."""

import time
from datetime import UTC, datetime, timedelta
from typing import Protocol


class NodeClock(Protocol):
    """Interface of the clocks that a node receives at startup."""

    def mono(self) -> timedelta:
        """Monotonic time."""

    def wall(self) -> datetime:
        """Wall time, in UTC."""


class Clock:
    """Monotonic time as a timedelta, wall time as a timezone-aware datetime.

    Only the day of a ledger record, the agreed cluster time and the logs use the wall clock. All waits use monotonic
    time, so that a jump of the wall clock affects no lease and no timeout.
    """

    __slots__ = ()

    def mono(self) -> timedelta:
        """Monotonic time, which advances while the machine is suspended, so that a lease expires during suspension."""
        return timedelta(seconds=time.clock_gettime(time.CLOCK_BOOTTIME))

    def wall(self) -> datetime:
        """Wall time, in UTC."""
        return datetime.now(UTC)
