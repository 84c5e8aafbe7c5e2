"""A fake load balancer: chooses the edge node for each new connection of a client."""

import asyncio
from zlib import crc32

import aiohttp

PROBE_INTERVAL, MAX_MISSES = 1.0, 2


class Balancer:
    """Probes the readiness of every edge node once a second and distributes clients over the nodes of their zone.

    `choose` selects a node by a hash of the client and returns its client address. If fewer than half of a zone's nodes
    are ready, all of its nodes are used; if none is ready, the ready nodes of all zones are used.
    """

    __slots__ = ("nodes", "misses", "tasks", "changed")

    def __init__(self, nodes: list):
        self.nodes = nodes  # (zone, client address, readiness address) of each edge node
        self.misses, self.tasks, self.changed = {front: MAX_MISSES for _, front, _ in nodes}, [], asyncio.Event()

    def begin(self):
        self.tasks = [asyncio.ensure_future(self._probe(front, readiness)) for _, front, readiness in self.nodes]

    def end(self):
        for task in self.tasks:
            task.cancel()

    async def wait_until_all_ready(self):
        while any(self.misses.values()):
            self.changed.clear()
            await self.changed.wait()

    def choose(self, zone: str, client: str) -> str:
        own = [front for where, front, _ in self.nodes if where == zone]
        ready = [front for front in own if self.misses[front] < MAX_MISSES]
        fronts = ready if 2 * len(ready) >= len(own) else own
        if not ready:
            fronts = [front for _, front, _ in self.nodes if self.misses[front] < MAX_MISSES] or own
        return fronts[crc32(client.encode()) % len(fronts)]

    async def _probe(self, front, readiness):
        timeout = aiohttp.ClientTimeout(total=PROBE_INTERVAL)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                try:
                    async with session.get(f"http://{readiness}/readiness") as answer:
                        is_ready = answer.status == 200
                except (aiohttp.ClientError, TimeoutError):
                    is_ready = False
                self.misses[front] = 0 if is_ready else self.misses[front] + 1
                self.changed.set()
                await asyncio.sleep(PROBE_INTERVAL if is_ready else PROBE_INTERVAL / 4)
