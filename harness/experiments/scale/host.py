"""python -m harness.experiments.scale.host NODES WORK PULSE BOOT NAME...: runs metered nodes of a fleet in one process:
one full core, or many edges with fake traffic.

PULSE is the tick interval of an edge in milliseconds, BOOT the restart epoch of all edges with fake traffic. Reads
commands as JSON lines on standard input, replies to each with a line and exits when its input ends.
"""

import asyncio
import json
import sys
import time
from collections import Counter
from pathlib import Path
from random import Random

from harness.experiments.scale.edge_with_fake_traffic import EdgeWithFakeTraffic
from harness.experiments.scale.footprint import footprint
from harness.experiments.scale.meter import Meter
from harness.experiments.scale.site import CLUSTER, HOST, ROUTES, Site
from harness.experiments.scale.size import Size
from sumachook.configuration.node_settings import read_node_settings
from sumachook.membership.member import Member
from sumachook.nodes.core import Core
from sumachook.nodes.daemon import Daemon
from sumachook.nodes.data_folder import open_folder
from sumachook.nodes.edge import Edge
from sumachook.nodes.logs import Logs
from sumachook.runtime.clock import Clock
from sumachook.storage.file_system import RealFileSystem
from sumachook.storage.folder import DataFolder

LOOP_INTERVAL_S, STARTS_PER_SECOND = 0.02, 20
PARTS = {
    "core": (
        "state",
        "membership",
        "cluster_clock",
        "consensus",
        "leases",
        "source",
        "replica_store",
        "retry_broker",
        "provisioner",
        "inventory_reader",
        "placer",
        "api",
        "quota_lease_issuer",
        "quota_usage",
    ),
    "edge": (
        "state",
        "membership",
        "cluster_clock",
        "follower",
        "retry_budget",
        "ledger_writer",
        "places",
        "proxy_pipeline",
        "inference_pipeline",
        "rate_limiter",
    ),
}


class Host:
    """Runs the nodes of this process and the commands: mark, rate, calm, cold, ready, footprint.

    Nodes start as members of a fleet that has been up for long: they know all edges with fake traffic. The cost of a
    simultaneous start is measured in failures.py, since many nodes that share a processor would not converge as nodes
    with processors of their own do.
    """

    __slots__ = ("site", "meter", "random", "edges", "core", "tasks", "rate", "tick")

    def __init__(self, site: Site, work: Path, tick: float, restart_epoch: int, names):
        self.site, self.meter, self.random, self.rate = site, Meter(), Random(names[0]), 0.0
        self.edges, self.core, self.tasks, self.tick = [], None, [], tick
        clock = Clock()
        for name in names:
            role = name.partition("-")[0]
            settings, faults = read_node_settings(site.settings(name, str(work / name)), role)
            assert settings is not None, faults
            random = Random(f"{name} {restart_epoch}")
            if role == "edge":
                self.edges.append(EdgeWithFakeTraffic(Edge(settings, {}, restart_epoch, clock, random), clock, CLUSTER))
                continue
            logs = Logs(name, "warning")
            folder = DataFolder(RealFileSystem(work / name))
            machine = Core(settings, open_folder(folder, logs.log).records, restart_epoch, clock, random)
            self.core = Daemon(machine, clock, logs.log, settings.http_address, settings.address, CLUSTER, folder)
        for machine in self._machines():
            machine.membership.members = {
                name: Member(update, clock.mono())
                for name, update in site.known(restart_epoch).items()
                if name != machine.node
            }

    def _machines(self):
        return [edge.machine for edge in self.edges] or [self.core.machine]

    async def run(self):
        loop = asyncio.get_running_loop()
        self.tasks = [
            loop.create_task(edge.run(self.random.uniform(0.0, self.site.size.nodes / STARTS_PER_SECOND), self.tick))
            for edge in self.edges
        ]
        self.tasks.append(loop.create_task(self.core.run() if self.core else self._traffic()))
        reader = asyncio.StreamReader()
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
        while line := await reader.readline():
            words = json.loads(line)
            print(json.dumps(getattr(self, "_" + words.pop("do"))(**words)), flush=True)
        for task in self.tasks:
            task.cancel()

    # commands -------------------------------------------------------------------

    def _mark(self):
        outcomes = Counter(str(outcome) for edge in self.edges for outcome in edge.outcomes)
        return self.meter.snapshot() | {
            "nodes": len(self.edges) or 1,
            "outcomes": dict(outcomes),
            "asked": sum(edge.number for edge in self.edges),
        }

    def _rate(self, rate):
        self.rate = rate
        return {}

    def _calm(self):
        """Clears pending gossip of all nodes; returns the largest number of entries.

        This is the state after the gossip of the start has spread, which takes minutes and is a separate cost.
        """
        machines = self._machines()
        found = max(len(machine.membership.gossip) for machine in machines)
        for machine in machines:
            machine.membership.gossip.clear()
        return {"news": found}

    def _cold(self, name):
        edge = self.random.choice(self.edges)
        edge.ask("/part-0/x", HOST, name, 5000)
        return {}

    def _ready(self):
        machines = self._machines()
        return {
            "members": min(len(machine.membership.live) + 1 for machine in machines),
            "number": min(machine.state.number for machine in machines),
            "servers": min(len(machine.state.servers) for machine in machines),
            "places": min((len(machine.places.servers) for machine in machines if self.edges), default=None),
            "fence": self.core.machine.provisioner.fence if self.core else 0,
            "leads": bool(self.core) and self.core.machine.consensus.role == "leading",
            "version": min(machine.state.version for machine in machines),
        }

    def _footprint(self):
        """Returns the bytes of memory per component of the core or of the first edge.

        The catalogue and the server inventory count to the state.
        """
        machine = self.core.machine if self.core else self.edges[0].machine
        names = PARTS["core" if self.core else "edge"]
        seen, found = {id(machine), id(machine.settings), *(id(getattr(machine, name)) for name in names)}, {}
        for name in names:
            seen.discard(id(getattr(machine, name)))
            found[name] = footprint(getattr(machine, name), seen)
        return found

    # traffic --------------------------------------------------------------------

    async def _traffic(self):
        """Sends requests for loaded models to random edges; the first models are requested most often."""
        names = [name for name in self.site.models if name not in self.site.cold]
        weights = [1 / (place + 3) for place in range(len(names))]
        due, last = 0.0, time.monotonic()
        while True:
            now = time.monotonic()  # the loop may wake up late, so the number of due requests follows the elapsed time
            due, last = min(due + self.rate * (now - last), self.rate), now
            while due >= 1.0:
                due -= 1.0
                (name,) = self.random.choices(names, weights)
                adapter = self.random.choice(("", "", "/a1", "/a2"))
                self.random.choice(self.edges).ask(
                    f"/part-{self.random.randrange(ROUTES)}/x", HOST, name + adapter, 6000
                )
            await asyncio.sleep(LOOP_INTERVAL_S)


if __name__ == "__main__":
    asyncio.run(
        Host(
            Site(Size(int(sys.argv[1]))), Path(sys.argv[2]), int(sys.argv[3]) / 1000, int(sys.argv[4]), sys.argv[5:]
        ).run()
    )
