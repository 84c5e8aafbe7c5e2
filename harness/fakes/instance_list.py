"""A fake of the platform's HTTP list of servers."""

import asyncio
from collections import deque
from random import Random

from aiohttp import web

from harness.fakes.delayed_view import DelayedView

PAGE = 3


class InstanceList:
    """Serves `GET /instances` in pages, with the state of the servers from `lag` seconds ago.

    The list is empty at first, and each reading of it has another order. Calls beyond `rate` per second are answered
    with status 429.
    """

    __slots__ = ("address", "servers", "rate", "calls", "history", "runner", "count")

    def __init__(self, address: str, servers: list, lag: float = 0.8, rate: float = 47.0):
        self.address, self.servers, self.rate = address, servers, rate
        self.history = DelayedView(lambda: [server.entry() for server in self.servers], lag, [])
        self.calls, self.runner, self.count = deque(), None, 0

    async def listen(self):
        app = web.Application()
        app.router.add_get("/instances", self._list)
        self.runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self.runner.setup()
        host, _, port = self.address.rpartition(":")
        await web.TCPSite(self.runner, host, int(port)).start()
        self.history.begin()

    async def end(self):
        self.history.end()
        if self.runner is not None:
            await self.runner.cleanup()

    async def _list(self, request):
        now = asyncio.get_running_loop().time()
        while self.calls and self.calls[0] <= now - 1:
            self.calls.popleft()
        if len(self.calls) >= self.rate:
            return web.Response(status=429)
        self.calls.append(now)
        self.count += 1
        zone, token = request.query.get("zone", ""), request.query.get("page-token", "")
        start, order = map(int, token.split("-")[1:]) if token.count("-") == 2 else (0, self.count)
        entries = [entry for entry in self.history.shown() if zone in ("", entry["zone"])]
        entries.sort(key=lambda entry: Random(f"{order}/{entry['instance-id']}").random())
        following = f"p-{start + PAGE}-{order}" if start + PAGE < len(entries) else None
        return web.json_response({"instances": entries[start : start + PAGE], "next-token": following})
