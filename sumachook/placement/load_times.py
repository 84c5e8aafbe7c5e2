"""Estimates the duration of orders from those that have completed."""

from collections.abc import Hashable
from datetime import timedelta
from typing import NamedTuple

MS = timedelta(milliseconds=1)


class OrderKind(NamedTuple):
    """Groups orders of equal expected duration; `load_ms` is the configured load time of a model, else 0."""

    service: str
    verb: str
    is_adapter: bool
    is_from_store: bool
    load_ms: float


class LoadTimeEstimates:
    """Estimates the median duration of each kind of order, which sets the time of the first poll.

    A single slow order moves the estimate by one small step only.

    >>> load_times = LoadTimeEstimates()
    >>> load_times.estimate("load", MS * 600) / MS
    600.0
    >>> load_times.record("load", MS * 4000, 9)  # nine polls: the estimate was too short
    >>> load_times.estimate("load", MS * 600) / MS
    630.0
    >>> load_times.record("load", MS * 630, 1)
    >>> load_times.estimate("load", MS * 600) / MS
    615.0
    """

    __slots__ = ("estimates", "steps")

    FIRST_STEP = MS * 30  # first step of an estimate; an initial estimate may be wrong by about this much
    MIN_STEP = MS * 2  # minimum to which steps halve, so that estimates keep following the durations

    def __init__(self) -> None:
        self.estimates: dict[Hashable, timedelta] = {}
        self.steps: dict[Hashable, timedelta] = {}

    def estimate(self, kind: Hashable, first: timedelta) -> timedelta:
        """Returns the estimate for a kind of order; the first call stores `first` as the initial estimate."""
        return self.estimates.setdefault(kind, first)

    def estimate_or(self, kind: Hashable, default: timedelta) -> timedelta:
        """Returns the estimate for a kind of order, or `default` without storing it."""
        return self.estimates.get(kind, default)

    def record(self, kind: Hashable, duration: timedelta, polls: int) -> None:
        """Moves the estimate by one step: up if the completed order needed more than one poll, else down."""
        estimate = self.estimates.get(kind, duration)
        step = self.steps.get(kind, self.FIRST_STEP)
        self.steps[kind] = max(self.MIN_STEP, step / 2)
        if polls > 1:
            self.estimates[kind] = min(duration, estimate + step)
        else:
            self.estimates[kind] = max(self.MIN_STEP, estimate - step)
