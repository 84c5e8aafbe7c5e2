"""The per-server state of an edge's forwarding pipeline: requests in flight, backoffs and caches."""

from datetime import timedelta

from sumachook.forwarding.request_metadata import RequestMetadata
from sumachook.requests import server_window
from sumachook.requests.server_window import BackoffPolicy

# An idle connection counts as usable for this time; a little shorter than it is kept open.
KEPT_CONNECTION_TIME = timedelta(seconds=6)
# Prompt prefixes that are remembered for one server: parts and characters of one prompt, and prefixes in all.
MAX_PREFIX_PARTS = 32
MAX_PREFIX_CHARS = 1024
MAX_CACHED_PREFIXES = 1024


class ServerWindow(server_window.ServerWindow):
    """Tracks requests in flight, unread prompt tokens, circuit breaker and backoffs of one server, as seen by one edge.

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

    # Forwarded requests are short, so a failing server is avoided quickly and probed again soon.
    BACKOFF = BackoffPolicy(
        failures_to_open=2,
        min_breaker_backoff=timedelta(seconds=0.5),
        max_breaker_backoff=timedelta(seconds=4),
        min_overload_backoff=timedelta(seconds=0.1),
        max_overload_backoff=timedelta(seconds=1),
    )

    def __init__(self) -> None:
        super().__init__()
        self.pending_tokens = 0  # prompt tokens sent to the server that it has not read yet
        self.unreachable_until: timedelta | None = None
        self.unreachable_backoff = self.BACKOFF.min_breaker_backoff
        # when a prompt prefix was last sent to the server, by model, adapter and the part ids of the prefix
        self.cached_prefixes: dict[tuple[str, str, tuple[str, ...]], timedelta] = {}
        # token bucket for a cold server, and the last `ColdAllowance` window used
        self.cold_tokens = 0.0
        self.cold_tokens_at: timedelta | None = None
        self.cold_window: int | None = None
        # estimated number of idle connections to the server, and when the latest became idle
        self.kept_connections = 0
        self.kept_since = timedelta(0)

    def note_sent_prefixes(self, metadata: RequestMetadata, now: timedelta) -> None:
        """Records the prefixes of a prompt that is sent to the server, unless it names too many or too long parts."""
        parts = [part for part, _ in metadata.parts[:-1]]
        names = (metadata.model, metadata.adapter, *parts)
        if len(parts) > MAX_PREFIX_PARTS or sum(map(len, names)) > MAX_PREFIX_CHARS:
            return
        for end in range(1, len(parts) + 1):
            prefix = (metadata.model, metadata.adapter, tuple(parts[:end]))
            if prefix in self.cached_prefixes or len(self.cached_prefixes) < MAX_CACHED_PREFIXES:
                self.cached_prefixes[prefix] = now

    def is_unreachable(self, now: timedelta) -> bool:
        """Returns whether the last connection attempt failed recently; nothing is sent until the backoff ends."""
        return self.unreachable_until is not None and now < self.unreachable_until

    def record_unreachable(self, now: timedelta) -> None:
        """Records that the server accepted no connection, and doubles the backoff."""
        self.unreachable_until = now + self.unreachable_backoff
        self.unreachable_backoff = min(self.unreachable_backoff * 2, self.BACKOFF.max_breaker_backoff)

    def begin(self, tokens: int) -> None:
        """Counts the start of an attempt whose prompt has `tokens` tokens."""
        self.count_attempt()
        self.pending_tokens += tokens
        self.kept_connections = max(0, self.kept_connections - 1)

    def note_kept_connection(self, now: timedelta) -> None:
        """Counts an idle connection: a response is complete, and its connection can be reused."""
        self.kept_connections += 1
        self.kept_since = now

    def has_kept_connection(self, now: timedelta) -> bool:
        """Returns whether a request sent now is likely to reuse an idle connection."""
        if now - self.kept_since > KEPT_CONNECTION_TIME:
            self.kept_connections = 0
        return self.kept_connections > 0

    def record_success(self) -> None:
        """Ends all backoffs, because the server answered."""
        super().record_success()
        self.clear_overload()
        self.unreachable_until = None
        self.unreachable_backoff = self.BACKOFF.min_breaker_backoff

    def may_send_cold(self, per_second: float, now: timedelta) -> bool:
        """Refills the token bucket at `per_second`, up to one request, and returns whether it covers a request."""
        if self.cold_tokens_at is None:
            self.cold_tokens_at = now
            self.cold_tokens = 1.0
        self.cold_tokens = min(1.0, self.cold_tokens + per_second * (now - self.cold_tokens_at).total_seconds())
        self.cold_tokens_at = now
        return self.cold_tokens >= 1.0

    def count_cold_request(self, window: int | None = None) -> None:
        """Counts a request to a cold server: takes one token from the bucket and records the `ColdAllowance` window."""
        self.cold_tokens -= 1.0
        self.cold_window = window
