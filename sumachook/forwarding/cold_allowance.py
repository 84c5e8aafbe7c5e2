"""Divides the request rate of a cold server (one in slow start) among all edges."""

from datetime import timedelta

# Fraction of the allowed burst that edges use; the rest covers edges that disagree on the time or on their number.
BURST_FRACTION = 0.8


class ColdAllowance:
    """Computes this edge's share of the requests a cold server can handle; the shares of all edges add up to its limit.

    A cold server can handle `rate` requests per second, and `rate * overshoot + slack` from all edges within any one
    second. The difference is the burst. If the burst is at least one request per edge, each edge keeps a token bucket
    of one request (`ServerWindow`). Otherwise an edge may send one request within a time window of its own. The windows
    start one after the other by the rank of the edge, `1 / rate` seconds apart in cluster time; as many of them are
    open at once as the burst has requests.

    >>> second = timedelta(seconds=1)
    >>> parts = [ColdAllowance(1.5, 5.0) for _ in range(60)]
    >>> for rank, part in enumerate(parts): part.rank, part.edges = rank, len(parts)
    >>> parts[0].needs_window(20.0), sum(part.window(20.0, second * 0.999) is not None for part in parts)
    (True, 12)
    """

    __slots__ = ("overshoot", "slack", "rank", "edges")

    def __init__(self, overshoot: float, slack: float) -> None:
        self.overshoot = overshoot
        self.slack = slack
        self.rank = 0
        self.edges = 1

    def _burst(self, rate: float) -> float:
        """Returns the burst: how many requests all edges together may save up while they send none."""
        return BURST_FRACTION * ((self.overshoot - 1) * rate + self.slack)

    def needs_window(self, rate: float) -> bool:
        """Returns whether there are more edges than requests in the burst, so that edges take turns in windows."""
        return self.edges > self._burst(rate)

    def window(self, rate: float, cluster_time: timedelta) -> int | None:
        """Returns the number of this edge's window that is open at this cluster time, or None if none is."""
        period = self.edges / rate
        since_first = cluster_time.total_seconds() - self.rank / rate
        number = int(since_first // period)
        return number if since_first - number * period < self._burst(rate) / rate else None
