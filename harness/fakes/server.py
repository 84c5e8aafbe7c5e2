"""The base class of the fake servers: start, stop, identity, response seals, and responses that promise "not run"."""

import asyncio
from itertools import count

from aiohttp import web

REQUEST, SEAL, INSTANCE, NOT_RUN = (
    "Sumachook-Request-Id",
    "Sumachook-Server-Seal",
    "Sumachook-Instance",
    "Sumachook-Not-Run",
)
EXPECTED, DEADLINE = "Sumachook-Expect-Instance", "Sumachook-Deadline-Remaining"
NUMBERS = count(1)


class Server:
    """One incarnation of a fake server; `listen` starts it, `end` stops it abruptly, as a crash does."""

    __slots__ = (
        "instance",
        "service",
        "address",
        "zone",
        "slots",
        "call_history",
        "runner",
        "seals",
        "is_leaving",
        "last_call_at",
    )

    def __init__(self, service: str, address: str, zone: str, slots: int, call_history):
        self.instance, self.service, self.address, self.zone, self.slots = (
            f"i-{next(NUMBERS):04x}",
            service,
            address,
            zone,
            slots,
        )
        self.call_history, self.runner, self.seals = call_history, None, count(1)
        self.is_leaving = False  # whether every request is refused, before a planned restart
        self.last_call_at = 0.0  # the loop's time of the last report request, order or request for this server

    async def listen(self):
        app = web.Application(client_max_size=8 << 20)
        self._add_paths(app)
        app.router.add_route("*", "/{path:.*}", self._ask)
        self.runner = web.AppRunner(app, access_log=None, handler_cancellation=True, shutdown_timeout=0.1)
        await self.runner.setup()
        host, _, port = self.address.rpartition(":")
        await web.TCPSite(self.runner, host, int(port)).start()

    async def end(self):
        runner, self.runner = self.runner, None
        if runner is not None:
            await runner.cleanup()

    def entry(self) -> dict:
        """Returns the entry for this server in the platform's list of instances."""
        return {
            "instance-id": self.instance,
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slot-count": self.slots,
            "state": "ready",
            "cold-remaining-ms": 0,
        }

    def _add_paths(self, app):
        app.router.add_get("/health", self._health)

    async def _health(self, request):
        return web.Response(headers={INSTANCE: self.instance})

    async def _ask(self, request):
        """Rejects a request without an id or for another instance; passes all others to the subclass's `_serve`."""
        name = request.headers.get(REQUEST, "")
        if not name:
            return self._refuse(400, name)
        if request.headers.get(EXPECTED, self.instance) != self.instance:
            return self._refuse(421, name)
        self.last_call_at = asyncio.get_running_loop().time()
        if self.is_leaving:
            return self._refuse(503, name)
        return await self._serve(request, name, await request.read(), self._left(request))

    def _left(self, request) -> float:
        try:
            return float(request.headers[DEADLINE]) / 1000
        except (KeyError, ValueError):
            return 60.0

    def _refuse(self, status: int, name: str):
        return web.Response(status=status, headers={REQUEST: name, NOT_RUN: "1"})

    def _sealed(self, name: str) -> dict:
        return {REQUEST: name, SEAL: f"{self.instance}.{next(self.seals):x}.{name}"}


async def sleep_within(seconds: float, until: float) -> bool:
    """Sleeps for `seconds`, at most until the deadline (loop time); returns whether the deadline left enough time."""
    now = asyncio.get_running_loop().time()
    await asyncio.sleep(max(0.0, min(seconds, until - now)))
    return now + seconds <= until
