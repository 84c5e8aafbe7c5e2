"""The requests that one edge has in flight at one server, with its circuit breaker and overload backoff."""

from datetime import timedelta
from typing import ClassVar, NamedTuple


class BackoffPolicy(NamedTuple):
    """Configures when the circuit breaker of a server opens, and the bounds of the breaker and overload backoffs."""

    failures_to_open: int
    min_breaker_backoff: timedelta
    max_breaker_backoff: timedelta
    min_overload_backoff: timedelta
    max_overload_backoff: timedelta


class ServerWindow:
    """Tracks requests in flight, circuit breaker and overload backoff of one server, as seen by one edge.

    Both backoffs double with each further failure, up to the bounds of `BACKOFF`.
    """

    __slots__ = (
        "breaker_backoff",
        "breaker_open_until",
        "consecutive_failures",
        "in_use",
        "is_probing",
        "overload_backoff",
        "overloaded_until",
    )

    BACKOFF: ClassVar[BackoffPolicy]

    def __init__(self) -> None:
        self.in_use = 0
        self.consecutive_failures = 0
        self.breaker_backoff = self.BACKOFF.min_breaker_backoff
        self.breaker_open_until: timedelta | None = None
        self.is_probing = False
        self.overload_backoff = self.BACKOFF.min_overload_backoff
        self.overloaded_until: timedelta | None = None

    def is_breaker_open(self, now: timedelta) -> bool:
        """Returns whether the breaker blocks requests: its backoff has not ended, or its probe is still in flight."""
        return self.breaker_open_until is not None and (now < self.breaker_open_until or self.is_probing)

    def is_overloaded(self, now: timedelta) -> bool:
        """Returns whether the overload backoff lasts; the server is then used only if no other is available."""
        return self.overloaded_until is not None and now < self.overloaded_until

    def record_overload(self, now: timedelta, retry_after_s: float | None) -> None:
        """Starts or extends the overload backoff; `retry_after_s` is the wait that the server asked for, if any."""
        self.overloaded_until = now + max(self.overload_backoff, timedelta(seconds=retry_after_s or 0.0))
        self.overload_backoff = min(self.overload_backoff * 2, self.BACKOFF.max_overload_backoff)

    def clear_overload(self) -> None:
        """Ends the overload backoff."""
        self.overloaded_until = None
        self.overload_backoff = self.BACKOFF.min_overload_backoff

    def count_attempt(self) -> None:
        """Counts the start of an attempt, which is the probe if the breaker is open."""
        self.in_use += 1
        if self.breaker_open_until is not None:
            self.is_probing = True

    def record_success(self) -> None:
        """Closes the circuit breaker, because the server answered."""
        self.is_probing = False
        self.consecutive_failures = 0
        self.breaker_backoff = self.BACKOFF.min_breaker_backoff
        self.breaker_open_until = None

    def record_failure(self, now: timedelta, spread: float = 0.0, max_breaker_backoff: timedelta | None = None) -> None:
        """Counts a server failure and may open the breaker; `spread` (0 to 1) is the fraction added to its backoff."""
        self.is_probing = False
        self.consecutive_failures += 1
        if self.consecutive_failures >= self.BACKOFF.failures_to_open:
            self.breaker_open_until = now + self.breaker_backoff * (1 + spread)
            self.breaker_backoff = min(
                self.breaker_backoff * 2, max_breaker_backoff or self.BACKOFF.max_breaker_backoff
            )
