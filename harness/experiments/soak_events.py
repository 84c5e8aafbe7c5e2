"""Events of a soak run besides signals: restarted servers, refusals that come twice, models taken out, reads at cores."""

import asyncio
import json
from collections import Counter
from random import Random
from typing import Any

from harness.fakes.deployment import ENGINE, MODELS, SERVICES, Deployment
from harness.fakes.model_server import ModelServer
from harness.fakes.plain_server import PlainServer
from harness.local_cluster.nodes import BOUNDS

CONFIG_APPLY = BOUNDS["config-apply-ms"] / 1000  # seconds after an acknowledgement from which each read must show it
LISTED_AFTER_END = 6.0  # seconds for which the list shows a server that has ended
LISTED_IN_FINALE = 20.0  # the same for the restart at the end of a run, beyond the restarts of all cores
FULL_SECONDS, PAUSE_BETWEEN_FULL = 0.08, 0.6
MAX_RUN_SECONDS = 2.5  # seconds that a leaving server waits for its running requests
LIST_LAG = 1.5  # seconds after which every core has read a change of the list
READ_INTERVAL = 0.5
BUSY_MODELS = 3  # the first models of the engine get most requests


class SoakEvents:
    """Brings about events at the servers and in the configuration, and notes where a rule is broken."""

    def __init__(self, deployment: Deployment, random: Random, actions: Counter[str], faults: list[str]) -> None:
        self.deployment = deployment
        self.random = random
        self.actions = actions
        self.faults = faults
        self.acknowledged: list[tuple[float, int]] = []  # loop times and versions of acknowledged configurations

    # servers ------------------------------------------------------------------------------------

    def model_servers(self) -> list[ModelServer]:
        """Returns the running model servers."""
        return [each for each in self.deployment.servers if isinstance(each, ModelServer) and each.runner is not None]

    async def restart_model_server(self, server: ModelServer, listed_for: float) -> None:
        """Restarts a server as planned: it refuses new requests, ends those that run, and begins a new life."""
        loop = asyncio.get_running_loop()
        server.is_leaving = True
        until = loop.time() + MAX_RUN_SECONDS
        while server.running and loop.time() < until:
            await asyncio.sleep(0.05)
        await server.end()
        loop.call_later(listed_for, self._unlist, server)
        held = tuple(self.random.sample(MODELS[:BUSY_MODELS], 2))
        life = ModelServer(server.service, server.address, server.zone, ENGINE, self.deployment.call_history, held)
        self.deployment.servers.append(life)
        await life.listen()
        self.actions["server restarts"] += 1

    def _unlist(self, server: ModelServer) -> None:
        if server in self.deployment.servers:
            self.deployment.servers.remove(server)

    async def fill_plain_servers(self) -> None:
        """Makes all plain servers full at once for a moment; they send each of their refusals a second time."""
        loop = asyncio.get_running_loop()
        for server in self.deployment.servers:
            if isinstance(server, PlainServer):
                server.full_until = loop.time() + FULL_SECONDS
        self.actions["full moments"] += 1
        await asyncio.sleep(self.random.uniform(FULL_SECONDS, PAUSE_BETWEEN_FULL))

    def unused_servers(self, since: float) -> list[str]:
        """Returns a fault for each running model server that got no call since a time, though all cores are new since."""
        return [
            f"RECOVER: {server.instance} at {server.address} is listed, and no core or edge has called it since the cores restarted"
            for server in self.model_servers()
            if server.last_call_at < since
        ]

    # configuration ------------------------------------------------------------------------------

    def draw_change_of_models(self, version: int) -> dict[str, Any]:
        """Returns an update whose engine lacks some models, most often busy ones, or has all of them again."""
        out = set(self.random.sample(MODELS[:BUSY_MODELS], self.random.randint(0, 2)))
        out |= set(self.random.sample(MODELS, self.random.randint(0, 2)))
        models = [model for model in ENGINE["models"] if model["name"] not in out]
        engine_service = {**SERVICES[0], "engine": {**ENGINE, "models": models}}
        self.actions["changes of models"] += 1
        return {"version": version, "upserts": {"services": [engine_service]}, "removals": {}}

    def note_acknowledged(self) -> None:
        """Notes that the newest configuration was acknowledged just now."""
        self.acknowledged.append((asyncio.get_running_loop().time(), self.deployment.version))

    async def read_at_each_core(self) -> None:
        """Reads the configuration at each core: none may answer with one older than was acknowledged some time before."""
        loop = asyncio.get_running_loop()
        for _, address in self.deployment.nodes.addresses("control", "control"):
            wanted = max((version for at, version in self.acknowledged if at < loop.time() - CONFIG_APPLY), default=0)
            version = await self._read_version(address)
            if version is not None and version < wanted:
                self.faults.append(
                    f"CONFIG: {address} answers a read with version {version}; {wanted} was acknowledged"
                )
            self.actions["reads"] += version is not None
        await asyncio.sleep(READ_INTERVAL)

    async def _read_version(self, address: str) -> int | None:
        """Returns the version that a core answers, or None without an answer 200."""
        session = self.deployment.session
        try:
            async with asyncio.timeout(1.0):
                async with session.get(f"http://{address}/Configuration.Read", allow_redirects=False) as answer:
                    return json.loads(await answer.read())["version"] if answer.status == 200 else None
        except (OSError, TimeoutError, ValueError, KeyError):
            return None
