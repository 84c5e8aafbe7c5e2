"""Records stalls of this process's event loop: durations measured meanwhile say nothing about other processes."""

import asyncio
from typing import NamedTuple

INTERVAL = 0.05  # seconds between two readings of the clock
SHORTEST_STALL = 0.25  # seconds; shorter delays are not recorded as stalls


class Stall(NamedTuple):
    """An interval in which the event loop ran nothing, in seconds of its own clock."""

    since: float
    until: float

    @property
    def seconds(self) -> float:
        """The length of the stall in seconds."""
        return self.until - self.since


class LoopStalls:
    """A task of the event loop that reads the clock at a fixed interval; a late reading is recorded in `stalls`."""

    __slots__ = ("stalls", "looked_at", "task")

    def __init__(self):
        self.stalls: list[Stall] = []
        self.looked_at = 0.0
        self.task: asyncio.Task | None = None

    def begin(self):
        """Starts reading the clock."""
        self.looked_at = asyncio.get_running_loop().time()
        self.task = asyncio.get_running_loop().create_task(self._look())

    def end(self):
        """Stops reading the clock."""
        if self.task is not None:
            self.task.cancel()

    async def _look(self):
        while True:
            await asyncio.sleep(INTERVAL)
            self.note(asyncio.get_running_loop().time())

    def note(self, now: float):
        """Records that the event loop ran at `now`, and a stall if that is 0.25 s or more after the due time."""
        due_at = self.looked_at + INTERVAL
        if now - due_at >= SHORTEST_STALL:
            self.stalls.append(Stall(due_at, now))
        self.looked_at = now

    def seconds_within(self, since: float, until: float) -> float:
        """Returns for how many seconds the event loop was stalled between two times."""
        return sum(max(0.0, min(until, stall.until) - max(since, stall.since)) for stall in self.stalls)

    def describe(self) -> str:
        """Returns a sentence with the number, the total and the maximum duration of the stalls."""
        if not self.stalls:
            return "this process never stalled"
        seconds = [stall.seconds for stall in self.stalls]
        total, longest = sum(seconds), max(seconds)
        return f"this process stalled {len(seconds)} times, for {total:.2f} s in all, {longest:.2f} s at most"
