"""What an edge has in flight at one server of a service."""

from datetime import timedelta

from sumachook.requests import server_window
from sumachook.requests.server_window import BackoffPolicy

# A connection that rests is likely to be there for so long; a little less than it is kept.
KEPT_CONNECTION_TIME = timedelta(seconds=6)


class ServerWindow(server_window.ServerWindow):
    """Requests in flight, prompt tokens not yet read, breaker and backoffs of one server, as one edge sees them.

    >>> window = ServerWindow()
    >>> for _ in range(ServerWindow.BACKOFF.failures_to_open): window.record_failure(timedelta(0))
    >>> window.is_breaker_open(timedelta(seconds=0.3)), window.is_breaker_open(timedelta(seconds=1))
    (True, False)
    """

    __slots__ = (
        "cached_prefixes",
        "cold_tokens",
        "cold_tokens_at",
        "cold_window",
        "kept_connections",
        "kept_since",
        "pending_tokens",
        "unreachable_backoff",
        "unreachable_until",
    )

    # Forwarded requests are short: a failing server is left quickly, and tried again soon.
    BACKOFF = BackoffPolicy(
        failures_to_open=2,
        min_breaker_backoff=timedelta(seconds=0.5),
        max_breaker_backoff=timedelta(seconds=4),
        min_overload_backoff=timedelta(seconds=0.1),
        max_overload_backoff=timedelta(seconds=1),
    )

    def __init__(self) -> None:
        super().__init__()
        self.pending_tokens = 0  # of prompts that are not read yet
        self.unreachable_until: timedelta | None = None
        self.unreachable_backoff = self.BACKOFF.min_breaker_backoff
        # when a prefix was last sent there, by model, adapter and the ids of the prompt's parts up to here
        self.cached_prefixes: dict[tuple[str, str, tuple[str, ...]], timedelta] = {}
        # the token bucket of a cold server, and the last window of the `ColdAllowance` that was used
        self.cold_tokens = 0.0
        self.cold_tokens_at: timedelta | None = None
        self.cold_window: int | None = None
        # about how many connections to it rest, and since when the last of them does
        self.kept_connections = 0
        self.kept_since = timedelta(0)

    def is_unreachable(self, now: timedelta) -> bool:
        """Whether nobody listened there a moment ago: nothing is sent until a probe is due."""
        return self.unreachable_until is not None and now < self.unreachable_until

    def record_unreachable(self, now: timedelta) -> None:
        """Nobody listens there."""
        self.unreachable_until = now + self.unreachable_backoff
        self.unreachable_backoff = min(self.unreachable_backoff * 2, self.BACKOFF.max_breaker_backoff)

    def begin(self, tokens: int) -> None:
        """An attempt with so many prompt tokens begins."""
        self.count_attempt()
        self.pending_tokens += tokens
        self.kept_connections = max(0, self.kept_connections - 1)

    def note_kept_connection(self, now: timedelta) -> None:
        """An answer is complete, and its connection may carry another request."""
        self.kept_connections += 1
        self.kept_since = now

    def has_kept_connection(self, now: timedelta) -> bool:
        """Whether a request that is sent now is likely to need no new connection."""
        if now - self.kept_since > KEPT_CONNECTION_TIME:
            self.kept_connections = 0
        return self.kept_connections > 0

    def record_success(self) -> None:
        """The server answers: all backoffs end."""
        super().record_success()
        self.clear_overload()
        self.unreachable_until = None
        self.unreachable_backoff = self.BACKOFF.min_breaker_backoff

    def may_send_cold(self, per_second: float, now: timedelta) -> bool:
        """A bucket of this edge's part of what the cold server bears a second; it holds one request at most."""
        if self.cold_tokens_at is None:
            self.cold_tokens_at = now
            self.cold_tokens = 1.0
        self.cold_tokens = min(1.0, self.cold_tokens + per_second * (now - self.cold_tokens_at).total_seconds())
        self.cold_tokens_at = now
        return self.cold_tokens >= 1.0

    def count_cold_request(self, window: int | None = None) -> None:
        """Counts a request to a cold server: one token of the bucket, and this edge's window where it has one."""
        self.cold_tokens -= 1.0
        self.cold_window = window
