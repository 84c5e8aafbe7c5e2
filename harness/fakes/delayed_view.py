"""A view that shows the value of a function with a fixed delay."""

import asyncio
from collections import deque

POLL_INTERVAL = 0.05


class DelayedView:
    """Polls `read_value()` twenty times a second between `begin` and `end`.

    `shown` returns the value from `lag` seconds ago, or the initial value until then.
    """

    __slots__ = ("read_value", "lag", "samples", "task")

    def __init__(self, read_value, lag: float, first):
        self.read_value, self.lag, self.samples, self.task = read_value, lag, deque([(0.0, first)]), None

    def begin(self):
        self.task = asyncio.ensure_future(self._poll())

    def end(self):
        if self.task is not None:
            self.task.cancel()

    def shown(self):
        return self.samples[0][1]

    async def _poll(self):
        while True:
            now = asyncio.get_running_loop().time()
            self.samples.append((now, self.read_value()))
            while len(self.samples) > 1 and self.samples[1][0] <= now - self.lag:
                self.samples.popleft()
            await asyncio.sleep(POLL_INTERVAL)
