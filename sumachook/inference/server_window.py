"""Requests in flight from one edge at one server, with circuit breaker and slow start."""

from datetime import timedelta

from sumachook.requests import server_window
from sumachook.requests.server_window import BackoffPolicy

# Minimum interval between breaker probes of all edges together, so that they do not hit a recovering server at once.
PROBE_SPACING = timedelta(seconds=0.5)
# Longest breaker backoff after failed lookups, for any number of edges.
MAX_LOOKUP_BACKOFF = timedelta(seconds=2)
SLOW_START_STEP = timedelta(seconds=1.5)  # the limit on requests to a warming server doubles in each step
MAX_DOUBLINGS = 16  # 2 << 16 is far above any number of slots; bounds the shift after a long slow start
WHOLE_SERVER = ""  # item key for the slow start of a server on which no model is past its own slow start


class ServerWindow(server_window.ServerWindow):
    """Tracks requests in flight by item and queue, the breaker and the slow start of one server, as seen by one edge.

    >>> window = ServerWindow()
    >>> for _ in range(ServerWindow.BACKOFF.failures_to_open): window.record_failure(timedelta(0))
    >>> window.is_breaker_open(timedelta(seconds=1)), window.is_breaker_open(timedelta(seconds=3))
    (True, False)
    >>> window.begin("m", "audit"); window.is_breaker_open(timedelta(seconds=3))
    True
    """

    __slots__ = ("in_use_by_item", "in_use_by_queue", "warming_since")

    # Prompts run long, so the breaker opens after more failures than for a proxied service, with longer backoffs.
    BACKOFF = BackoffPolicy(
        failures_to_open=4,
        min_breaker_backoff=timedelta(seconds=2),
        max_breaker_backoff=timedelta(seconds=5),
        min_overload_backoff=timedelta(seconds=1),
        max_overload_backoff=timedelta(seconds=8),
    )

    def __init__(self) -> None:
        super().__init__()
        self.in_use_by_item: dict[str, int] = {}
        self.in_use_by_queue: dict[str, int] = {}
        self.warming_since: dict[str, timedelta] = {}  # when the slow start of each item began

    def begin(self, item: str, queue: str) -> None:
        """Counts the start of an attempt for this item (a model, or `records`) and queue."""
        self.count_attempt()
        self.in_use_by_item[item] = self.in_use_by_item.get(item, 0) + 1
        self.in_use_by_queue[queue] = self.in_use_by_queue.get(queue, 0) + 1

    def end(self, item: str, queue: str) -> None:
        """Counts the end of an attempt."""
        self.in_use -= 1
        self.in_use_by_item[item] -= 1
        self.in_use_by_queue[queue] -= 1

    def probe_now(self, now: timedelta) -> None:
        """Lets one probe through an open breaker at once: failures seen while this edge was cut off say nothing
        about the server.
        """
        if self.breaker_open_until is not None:
            self.breaker_backoff = self.BACKOFF.min_breaker_backoff
            self.breaker_open_until = min(now, self.breaker_open_until)

    def slow_start_limit(self, item: str, slots: int, rank: int, edges: int, now: timedelta) -> int:
        """Returns how many requests the edge of this rank may have in flight for an item in slow start.

        The limit of all edges together starts at two and doubles with each step without a failure.
        """
        since = self.warming_since.setdefault(item, now)
        total = min(slots, 2 << min(MAX_DOUBLINGS, int((now - since) / SLOW_START_STEP)))
        return total // edges + (rank < total % edges)

    def restart_slow_start(self, item: str, now: timedelta) -> None:
        """Restarts the slow start of the item and of the server after a failure."""
        for warming in (item, WHOLE_SERVER):
            if warming in self.warming_since:
                self.warming_since[warming] = now
