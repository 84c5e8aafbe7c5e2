"""python -m harness.experiments.scale.fake_platform NODES: fakes of the platform's server inventory and of all engine
servers of a fleet, in one process on loopback.
"""

import asyncio
import sys

import msgspec
from aiohttp import web

from harness.experiments.scale.site import PLATFORM, SERVICE, Site
from harness.experiments.scale.size import Size
from sumachook.configuration.catalogue import read_catalogue
from sumachook.runtime.clock import Clock
from sumachook.simulation.fake_engine_server import FakeEngineServer
from sumachook.transport.addresses import split_address


class FakePlatform:
    """Serves the inventory or an engine server, depending on the local address; `run()` ends with standard input."""

    __slots__ = ("inventory", "engines", "clock")

    def __init__(self, site: Site):
        engine = next(
            service.engine for service in read_catalogue(site.catalogue(1))[0].services if service.name == SERVICE
        )
        self.inventory, self.clock = msgspec.json.encode({"servers": list(site.servers.values())}), Clock()
        self.engines = {
            split_address(item["address"]): FakeEngineServer(name, engine, site.holds[name])
            for name, item in site.servers.items()
        }

    async def _answer(self, request):
        engine = self.engines.get(request.transport.get_extra_info("sockname"))
        if engine is None:
            return web.Response(body=self.inventory, content_type="application/json")
        status, body = engine.take(request.method, request.path, await request.read(), self.clock.mono())
        return web.Response(status=status, body=body, content_type="application/json")

    async def run(self):
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self._answer)
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        for host, port in [split_address(PLATFORM), *self.engines]:
            await web.TCPSite(runner, host, port, backlog=16).start()
        print("{}", flush=True)
        await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)
        loads = sum(what == "stored" for engine in self.engines.values() for _, what, _ in engine.record)
        breaches = sum(what == "breach" for engine in self.engines.values() for _, what, _ in engine.record)
        print(msgspec.json.encode({"loads": loads, "breaches": breaches}).decode(), flush=True)
        await runner.cleanup()


if __name__ == "__main__":
    asyncio.run(FakePlatform(Site(Size(int(sys.argv[1])))).run())
