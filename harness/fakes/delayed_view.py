"""A view that shows the value of a function with a fixed delay."""

import asyncio
from collections import deque

EVERY = 0.05


class DelayedView:
    """Polls `look()` twenty times a second between `begin` and `end`.

    `shown` returns the value from `lag` seconds ago, or the initial value until then.
    """

    __slots__ = ("look", "lag", "seen", "task")

    def __init__(self, look, lag: float, first):
        self.look, self.lag, self.seen, self.task = look, lag, deque([(0.0, first)]), None

    def begin(self):
        self.task = asyncio.ensure_future(self._go_on())

    def end(self):
        if self.task is not None:
            self.task.cancel()

    def shown(self):
        return self.seen[0][1]

    async def _go_on(self):
        while True:
            now = asyncio.get_running_loop().time()
            self.seen.append((now, self.look()))
            while len(self.seen) > 1 and self.seen[1][0] <= now - self.lag:
                self.seen.popleft()
            await asyncio.sleep(EVERY)
