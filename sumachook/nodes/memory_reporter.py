"""Tells of memory pressure: a log line, at most once a second, and figures for the metrics of the node."""

from collections.abc import Callable

from sumachook.host.events import Event, MemoryMeasured
from sumachook.memory.budget import MEBIBYTE, MemoryBudget
from sumachook.runtime.log_function import LogFunction

REPORT_INTERVAL_S = 1.0
REPORTED_GROWTH_BYTES = MEBIBYTE  # growth of the peak that is worth new figures


class MemoryReporter:
    """Reports evictions and refusals since the last report; `report` is called at each tick."""

    __slots__ = ("budget", "on_event", "log", "next_at", "_evictions", "_refusals", "_peak_bytes")

    def __init__(self, budget: MemoryBudget, on_event: Callable[[Event], None], log: LogFunction) -> None:
        self.budget = budget
        self.on_event = on_event
        self.log = log
        self.next_at = 0.0
        self._evictions = 0
        self._refusals = 0
        self._peak_bytes = 0

    def report(self, now: float) -> None:
        """Logs what was evicted and refused since the last report, and delivers new figures; `now` is in seconds."""
        if now < self.next_at:
            return
        budget = self.budget
        evictions, refusals = budget.evictions.total(), budget.refusals.total()
        is_pressed = evictions > self._evictions or refusals > self._refusals
        if not is_pressed and budget.peak_bytes < self._peak_bytes + REPORTED_GROWTH_BYTES:
            return
        self.next_at = now + REPORT_INTERVAL_S
        if is_pressed:
            self._log(evictions - self._evictions, refusals - self._refusals)
        self._evictions, self._refusals, self._peak_bytes = evictions, refusals, budget.peak_bytes
        self.on_event(MemoryMeasured(budget.describe()))

    def _log(self, evictions: int, refusals: int) -> None:
        fields = {
            "evicted": evictions,
            "refused": refusals,
            "heldMb": round(self.budget.held_bytes / MEBIBYTE, 1),
            "totalMb": round(self.budget.total_bytes / MEBIBYTE, 1),
        }
        self.log("warning", "memory", "Memory or connections are short: peers that stall are ended.", fields)
