"""python -m harness.costs: messages, bytes and disk syncs of a deployment at rest, per request and per change.

--real runs real processes instead and measures the latency that an edge adds and the load that one edge sustains.
"""

import argparse
import http.client
import json
import tempfile
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from statistics import median, quantiles

from harness.local_cluster.processes import Processes
from sumachook.simulation.deployment import DeploymentSpec
from sumachook.simulation.fleet import Fleet
from sumachook.transport.node_message import wire_kind
from tests.deployment_fixtures import EXAMPLES, quiet, settled

SIZES = (None, 12, 50, 200)


class Meter:
    """Counts messages, bytes and disk syncs by role; `since()` returns the counts since its last call."""

    __slots__ = ("deployment", "counts", "before", "tell", "synced")

    def __init__(self, deployment):
        self.deployment, self.counts, self.before = deployment, Counter(), Counter()
        self.tell, self.synced = Fleet._send_message, Fleet._synced

        def tell(fleet, box, address, message, is_cast):
            self.counts[box.role, "messages"] += 1
            self.counts["kind", wire_kind(message)] += 1
            self.counts[box.role, "bytes"] += len(box.codec.pack(message))
            self.tell(fleet, box, address, message, is_cast)

        def synced(fleet, box, incarnation):
            if box.incarnation == incarnation:
                self.counts[box.role, "syncs"] += 1
            self.synced(fleet, box, incarnation)

        Fleet._send_message, Fleet._synced = tell, synced

    def since(self):
        found, self.before = self.counts - self.before, Counter(self.counts)
        return found


def add_edges(spec: DeploymentSpec, count):
    """Adds edges to the deployment until it has `count`; new edges are distributed over its areas in turn."""
    for place in range(sum(node["role"] == "edge" for node in spec.nodes), count or 0):
        spec.nodes.append(
            {
                "name": f"edge-{place + 1}",
                "role": "edge",
                "area": spec.catalogue["areas"][place % 3],
                "address": f"127.1.0.{place}:17005",
                "door": f"127.1.0.{place}:17025",
            }
        )


def play(count) -> str:
    """Measures a deployment with this many edges at rest, under changes and under traffic; returns the table row."""
    import tests.deployment_fixtures as fixtures

    plain = fixtures.spec
    fixtures.spec = lambda name="kosice": (lambda spec: add_edges(spec, count) or spec)(plain(name))
    try:
        deployment = settled(61, "kosice", None)
    finally:
        fixtures.spec = plain
    edges, meter = len(deployment.machines("edge")), Meter(deployment)
    quiet(deployment)
    deployment.run(10)
    meter.since()
    deployment.run(20)
    rest = meter.since()
    per_edge = [rest["edge", what] / 20 / edges for what in ("messages", "bytes")]
    per_core = [rest["core", what] / 20 / 3 for what in ("messages", "bytes")]
    for number in range(20):
        doc = {"routes": [{"name": f"cost-{number}", "target": "refund-01"}]}
        assert (
            deployment.ask(
                "core-1", "POST", "/operator/apply", {"request": f"cost-{number}", "doc": doc, "part": True}
            )[0]
            == 200
        )
    change = meter.since()
    callers = deployment.start_callers(1.0, name="traffic")
    deployment.run(20)
    callers.is_on = False
    busy = meter.since()
    calls = len(callers.calls)
    kinds = [f"{kind} {busy['kind', kind] / calls:.2f}" for kind in ("open", "opened", "close", "closed")]
    messages = (
        busy["edge", "messages"] + busy["core", "messages"] - rest["edge", "messages"] - rest["core", "messages"]
    ) / calls
    size = (busy["edge", "bytes"] + busy["core", "bytes"] - rest["edge", "bytes"] - rest["core", "bytes"]) / calls
    return (
        f"| {edges} | {per_edge[0]:.1f}, {per_edge[1] / 1000:.2f} | {per_core[0]:.1f}, {per_core[1] / 1000:.2f} "
        f"| {messages:.1f}, {size / 1000:.2f} ({', '.join(kinds)}) | {busy['core', 'syncs'] / calls:.2f} | {change['core', 'syncs'] / 20:.1f} |"
    )


# real processes ------------------------------------------------------------------------


def _ask(http_address, method, path, key, doc=None, request="") -> float:
    """Returns the seconds until the first line of the response body, on a new connection."""
    host, _, port = http_address.rpartition(":")
    begun = time.perf_counter()
    link = http.client.HTTPConnection(host, int(port), timeout=10)
    headers = {"Authorization": f"Bearer {key}", "X-Request-Id": request, "Content-Type": "application/json"}
    link.request(method, path, json.dumps(doc) if doc else None, headers)
    answer = link.getresponse()
    line = answer.readline()
    took = time.perf_counter() - begun
    answer.read()
    link.close()
    assert answer.status == 200, (http_address, path, answer.status, line)
    return took


def _compare_latency(name, count, direct, routed):
    """Measures direct and routed requests alternately, so that other load on the machine affects both alike."""
    direct(), routed()
    rows = [(direct(), routed()) for _ in range(count)]
    added = [(later - sooner) * 1000 for sooner, later in rows]
    spread = quantiles(added, n=20)
    print(
        f"{name}: {count} pairs; direct median {median(one for one, _ in rows) * 1000:.2f} ms, routed {median(two for _, two in rows) * 1000:.2f} ms; "
        f"added median {median(added):.2f} ms, 5th to 95th percentile: {spread[0]:.2f} to {spread[-1]:.2f} ms",
        flush=True,
    )


def measure_real():
    fleet = Processes(EXAMPLES / "kosice", Path(tempfile.mkdtemp(prefix="sumachook-")))
    try:
        fleet.bring_up()
        edge = fleet.http_addresses("edge")[0]
        records = next(server["address"] for server in fleet.spec.servers if server["kind"] == "records")
        pairs = fleet.get(fleet.http_addresses("core")[0], "/show/pairs")[1]["pairs"]
        model, (primary, _) = next(item for item in sorted(pairs.items()) if item[1][1])
        server = next(item["address"] for item in fleet.spec.servers if item["name"] == primary)
        doc = {"model": model, "stream": True, "max_tokens": 16, "messages": [{"role": "user", "content": "cost"}]}
        chat = "/v1/chat/completions"
        _compare_latency(
            "lookup",
            300,
            lambda: _ask(records, "GET", "/records/a", ""),
            lambda: _ask(edge, "GET", "/records/a", "kosice-customs-key"),
        )
        number = iter(range(10**6))
        _compare_latency(
            "first token",
            60,
            lambda: _ask(server, "POST", chat, "", doc, f"direct-{next(number)}"),
            lambda: _ask(edge, "POST", chat, "kosice-counter-key", doc),
        )
        for load_factor in (1, 2, 4, 8, 12, 16, 24):
            callers = fleet.start_callers(8, load_factor, fleet.work / "one.jsonl", load_factor, 1, edges=1)
            callers.communicate(timeout=200)
            calls = [json.loads(line) for line in (fleet.work / "one.jsonl").read_text().splitlines()]
            bad = Counter(call["class"] for call in calls if call["outcome"] != "ok")
            lookup_times = sorted(
                call["seconds"] for call in calls if call["group"] == "stamps" and call["outcome"] == "ok"
            )
            print(
                f"one edge at {load_factor} times the deployment's request rates: {len(calls)} calls, {sum(bad.values())} not answered {dict(bad)}, "
                f"99th percentile of lookups {lookup_times[int(len(lookup_times) * 0.99)] if lookup_times else 0:.2f} s",
                flush=True,
            )
            if sum(bad.values()) > 0.02 * len(calls):
                break
    finally:
        fleet.stop_all()


def main():
    parser = argparse.ArgumentParser(prog="python -m harness.costs", description=__doc__)
    parser.add_argument(
        "--real", action="store_true", help="use real processes on loopback instead of the in-memory deployment"
    )
    given = parser.parse_args()
    if given.real:
        return measure_real()
    print(
        "| edges | an edge at rest: messages/s, kB/s | a core at rest | per request: messages, kB | syncs per request, all cores | syncs per change, all cores |"
    )
    print("|---|---|---|---|---|---|")
    with ProcessPoolExecutor(len(SIZES)) as pool:
        for row in pool.map(play, SIZES):
            print(row, flush=True)


if __name__ == "__main__":
    main()
