"""Soak test: real processes and clients with keep-alive connections under overlapping signals, restarts and changes.

Starts cores and edges as deploy/system.toml specifies, with fakes of the users' platform. Clients reuse their open
connections until the process has exited. The nodes only see planned operations: reloads, orderly shutdowns, starts, and
configurations that change routes and the limits of client connections. A signal may arrive at any point of a process's
life: before it serves, twice, or together with another one. Therefore every request that a server ran must get its
response, and so must every request on a connection that no edge had a reason to close; no process may exit on its own
or exceed its grace period, and the newest configuration must be read back at the end.

Meanwhile servers restart and are listed beside their former lives, in any order; plain servers are full for moments, and
send each of their refusals a second time in the place of the next response; models are taken out of their service and
put back; and each core is asked for the configuration, which must never be older than one acknowledged a while before.
In every second seed crowds hold bodies one byte short of their end and unfinished heads at the edges: nobody else may notice,
and no process may exceed the memory of its machine.

At the end all servers, then all cores restart: each server must be called again. In every third seed a component of
the cores raises exceptions, which may cost nothing but its own work.
"""

import argparse
import asyncio
import signal
import tempfile
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

from harness.client_crowds.crowd_client import Crowd, Script, http_head
from harness.client_crowds.process_meter import peak_resident_mb
from harness.experiments.soak_events import LIST_LAG, LISTED_AFTER_END, LISTED_IN_FINALE, SoakEvents
from harness.experiments.soak_faults import (
    EdgeShutdown,
    cut_attempts,
    faults_in_logs,
    lost_requests,
    unanswered_requests,
    unexplained_cuts,
)
from harness.fakes.deployment import FIRST_CONFIGURATION, HOST, KINDS, ZONES, Deployment
from harness.fakes.kept_client import AttemptEnd, IdleLimits, KeptAttempt, KeptClient
from harness.fakes.loop_stalls import LoopStalls
from harness.fakes.request_kind import RequestKind
from harness.fakes.tenants import JOINING_KEYS, LEAVING_KEYS, STANDING_KEYS, JudgedRequest
from harness.local_cluster.nodes import GRACE
from harness.run_checks import find_unchecked, seed_range

MAX_SEEDS, MAX_EDGES = 1000, 150
START_TIMEOUT = 60.0  # seconds
SETTLE_TIME = 1.5  # seconds between restarts of two cores, in which the first becomes a voter again
IDLE_LIMITS_MS = (400, 700, 1000, 1500, 15000)
EXTRA_ROUTES = 6
TENANT_CHANGE_PORTION, KEY_CHANGE_PORTION = 0.3, 0.35  # fractions of the configuration changes
MODEL_CHANGE_PORTION = 0.3  # fraction of the configuration changes
RAISING_COMPONENTS = ("provisioner", "placer", "leases", "inventory_reader")
RAISING_PERIOD, SEEDS_PER_RAISING_RUN = 7, 3
SEEDS_PER_CROWD_RUN = 2
CROWD_CONNECTIONS, CROWD_HOLD_S = 30, 3.0
CROWD_BODY_BYTES, CROWD_HEAD_BYTES = 4 << 20, 15 << 10
SIGTERM_EXIT_CODE, SIGHUP_EXIT_CODE = -signal.SIGTERM, -signal.SIGHUP
BOOKING = next(kind for kind in KINDS if kind.name == "booking")
EXIT_SLACK = 0.5  # seconds by which this process may notice an exit late


@dataclass(frozen=True, slots=True)
class SoakSpec:
    """Size and length of one run; `edges` also determines the number of clients and the rate of restarts."""

    seed: int
    seconds: float = 20.0
    edges: int = 4

    @property
    def raising(self) -> str:
        """The component of the cores that raises exceptions, with its period ("component:period"), or ""."""
        if self.seed % SEEDS_PER_RAISING_RUN:
            return ""
        component = RAISING_COMPONENTS[self.seed // SEEDS_PER_RAISING_RUN % len(RAISING_COMPONENTS)]
        return f"{component}:{RAISING_PERIOD}"

    @property
    def has_crowds(self) -> bool:
        """Whether crowds of clients that don't behave hold connections to the edges."""
        return self.seed % SEEDS_PER_CROWD_RUN == 0

    @property
    def clients(self) -> int:
        """Number of clients, each with one open connection at a time: four per edge, at least 24 and at most 160."""
        return max(24, min(160, 4 * self.edges))


@dataclass(slots=True)
class SoakResult:
    """The planned operations, requests and faults of one run."""

    spec: SoakSpec
    actions: Counter = field(default_factory=Counter)
    attempts: list[KeptAttempt] = field(default_factory=list)
    shutdowns: list[EdgeShutdown] = field(default_factory=list)
    stalls: LoopStalls = field(default_factory=LoopStalls)
    tenant_counts: dict[str, int] = field(default_factory=dict)
    faults: list[str] = field(default_factory=list)
    peak_mb: float = 0.0  # highest resident memory of a process

    @property
    def ends(self) -> Counter:
        """Number of requests by the way they ended."""
        return Counter(str(attempt.end) for attempt in self.attempts)

    def counts(self) -> dict[str, int]:
        """Number of checked requests and operations by kind; a run in which one is 0 fails."""
        served = sum(attempt.end is AttemptEnd.COMPLETE and attempt.status == 200 for attempt in self.attempts)
        return {
            "requests served": served,
            "requests on kept connections": sum(attempt.was_kept for attempt in self.attempts),
            **{
                kind: self.actions[kind]
                for kind in ("restarts", "reloads", "configurations", "server restarts", "reads")
            },
            **self.tenant_counts,
        }

    def describe(self) -> str:
        """Returns the figures of the run as one line."""
        kept = sum(attempt.was_kept for attempt in self.attempts)
        cut_kept = [attempt.rest.seconds for attempt in cut_attempts(self.attempts) if attempt.rest is not None]
        rests = f", those on kept ones after {min(cut_kept):.3f} to {max(cut_kept):.3f} s of rest" if cut_kept else ""
        counts = ", ".join(f"{count} {name}" for name, count in self.tenant_counts.items())
        actions = ", ".join(f"{count} {name}" for name, count in sorted(self.actions.items()))
        ends = ", ".join(f"{count} {name}" for name, count in sorted(self.ends.items()))
        return (
            f"seed {self.spec.seed}: {self.spec.edges} edges, {len(self.attempts)} requests, {kept} on kept connections"
            f" ({ends}{rests}); {actions}; {counts}; {self.peak_mb:.0f} MB at most; {len(self.faults)} faults; {self.stalls.describe()}"
        )


class Soak:
    """The soak test of one seed; `play` runs it and returns the result."""

    def __init__(self, spec: SoakSpec, work: Path):
        self.spec = spec
        self.random = Random(spec.seed)
        self.deployment = Deployment(work, spec.edges)
        self.work = work
        self.result = SoakResult(spec)
        self.deployment.nodes.raising = spec.raising
        self.events = SoakEvents(self.deployment, self.random, self.result.actions, self.result.faults)
        self.until = 0.0
        self.base_routes = list(FIRST_CONFIGURATION["routes"])
        self.sent_idle_limit_ms = float(
            FIRST_CONFIGURATION["limits"]["idle-timeout-ms"]
        )  # idle timeout in the change that was sent last
        self.leaving_keys, self.joining_keys = len(LEAVING_KEYS), 0  # numbers of these keys in the configuration

    async def play(self) -> SoakResult:
        """Starts the deployment, runs clients and planned operations concurrently, and checks the recorded requests."""
        deployment = self.deployment
        async with deployment:
            await asyncio.wait_for(deployment.configure("/Configuration.Replace", FIRST_CONFIGURATION), START_TIMEOUT)
            await asyncio.wait_for(deployment.balancer.wait_until_all_ready(), START_TIMEOUT)
            loop = asyncio.get_running_loop()
            self.until = loop.time() + self.spec.seconds
            self.result.stalls.begin()
            clients = [self._client(number) for number in range(self.spec.clients)]
            async with asyncio.TaskGroup() as running:
                for client in clients:
                    running.create_task(client.run(self.until))
                for work in self._planned_operations():
                    running.create_task(work())
            self.result.stalls.end()
            self._check_memory()
            await self._restart_everything()
            await deployment.read_back()
            self._check_memory()
            self._find_early_exits()
        self.result.attempts = [attempt for client in clients for attempt in client.attempts]
        self._check()
        return self.result

    def _client(self, number: int) -> KeptClient:
        deployment = self.deployment
        zone = list(ZONES)[number % len(ZONES)]
        name = f"soak-{self.spec.seed}-{number}"
        return KeptClient(name, zone, HOST, KINDS, deployment.call_history, deployment.balancer, self._idle_limit)

    def _idle_limit(self) -> IdleLimits:
        limits: Any = self.deployment.document["limits"]
        known_ms = float(limits["idle-timeout-ms"])
        return IdleLimits(known_ms / 1000, min(known_ms, self.sent_idle_limit_ms) / 1000)

    # planned operations ---------------------------------------------------------------------------

    def _planned_operations(self) -> list[Callable[[], Awaitable[None]]]:
        return [
            self._restart_edges,
            self._restart_edges,
            self._restart_cores,
            self._reload_nodes,
            self._change_configuration,
            self._restart_servers,
            self._repeat(self.events.fill_plain_servers),
            self._repeat(self.events.read_at_each_core),
            *([self._hold_crowds] if self.spec.has_crowds else ()),
        ]

    async def _hold_crowds(self):
        """Holds one crowd after the other at a random edge, which may restart meanwhile."""
        scripts = (_body_short_of_a_byte(), _unfinished_head())
        while not self._is_over():
            address = self.deployment.nodes.front_address(self.random.choice(self._machines("edge")))
            async with Crowd(address, self.random.choice(scripts), CROWD_CONNECTIONS):
                await asyncio.sleep(self.random.uniform(0.5, 1.0) * CROWD_HOLD_S)
                self._check_memory()
            self.result.actions["crowds"] += 1

    def _check_memory(self):
        """Records a fault for each running process whose resident memory was ever above that of its machine."""
        limit_mb = self.deployment.nodes.limits["memory-mb"]
        for name, process in self.deployment.nodes.running.items():
            peak_mb = peak_resident_mb(process.pid) if process.returncode is None else 0.0
            self.result.peak_mb = max(self.result.peak_mb, peak_mb)
            if peak_mb > limit_mb:
                self.result.faults.append(f"{name} used {peak_mb:.0f} MB of {limit_mb}")

    def _repeat(self, work: Callable[[], Awaitable[None]]) -> Callable[[], Awaitable[None]]:
        """Returns a task that does the work again and again until the run is over."""

        async def repeat() -> None:
            while not self._is_over():
                await work()

        return repeat

    async def _restart_servers(self):
        """Restarts one model server at a time, so that the others keep serving."""
        while not self._is_over():
            server = self.random.choice(self.events.model_servers())
            await self.events.restart_model_server(server, LISTED_AFTER_END)
            await asyncio.sleep(self.random.uniform(0.5, 3.0))

    async def _restart_everything(self):
        """Restarts all model servers, then each core: then each server must be called, whatever the list shows."""
        servers = self.events.model_servers()
        await asyncio.gather(*(self.events.restart_model_server(each, LISTED_IN_FINALE) for each in servers))
        await asyncio.sleep(LIST_LAG)
        since = asyncio.get_running_loop().time()
        for name in self._machines("core"):
            await self._shut_down(name, "plain")
            await self.deployment.nodes.start(name)
            await asyncio.sleep(SETTLE_TIME)
        await asyncio.sleep(2 * SETTLE_TIME)
        self.result.faults += self.events.unused_servers(since)

    def _is_over(self) -> bool:
        return asyncio.get_running_loop().time() >= self.until

    def _machines(self, kind: str) -> list[str]:
        return [name for name, (what, _, _) in self.deployment.nodes.machines.items() if what == kind]

    async def _restart_edges(self):
        """Restarts random edges; two of these tasks run at once and skip an edge that is already being restarted."""
        while not self._is_over():
            free = [name for name in self._machines("edge") if not self.deployment.nodes.is_restarting(name)]
            if len(free) > len(self._machines("edge")) // 2:
                await self._restart(self.random.choice(free))
            await asyncio.sleep(self.random.uniform(0.0, 1.0))

    async def _restart_cores(self):
        """Restarts one core at a time, so that a quorum keeps running."""
        while not self._is_over():
            await self._restart(self.random.choice(self._machines("core")))
            await asyncio.sleep(SETTLE_TIME + self.random.uniform(0.0, 2.0))

    async def _restart(self, name: str):
        """Shuts a node down with SIGTERM and starts it again, with further signals at random moments of both."""
        nodes = self.deployment.nodes
        self.result.actions["restarts"] += 1
        variant = self.random.choice(
            ("plain", "second SIGTERM", "SIGHUP during shutdown", "SIGHUP during startup", "SIGTERM during startup")
        )
        if variant != "plain":
            self.result.actions[variant] += 1
        async with nodes.restarting(name):
            await self._shut_down(name, variant)
            await nodes.start(name)
            if variant == "SIGHUP during startup":
                await self._signal_within(name, signal.SIGHUP, 1.0)
            if variant == "SIGTERM during startup":
                await asyncio.sleep(self.random.uniform(0.0, 1.5))
                await self._shut_down(name, "plain")
                await nodes.start(name)

    async def _shut_down(self, name: str, variant: str):
        process = self.deployment.nodes.running[name]
        if process.returncode is not None:
            if not self._was_stopped_at_start(name, process.returncode):
                self.result.faults.append(f"{name} had exited on its own with code {process.returncode}")
            return
        shutdown = EdgeShutdown(self.deployment.nodes.front_address(name), asyncio.get_running_loop().time())
        self.result.shutdowns.append(shutdown)
        self.deployment.nodes.signal(name, signal.SIGTERM)
        await self._await_exit(name, variant, process)
        shutdown.until = asyncio.get_running_loop().time()

    async def _await_exit(self, name: str, variant: str, process: asyncio.subprocess.Process):
        """Sends the further signals of the variant and waits for the exit of a process that was sent SIGTERM.

        Records a fault if it outlives the grace period, and kills it, or if it exits with a non-zero code.
        """
        if variant == "second SIGTERM":
            await self._signal_within(name, signal.SIGTERM, 4.0)
        if variant == "SIGHUP during shutdown":
            await self._signal_within(name, signal.SIGHUP, 4.0)
        try:
            code = await asyncio.wait_for(process.wait(), GRACE + EXIT_SLACK)
        except TimeoutError:
            self.result.faults.append(f"{name} was still running after its grace period")
            process.kill()
            await process.wait()
            return
        if code and not self._was_stopped_at_start(name, code):
            self.result.faults.append(f"{name} exited with code {code} after SIGTERM, variant {variant}")

    def _was_stopped_at_start(self, name: str, code: int) -> bool:
        """Whether the signal ended a process that had not installed its handler yet and so had served no request."""
        nodes = self.deployment.nodes
        ended_by_sighup = code == SIGHUP_EXIT_CODE and not nodes.has_logged(name)
        return ended_by_sighup or (code == SIGTERM_EXIT_CODE and not nodes.has_handled_stop(name))

    async def _signal_within(self, name: str, number: int, seconds: float):
        await asyncio.sleep(self.random.uniform(0.0, seconds))
        self.deployment.nodes.signal(name, number)

    async def _reload_nodes(self):
        while not self._is_over():
            names = [name for name in self.deployment.nodes.machines if not self.deployment.nodes.is_restarting(name)]
            for name in self.random.sample(names, min(len(names), self.random.randint(1, 3))):
                self.deployment.nodes.reorder_seeds(name, self.random)
                await self._signal_within(name, signal.SIGHUP, 0.1)
                self.result.actions["reloads"] += 1
            await asyncio.sleep(self.random.uniform(0.05, 1.0))

    async def _change_configuration(self):
        """Sends one configuration after the other, which change routes, tenant keys and the limits of client connections."""
        while not self._is_over():
            self._change_keys()
            if self.random.random() < MODEL_CHANGE_PORTION:
                await self.deployment.configure(
                    "/Configuration.Update", self.events.draw_change_of_models(self._next_version())
                )
            elif self.random.random() < TENANT_CHANGE_PORTION:
                await self.deployment.configure("/Configuration.Update", self._draw_change_of_tenants())
                self.result.actions["changes of tenants only"] += 1
            else:
                configuration = self._draw_configuration()
                self.sent_idle_limit_ms = float(configuration["limits"]["idle-timeout-ms"])
                await self.deployment.configure("/Configuration.Replace", configuration)
            self.events.note_acknowledged()
            self.result.actions["configurations"] += 1
            await asyncio.sleep(self.random.uniform(0.0, 0.8))

    def _change_keys(self):
        """Removes a tenant key for good, adds one for good, or changes none."""
        what = self.random.random()
        if what < KEY_CHANGE_PORTION:
            self.leaving_keys = max(0, self.leaving_keys - 1)
        elif what < 2 * KEY_CHANGE_PORTION:
            self.joining_keys = min(len(JOINING_KEYS), self.joining_keys + 1)

    def _tenants(self) -> list[dict[str, Any]]:
        return self.deployment.call_history.tenant_keys.document(self.leaving_keys, self.joining_keys)

    def _next_version(self) -> int:
        return self.deployment.version + self.random.randint(1, 5)

    def _draw_change_of_tenants(self) -> dict[str, Any]:
        """Returns an update that replaces some or all tenants and changes no other items."""
        tenants = self._tenants()
        kept = self.random.randint(0, 1)  # the first tenant does not change and may be omitted
        return {"version": self._next_version(), "upserts": {"routes": [], "tenants": tenants[kept:]}, "removals": {}}

    def _draw_configuration(self) -> dict:
        random = self.random
        count = random.randint(0, EXTRA_ROUTES)
        extra = [
            RequestKind(
                f"x{number}", "stamps", f"/x{number}/", "idempotent", KINDS[0].aim, KINDS[0].deadline, 0.0
            ).route(HOST)
            for number in random.sample(range(100), count)
        ]
        limits = {**FIRST_CONFIGURATION["limits"], "idle-timeout-ms": random.choice(IDLE_LIMITS_MS)}
        routes, tenants = [*self.base_routes, *extra], self._tenants()
        return {
            **FIRST_CONFIGURATION,
            "version": self._next_version(),
            "routes": routes,
            "limits": limits,
            "tenants": tenants,
        }

    # checks --------------------------------------------------------------------------------

    def _find_early_exits(self):
        for name, process in self.deployment.nodes.running.items():
            code = process.returncode
            if code is not None and not self._was_stopped_at_start(name, code):
                self.result.faults.append(f"{name} exited on its own with code {code}")

    def _check(self):
        result, history = self.result, self.deployment.call_history
        result.faults += history.violations()
        result.faults += lost_requests(result.attempts, history.runs)
        result.faults += unexplained_cuts(result.attempts, history.runs, result.shutdowns, result.stalls)
        result.faults += unanswered_requests(result.attempts, result.stalls)
        judged = [
            JudgedRequest(each.request_id, each.kind, each.credential, each.started_at, each.ended_at, each.status)
            for each in result.attempts
        ]
        result.faults += history.tenant_keys.violations(judged)
        result.tenant_counts = history.tenant_keys.counts(judged)
        result.faults += faults_in_logs(self.work, bool(self.spec.raising))
        codes = {name: process.returncode for name, process in self.deployment.nodes.running.items()}
        result.faults += [
            f"{name} exited with code {code} at the end of the run"
            for name, code in codes.items()
            if code and not self._was_stopped_at_start(name, code)
        ]
        result.faults += find_unchecked(result.counts())


def _crowd_head(size: int) -> bytes:
    headers = (("Sumachook-Credential", STANDING_KEYS[0]), ("Content-Length", str(size)))
    return http_head("POST", f"{BOOKING.prefix}1", HOST, headers)


def _body_short_of_a_byte() -> Script:
    return Script((_crowd_head(CROWD_BODY_BYTES) + b"x" * (CROWD_BODY_BYTES - 1),), insists=True)


def _unfinished_head() -> Script:
    return Script((_crowd_head(0)[:-2] + b"Filler: " + b"x" * CROWD_HEAD_BYTES,), insists=True)


async def play_soak(spec: SoakSpec, work: Path) -> SoakResult:
    """Runs one seed in its own folder; raises TimeoutError if it exceeds its time limit."""
    work.mkdir(parents=True, exist_ok=True)
    bound = 2 * START_TIMEOUT + spec.seconds + 3 * GRACE
    return await asyncio.wait_for(Soak(spec, work).play(), bound)


def main() -> None:
    parser = argparse.ArgumentParser(prog="python -m harness soak", description=__doc__)
    parser.add_argument("first", type=int, help="first seed")
    parser.add_argument("last", type=int, help="last seed")
    parser.add_argument(
        "--seconds", type=float, default=20.0, help="seconds for which clients send requests in a run (at most 300)"
    )
    parser.add_argument("--edges", type=int, default=4, help=f"number of edge nodes (at most {MAX_EDGES})")
    parser.add_argument("--work", help="keep settings, data and logs of each seed below this folder")
    given = parser.parse_args()
    seeds = seed_range(parser, given.first, given.last, MAX_SEEDS)
    edges = max(2, min(given.edges, MAX_EDGES))
    faulty = 0
    with tempfile.TemporaryDirectory(prefix="sumachook-") as folder:
        for seed in seeds:
            spec = SoakSpec(seed, min(given.seconds, 300.0), edges)
            result = asyncio.run(play_soak(spec, Path(given.work or folder).resolve() / f"soak-{seed}"))
            faulty += bool(result.faults)
            print(result.describe(), *result.faults, sep="\n  ", flush=True)
    print(f"{len(seeds)} seeds, {faulty} with faults")
    raise SystemExit(1 if faulty else 0)


if __name__ == "__main__":
    main()
