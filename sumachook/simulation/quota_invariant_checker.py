"""The independent check of allowances, from callers' and servers' records alone."""

from bisect import bisect_left
from collections.abc import Iterator
from datetime import timedelta
from typing import Any, NamedTuple

SECOND = timedelta(seconds=1)
WINDOWS = (1, 3, 10)
LEASE = 0.4  # seconds (docs/design/quotas.md)
LEAST_BUSY = 6.0  # requests a second; below that no router asks ahead
MEMORY = 10.0  # seconds for which what was asked for beyond the floor is held against a tenant


class Run(NamedTuple):
    """A request as the server that ran it saw it.

    `tokens`: of the prompt and those that came out; `estimate`: of the prompt and the most that may come out.
    """

    at: timedelta
    tokens: float = 0.0
    estimate: float = 0.0


class Ask(NamedTuple):
    """A request as its caller saw it; `isRefused`: turned away for the tenant's allowance."""

    at: timedelta
    is_refused: bool


class Bounds(NamedTuple):
    """What the operator wrote, in requests and tokens: each a second, and what may be saved up."""

    ceiling: tuple[float, ...]
    floor: tuple[float, ...]
    burst: tuple[float, ...]
    floor_burst: tuple[float, ...]


class QuotaInvariantChecker:
    """`over(runs, ...)` and `short(asks, ...)` list what broke the rule of docs/design/quotas.md for one tenant."""

    __slots__ = ("bounds",)

    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds

    def bound(self, window: float, place: int, changes: int = 0, is_disturbed: bool = False, sides: int = 1) -> float:
        """The most requests (place 0) or tokens (place 1) in so many seconds (docs/design/quotas.md).

        `changes`: of the lending holder; `is_disturbed`: some router had nobody who lends; `sides`: parts of the
        network that have forgotten each other.
        """
        bounds = self.bounds
        if bounds.ceiling[place] == float("inf"):
            return bounds.ceiling[place]
        most = bounds.ceiling[place] * (window + 2 * LEASE) + bounds.burst[place] + changes * bounds.floor_burst[place]
        return most + (sides * (bounds.floor[place] * window + bounds.floor_burst[place]) if is_disturbed else 0.0)

    def over(self, runs: Any, span: Any = None, **state: Any) -> Iterator[str]:
        """Windows in which it ran more than the bound; `span`: (from, until) that is judged."""
        runs = sorted(run for run in runs if span is None or span[0] <= run.at < span[1])
        times = [run.at for run in runs]
        sums, in_hand = [0.0], max((run.estimate for run in runs), default=0.0)
        for run in runs:
            sums.append(sums[-1] + run.tokens)
        for window in WINDOWS:
            for first, start in enumerate(times):
                after = bisect_left(times, start + SECOND * window)
                counts = (after - first, sums[after] - sums[first])
                for place, (what, slack) in enumerate((("requests", 1.0), ("tokens", in_hand))):
                    most = self.bound(window, place, **state) + slack
                    if counts[place] > most + 1e-6:
                        yield f"{counts[place]:.0f} {what} in {window} s from {start}, at most {most:.1f}"
                        return

    def short(self, asks: Any, stranded: float = 0.0, span: Any = None) -> Iterator[str]:
        """Calls that were refused though all that was asked for was inside the floor (docs/design/quotas.md).

        `stranded`: requests that may lie in parts too small to be spent, one a router, while nobody lends; what is lent
        ahead to busy routers is not there for others either.
        """
        for ask, level in self._levels(asks, stranded):
            if level >= 1.0 and ask.is_refused and (span is None or span[0] <= ask.at < span[1]):
                yield f"a call at {ask.at} was refused with {level:.1f} requests of the floor left"

    def inside(self, asks: Any, stranded: float = 0.0) -> int:
        """Calls of which `short` would say so."""
        return sum(level >= 1.0 for _, level in self._levels(asks, stranded))

    def _levels(self, asks: Any, stranded: float) -> Iterator[Any]:
        """Each call with what the floor's bucket held just before."""
        rate, depth = self.bounds.floor[0], self.bounds.floor_burst[0]
        depth -= stranded + (2 * LEASE * rate if rate > LEAST_BUSY else 0.0)
        least = -max(MEMORY * rate, self.bounds.burst[0])
        level, last = depth, None
        for ask in sorted(asks):
            level = min(depth, level + rate * ((ask.at - last) / SECOND if last is not None else 0.0))
            last = ask.at
            yield ask, level
            level = max(least, level - 1.0)
