"""Counts of attempt outcomes at one edge since its last report."""

from datetime import timedelta

REPORT_INTERVAL = timedelta(seconds=1)
FAILURE_REPORT_INTERVAL = timedelta(seconds=0.1)  # short, so that an outlier is ejected before it fails many requests


class OutcomeCounts:
    """Counts successful and failed attempts by server.

    `due(now)` returns {server: (successes, failures)} when a report is due, and resets the counts. The interval between
    reports is 0.1 seconds if an attempt failed, else one second.

    >>> outcome_counts, second = OutcomeCounts(timedelta(0)), timedelta(seconds=1)
    >>> outcome_counts.note("i-1", True); outcome_counts.note("i-1", False); outcome_counts.note("i-2", True)
    >>> outcome_counts.due(second * 0.1), outcome_counts.due(second * 2)
    ({'i-1': (1, 1), 'i-2': (1, 0)}, None)
    """

    __slots__ = ("_counts", "_has_failures", "reported_at")

    def __init__(self, now: timedelta) -> None:
        self._counts: dict[str, tuple[int, int]] = {}
        self._has_failures = False
        self.reported_at = now

    def note(self, server: str, is_success: bool) -> None:
        """Counts the outcome of an attempt at a server."""
        successes, failures = self._counts.get(server, (0, 0))
        if is_success:
            self._counts[server] = (successes + 1, failures)
        else:
            self._counts[server] = (successes, failures + 1)
            self._has_failures = True

    def due(self, now: timedelta) -> dict[str, tuple[int, int]] | None:
        """Returns and resets the counts if a report is due, else None."""
        interval = FAILURE_REPORT_INTERVAL if self._has_failures else REPORT_INTERVAL
        if not self._counts or now - self.reported_at < interval:
            return None
        counts = self._counts
        self._counts = {}
        self._has_failures = False
        self.reported_at = now
        return counts
