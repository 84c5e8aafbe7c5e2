"""Checks the quota of a tenant from the records of clients and servers alone."""

from bisect import bisect_left
from collections.abc import Iterator
from datetime import timedelta
from typing import Any, NamedTuple

SECOND = timedelta(seconds=1)
WINDOWS = (1, 3, 10)
LEASE = 0.4  # seconds (docs/design/quotas.md)
MIN_BORROWING_RATE = 6.0  # requests per second; below that rate no router borrows ahead of demand
EXCESS_MEMORY = 10.0  # seconds for which demand above the floor counts against a tenant


class Run(NamedTuple):
    """A request as recorded by the server that ran it.

    `tokens` counts the prompt and the generated tokens, `estimate` the prompt and the most that may be generated.
    """

    at: timedelta
    tokens: float = 0.0
    estimate: float = 0.0


class ClientRequest(NamedTuple):
    """A request as recorded by its client; `is_refused` tells whether the tenant's quota refused it."""

    at: timedelta
    is_refused: bool


class Bounds(NamedTuple):
    """A tenant's configured quota as (requests, tokens): rates per second and the bursts that may be saved up."""

    ceiling: tuple[float, ...]
    floor: tuple[float, ...]
    burst: tuple[float, ...]
    floor_burst: tuple[float, ...]


class QuotaInvariantChecker:
    """Lists violations of one tenant's ceiling and floor by the rules of docs/design/quotas.md."""

    __slots__ = ("bounds",)

    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds

    def bound(self, window: float, place: int, changes: int = 0, is_disturbed: bool = False, sides: int = 1) -> float:
        """Returns the most requests (place 0) or tokens (place 1) allowed in `window` seconds (docs/design/quotas.md).

        `changes` counts the changes of the node that lends quota, `is_disturbed` tells whether some router could reach
        no such node, and `sides` counts the network partitions that no longer know of each other.
        """
        bounds = self.bounds
        if bounds.ceiling[place] == float("inf"):
            return bounds.ceiling[place]
        most = bounds.ceiling[place] * (window + 2 * LEASE) + bounds.burst[place] + changes * bounds.floor_burst[place]
        return most + (sides * (bounds.floor[place] * window + bounds.floor_burst[place]) if is_disturbed else 0.0)

    def ceiling_violations(self, runs: Any, span: Any = None, **state: Any) -> Iterator[str]:
        """Yields windows in which more than the bound ran; with `span` (start, end), only runs in it are checked."""
        runs = sorted(run for run in runs if span is None or span[0] <= run.at < span[1])
        times = [run.at for run in runs]
        sums, max_estimate = [0.0], max((run.estimate for run in runs), default=0.0)
        for run in runs:
            sums.append(sums[-1] + run.tokens)
        for window in WINDOWS:
            for first, start in enumerate(times):
                after = bisect_left(times, start + SECOND * window)
                counts = (after - first, sums[after] - sums[first])
                for place, (what, slack) in enumerate((("requests", 1.0), ("tokens", max_estimate))):
                    most = self.bound(window, place, **state) + slack
                    if counts[place] > most + 1e-6:
                        yield f"{counts[place]:.0f} {what} in {window} s from {start}, at most {most:.1f}"
                        return

    def floor_violations(self, asks: Any, stranded: float = 0.0, span: Any = None) -> Iterator[str]:
        """Yields calls that were refused although the tenant's demand was within its floor (docs/design/quotas.md).

        `stranded` is the number of requests that may lie unused at routers in fractions below one, one for each
        router, while no node lends. Quota lent ahead to busy routers is not available to others either.
        """
        for ask, level in self._levels(asks, stranded):
            if level >= 1.0 and ask.is_refused and (span is None or span[0] <= ask.at < span[1]):
                yield f"a call at {ask.at} was refused while {level:.1f} requests of the floor were left"

    def count_within_floor(self, asks: Any, stranded: float = 0.0) -> int:
        """Counts the calls within the floor, which `floor_violations` would report if they were refused."""
        return sum(level >= 1.0 for _, level in self._levels(asks, stranded))

    def _levels(self, asks: Any, stranded: float) -> Iterator[Any]:
        """Yields each call with the level of the floor's token bucket just before it."""
        rate, depth = self.bounds.floor[0], self.bounds.floor_burst[0]
        depth -= stranded + (2 * LEASE * rate if rate > MIN_BORROWING_RATE else 0.0)
        least = -max(EXCESS_MEMORY * rate, self.bounds.burst[0])
        level, last = depth, None
        for ask in sorted(asks):
            level = min(depth, level + rate * ((ask.at - last) / SECOND if last is not None else 0.0))
            last = ask.at
            yield ask, level
            level = max(least, level - 1.0)
