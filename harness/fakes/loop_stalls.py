"""When the event loop of this process stood still: what its clocks measured meanwhile says nothing of others."""

import asyncio
from typing import NamedTuple

INTERVAL = 0.05  # seconds between two looks
SHORTEST_STALL = 0.25  # seconds


class Stall(NamedTuple):
    """A time in which the loop ran nothing, by its own clock in seconds."""

    since: float
    until: float

    @property
    def seconds(self) -> float:
        """How long it lasted."""
        return self.until - self.since


class LoopStalls:
    """Looks at the clock again and again, as a task of the loop; `stalls` are the times in which it could not."""

    __slots__ = ("stalls", "looked_at", "task")

    def __init__(self):
        self.stalls: list[Stall] = []
        self.looked_at = 0.0
        self.task: asyncio.Task | None = None

    def begin(self):
        """Looks from now on."""
        self.looked_at = asyncio.get_running_loop().time()
        self.task = asyncio.get_running_loop().create_task(self._look())

    def end(self):
        """Looks no more."""
        if self.task is not None:
            self.task.cancel()

    async def _look(self):
        while True:
            await asyncio.sleep(INTERVAL)
            self.note(asyncio.get_running_loop().time())

    def note(self, now: float):
        """The loop runs now."""
        due_at = self.looked_at + INTERVAL
        if now - due_at >= SHORTEST_STALL:
            self.stalls.append(Stall(due_at, now))
        self.looked_at = now

    def seconds_within(self, since: float, until: float) -> float:
        """For how long the loop stood still between two times."""
        return sum(max(0.0, min(until, stall.until) - max(since, stall.since)) for stall in self.stalls)

    def describe(self) -> str:
        """How often it stood still, and for how long."""
        if not self.stalls:
            return "this process never stood still"
        seconds = [stall.seconds for stall in self.stalls]
        total, longest = sum(seconds), max(seconds)
        return f"this process stood still {len(seconds)} times, for {total:.2f} s in all, {longest:.2f} s at most"
