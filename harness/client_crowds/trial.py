"""Plays one crowd against a deployment of three cores and one edge with limited memory and descriptors."""

import asyncio
from dataclasses import dataclass, field
from datetime import timedelta
from pathlib import Path

from harness.client_crowds.crowd_client import Crowd
from harness.client_crowds.crowds import FEED_PREFIX, SIZED_PREFIX, CrowdSpec, Listener, Sizes
from harness.client_crowds.process_meter import ProcessMeter, Usage
from harness.client_crowds.sized_server import SizedServer
from harness.fakes.client import Client
from harness.fakes.deployment import FIRST_CONFIGURATION, HOST, KINDS, ZONES, Deployment
from harness.fakes.request_kind import RequestKind
from harness.local_cluster.nodes import DEFAULT_LIMITS, INNER, PORTS
from harness.run_checks import find_unchecked

START_TIMEOUT_S = 60.0
PLAY_TIMEOUT_S = 300.0
ANSWER_TIMEOUT_S = 40.0  # far above the time in which an ordinary request is answered
ANSWER_BESIDE_TIMEOUT_S = 12.0  # below the idle timeout, at whose end the node may close the crowd's connections
ASK_INTERVAL_S = 0.2
SETTLE_S = 1.0
ANSWERED = ("in time", "late")
SECOND = timedelta(seconds=1)
SIZED_SERVERS = 2
EDGE_ZONE = next(iter(ZONES))  # the zone of the only edge
SERVER_SLOTS = 2000  # the crowd must wait for the node and not for its servers
LOOKUP = next(kind for kind in KINDS if kind.name == "open")
SIZED_KINDS = (
    RequestKind("sized", "sized", SIZED_PREFIX, "non_idempotent", SECOND, 20 * SECOND, 0.0, is_public=True),
    RequestKind("feed", "sized", FEED_PREFIX, "streaming", SECOND, 20 * SECOND, 0.0, gap=SECOND, is_public=True),
)
SIZED_SERVICE = {
    "name": "sized",
    "health-path": "/health",
    "connection-limit": SERVER_SLOTS,
    "protocol": "h1",
    "tls-enabled": False,
    "cold-start-s": 0.0,
    "cold-per-s": 0.0,
}


@dataclass(frozen=True, slots=True)
class MachineLimits:
    """Limits of each machine and of its clients: memory in MiB, descriptors, and the longest body in bytes."""

    memory_mb: int
    descriptors: int
    body_bytes: int


@dataclass(slots=True)
class CrowdResult:
    """What one crowd cost the process that it met, and which of the checks failed."""

    spec: CrowdSpec
    limits: MachineLimits
    rest: Usage = field(default_factory=Usage)
    peak: Usage = field(default_factory=Usage)
    after: Usage = field(default_factory=Usage)
    answered_beside_crowd: int = 0
    asked_beside_crowd: int = 0
    connections: int = 0
    faults: list[str] = field(default_factory=list)

    def counts(self) -> dict[str, int]:
        """Number of what was checked, by kind; a run in which one is 0 fails."""
        return {
            "connections of the crowd": self.connections,
            "ordinary requests beside the crowd": self.asked_beside_crowd,
            "bytes of memory at the peak": self.peak.memory_bytes,
        }

    def describe(self) -> str:
        """Returns the figures of the run as one line."""
        return (
            f"{self.spec.name} ({self.spec.count} at {self.spec.listener}): at rest {self.rest}; peak {self.peak}, "
            f"limit {self.limits.memory_mb} MB and {self.limits.descriptors}; afterwards {self.after}; ordinary "
            f"requests beside it {self.answered_beside_crowd} of {self.asked_beside_crowd} answered"
        )


async def play_crowd(spec: CrowdSpec, limits: MachineLimits, work: Path) -> CrowdResult:
    """Plays one crowd with its own deployment below `work`; raises TimeoutError if it exceeds its time limit."""
    return await asyncio.wait_for(CrowdTrial(spec, limits, work).play(), PLAY_TIMEOUT_S)


class CrowdTrial:
    """`play` starts the deployment, holds the crowd, and returns what was measured."""

    __slots__ = ("spec", "limits", "deployment", "result", "asked")

    def __init__(self, spec: CrowdSpec, limits: MachineLimits, work: Path):
        self.spec, self.limits = spec, limits
        self.result = CrowdResult(spec, limits)
        self.asked = 0
        self.deployment = Deployment(work, 1)
        self.deployment.nodes.limits = {
            **DEFAULT_LIMITS,
            "memory-mb": limits.memory_mb,
            "file-descriptors": limits.descriptors,
        }
        zones = list(ZONES)
        net = self.deployment.list.address.rpartition(".")[0]
        self.deployment.servers += [
            SizedServer(
                "sized",
                f"{net}.{141 + place}:8080",
                zones[place],
                SERVER_SLOTS,
                self.deployment.call_history,
            )
            for place in range(SIZED_SERVERS)
        ]
        self.deployment.list.servers = self.deployment.servers

    async def play(self) -> CrowdResult:
        """Checks that the process lives within its machine, and that ordinary requests are answered."""
        async with self.deployment:
            await asyncio.wait_for(
                self.deployment.configure("/Configuration.Replace", self._configuration()), START_TIMEOUT_S
            )
            await asyncio.wait_for(self.deployment.balancer.wait_until_all_ready(), START_TIMEOUT_S)
            await self._answered_within("before the crowd")
            await asyncio.sleep(SETTLE_S)
            name = self._machine()
            process, ip = self.deployment.nodes.running[name], self.deployment.nodes.machines[name][2]
            async with ProcessMeter(process.pid, ip) as meter:
                self.result.rest = meter.rest
                await self._meet_crowd()
                await self._answered_within("after the crowd")
                if not meter.has_ended:
                    self.result.after = meter.sample()
            self.result.peak = meter.peak
            self._judge(name)
        return self.result

    def _configuration(self) -> dict:
        routes = [*FIRST_CONFIGURATION["routes"], *(kind.route(HOST) for kind in SIZED_KINDS)]
        limits = {**FIRST_CONFIGURATION["limits"], "max-body-bytes": self.limits.body_bytes}
        services = [*FIRST_CONFIGURATION["services"], SIZED_SERVICE]
        return {**FIRST_CONFIGURATION, "routes": routes, "services": services, "limits": limits}

    def _machine(self) -> str:
        is_core = self.spec.listener in (Listener.CONTROL, Listener.CORE_INTERNAL)
        kind = "core" if is_core else "edge"
        return next(name for name, machine in self.deployment.nodes.machines.items() if machine[0] == kind)

    def _address(self) -> str:
        ip = self.deployment.nodes.machines[self._machine()][2]
        ports = {
            Listener.FRONT: PORTS["front"],
            Listener.READINESS: PORTS["readiness"],
            Listener.CONTROL: PORTS["control"],
            Listener.EDGE_INTERNAL: INNER[0],
            Listener.CORE_INTERNAL: INNER[0],
        }
        return f"{ip}:{ports[self.spec.listener]}"

    async def _meet_crowd(self):
        script = self.spec.script(Sizes(self.limits.body_bytes))
        async with Crowd(self._address(), script, self.spec.count) as crowd:
            self.result.connections = crowd.connected
            loop = asyncio.get_running_loop()
            begun_at = loop.time()
            while not self._has_met_crowd(loop.time() - begun_at):
                self.result.asked_beside_crowd += 1
                self.result.answered_beside_crowd += await self._ask()
                await asyncio.sleep(ASK_INTERVAL_S)
        if not self.result.answered_beside_crowd:
            self.result.faults.append("no ordinary request was answered beside the crowd")

    def _has_met_crowd(self, seconds: float) -> bool:
        is_answered = self.result.answered_beside_crowd > 0
        return seconds >= (self.spec.hold_s if is_answered else max(self.spec.hold_s, ANSWER_BESIDE_TIMEOUT_S))

    async def _ask(self) -> bool:
        """Makes one ordinary request, as a client that follows the pages; returns whether it was served."""
        self.asked += 1
        deployment = self.deployment
        client = Client(
            f"ordinary-{self.asked}", EDGE_ZONE, HOST, deployment.call_history, deployment.balancer, deployment.session
        )
        return (await client.ask(LOOKUP))[0] in ANSWERED

    async def _answered_within(self, when: str):
        loop = asyncio.get_running_loop()
        until = loop.time() + ANSWER_TIMEOUT_S
        while not await self._ask():
            if loop.time() > until:
                self.result.faults.append(f"no ordinary request was answered {when}")
                return
            await asyncio.sleep(ASK_INTERVAL_S)

    def _judge(self, name: str):
        self.result.faults += find_unchecked(self.result.counts())
        result, code = self.result, self.deployment.nodes.running[name].returncode
        if code is not None:
            result.faults.append(f"{name} ended with code {code}")
        if result.peak.memory_mb > self.limits.memory_mb:
            result.faults.append(f"{name} used {result.peak.memory_mb:.0f} MB of {self.limits.memory_mb}")
        if result.peak.descriptors > self.limits.descriptors:
            result.faults.append(f"{name} used {result.peak.descriptors} descriptors of {self.limits.descriptors}")
        result.faults += list(self.deployment.call_history.noted)
