"""Runs cases against a real edge on loopback and reports the violations that the oracle finds."""

import asyncio
import gc
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from harness.fuzzing.client import FuzzClient
from harness.fuzzing.edge_host import TIMEOUT_MS, EdgeHost
from harness.fuzzing.oracle import Oracle
from harness.fuzzing.plan import MAX_ATTEMPTS, ServerFault, draw_case
from harness.fuzzing.server import FaultyServer, yield_to_loop
from harness.run_checks import find_unchecked

SERVER_COUNTS = (4, 1, 2)  # of the edges, in turn; with few servers a request returns to one that refused it
MAX_CONCURRENT_CASES = 40
CASES_PER_EDGE = 200
FAULT_FREE_SHARE = 0.35
DEFAULT_MEMORY_BYTES = 120 << 20  # more than the cases need
CASE_TIMEOUT = 20.0  # seconds after which a case counts as hanging


@dataclass(slots=True)
class FuzzReport:
    """The counts, outcomes and violations of a run."""

    cases: int = 0
    requests: int = 0
    arrivals: int = 0
    runs: int = 0
    longest_response: float = 0.0
    outcomes: Counter = field(default_factory=Counter)
    violations: list[str] = field(default_factory=list)

    def add(self, oracle: Oracle) -> None:
        """Adds the counts and violations of the oracle of one edge."""
        self.requests += len(oracle.asked)
        self.arrivals += sum(map(len, oracle.arrivals.values()))
        self.runs += sum(arrival.has_run for arrivals in oracle.arrivals.values() for arrival in arrivals)
        self.violations += oracle.judge()
        self.outcomes.update(oracle.outcomes)
        durations = [entry.ended_at - entry.sent_at for entry in oracle.asked.values() if entry.ended_at]
        self.longest_response = max([self.longest_response, *durations])

    def faults(self) -> list[str]:
        """Returns the violations, and a fault for each kind of item that the run never judged."""
        judged = {"cases": self.cases, "requests": self.requests, "runs": self.runs}
        return [*self.violations, *find_unchecked(judged)]

    def lines(self) -> list[str]:
        """Returns the report as lines of text."""
        outcomes = ", ".join(f"{name}: {count}" for name, count in sorted(self.outcomes.items()))
        figures = f"{self.cases} cases, {self.requests} requests, {self.arrivals} arrivals, {self.runs} runs"
        return [
            figures,
            f"responses by status: {outcomes}",
            f"longest response time {self.longest_response:.2f} s (timeout {TIMEOUT_MS / 1000} s)",
            f"{len(self.violations)} broken rules",
            *self.faults(),
        ]


@dataclass(frozen=True, slots=True)
class FuzzOptions:
    """The share of requests that servers answer without a fault, the faults of all others, and the cases at a time.

    `memory_bytes` is what all peers together may hold in the edge's memory.
    """

    fault_free_share: float = FAULT_FREE_SHARE
    faults: tuple[ServerFault, ...] = tuple(ServerFault)
    concurrency: int = MAX_CONCURRENT_CASES
    memory_bytes: int = DEFAULT_MEMORY_BYTES


async def _play_on_one_edge(seed: int, numbers: list[int], report: FuzzReport, options: FuzzOptions) -> None:
    server_count = SERVER_COUNTS[(seed + numbers[0] // CASES_PER_EDGE) % len(SERVER_COUNTS)]
    oracle = Oracle()
    servers = [
        FaultyServer(f"s{place}", seed, oracle, options.fault_free_share, options.faults)
        for place in range(server_count)
    ]
    for server in servers:
        await server.start()
    host = EdgeHost({server.name: server.address for server in servers}, MAX_ATTEMPTS, seed, options.memory_bytes)
    await host.start()
    concurrency = asyncio.Semaphore(options.concurrency)

    async def play(number: int) -> None:
        async with concurrency:
            client = FuzzClient(draw_case(seed, number), host.address, oracle)
            try:
                await asyncio.wait_for(client.play(), CASE_TIMEOUT)
            except TimeoutError:
                oracle.note("HANGS", f"case {number} did not end within {CASE_TIMEOUT:.0f} s")

    await asyncio.gather(*(play(number) for number in numbers))
    await asyncio.wait_for(host.wait_until_idle(), CASE_TIMEOUT)
    await yield_to_loop()
    await host.stop()
    for server in servers:
        await server.stop()
    report.cases += len(numbers)
    report.add(oracle)


def play_cases(seed: int, numbers: Iterable[int], options: FuzzOptions | None = None) -> FuzzReport:
    """Runs the cases with these numbers, up to 200 on each edge, and returns the report."""
    report, left = FuzzReport(), list(numbers)
    while left:
        now, left = left[:CASES_PER_EDGE], left[CASES_PER_EDGE:]
        asyncio.run(_play_on_one_edge(seed, now, report, options or FuzzOptions()))
        gc.collect()
    return report
