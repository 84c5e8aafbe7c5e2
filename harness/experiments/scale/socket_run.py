"""A measurement of one fleet size on loopback.

Three full cores, two edges as real processes, all other edges with fake traffic, and fakes of servers and inventory.
"""

import json
import time
import urllib.error
import urllib.request
from pathlib import Path

from harness.experiments.scale.child import Child
from harness.experiments.scale.site import REAL_EDGES, Site
from harness.experiments.scale.size import Size

METERED_EDGES, MAX_HOSTS, EDGES_PER_HOST = 12, 4, 60
TICK, SLOW_TICK, MAX_NODES_AT_FULL_TICK = 50, 200, 150
PHASE_S, QUIET_S, SETTLE_TIMEOUT_S = 12.0, 3.0, 120.0
RATES = (0.25, 1.0)
COLD_LOADS, CHANGES, FULL_CHANGES = 10, 8, 2


class SocketRun:
    """`take()` runs the measurement and returns its phases with the figures of cores, metered edges and real edges.

    Only the edges of the first host process are metered. In a large fleet the other edges tick less often, so that no
    process runs short of processor time; their messages follow timers and are at most one tick late.
    """

    __slots__ = ("site", "work", "cores", "hosts", "real", "platform", "versions", "shares")

    def __init__(self, size: Size, work: Path):
        self.site, self.work, self.versions = Site(size), work, 0
        self.cores, self.hosts, self.shares, self.real, self.platform = {}, [], [], {}, None

    def take(self) -> dict:
        try:
            found = self._measure()
        finally:
            reply = self._end()
        return found | reply | {"disk": self._disk()}

    def _disk(self) -> dict:
        """Returns the bytes of all cores' files by kind: consensus, ledger, day."""
        sizes = {}
        for core in self.site.cores:
            for file in (self.work / core).iterdir():
                what = file.name.partition("-")[0]
                sizes[what] = sizes.get(what, 0) + file.stat().st_size
        return sizes

    def _end(self) -> dict:
        """Ends all child processes; returns the fake platform's counts of model loads and memory limit violations."""
        for child in self.real.values():
            child.process.terminate()
        for child in [*self.hosts, *self.cores.values(), *self.real.values()]:
            child.stop()
        lines = self.platform.stop().split() if self.platform else []
        return json.loads("".join(lines)) if lines else {}

    def _measure(self):
        site, size = self.site, self.site.size
        begun = time.monotonic()
        self._start()
        self._configure(site.catalogue(1), False)
        self._settle()
        settled_after = round(time.monotonic() - begun, 1)
        found = {
            "nodes": size.nodes,
            "edges": size.edges,
            "servers": size.servers,
            "models": size.models,
            "cold": len(site.cold[:COLD_LOADS]),
            "adapters": size.adapters,
            "processes": 1 + len(self.cores) + len(self.hosts) + len(self.real),
            "settledAfter": settled_after,
            "phases": {},
        }
        self._all("calm")
        time.sleep(QUIET_S)
        self._phase(found, "rest", lambda: time.sleep(PHASE_S))
        for rate in RATES:
            self._rate(rate * size.requests)
            time.sleep(QUIET_S)
            self._phase(found, f"requests {rate}", lambda: time.sleep(PHASE_S))
        found["state"] = self._footprints()
        self._rate(0.0)
        time.sleep(QUIET_S * 2)
        self._phase(found, "loads", self._load_cold)
        found["changes"] = []
        self._phase(found, "changes", lambda: found["changes"].extend(self._change(False) for _ in range(CHANGES)))
        self._phase(found, "wholes", lambda: found["changes"].extend(self._change(True) for _ in range(FULL_CHANGES)))
        totals = self._all("mark")[len(self.cores) :]
        found |= {
            "asked": sum(each["asked"] for each in totals),
            "ended": sum(each["outcomes"].get("end", 0) for each in totals),
        }
        found["seconds"] = round(time.monotonic() - begun, 1)
        return found

    # starting -------------------------------------------------------------------

    def _start(self):
        site, nodes, restart_epoch = self.site, str(self.site.size.nodes), str(time.time_ns() // 1_000_000)
        self.platform = Child("harness.experiments.scale.fake_platform", nodes, log=self.work / "stand.log")
        self.platform.answer()
        for name in site.cores:
            self.cores[name] = Child(
                "harness.experiments.scale.host",
                nodes,
                str(self.work),
                str(TICK),
                restart_epoch,
                name,
                log=self.work / f"{name}.log",
            )
        for name in site.edges[:REAL_EDGES]:
            file = self.work / f"{name}.json"
            file.write_text(json.dumps(site.settings(name)))
            self.real[name] = Child("sumachook", "edge", "--params", str(file), log=self.work / f"{name}.log")
        metered, others = site.edges[REAL_EDGES : REAL_EDGES + METERED_EDGES], site.edges[REAL_EDGES + METERED_EDGES :]
        hosts = min(MAX_HOSTS, -(-len(others) // EDGES_PER_HOST))
        tick = TICK if site.size.nodes <= MAX_NODES_AT_FULL_TICK else SLOW_TICK
        for place, (each, names) in enumerate(
            [(TICK, metered), *((tick, others[place::hosts]) for place in range(hosts))]
        ):
            self.shares.append(len(names) / (len(metered) + len(others)))
            self.hosts.append(
                Child(
                    "harness.experiments.scale.host",
                    nodes,
                    str(self.work),
                    str(each),
                    restart_epoch,
                    *names,
                    log=self.work / f"host-{place}.log",
                )
            )

    def _all(self, do, **words):
        children = [*self.cores.values(), *self.hosts]
        for child in children:
            child.tell(do, **words)
        return [child.answer() for child in children]

    def _settle(self):
        """Waits until all nodes know each other, the inventory, the catalogue and the models of each server.

        Exits with an error after SETTLE_WITHIN seconds.
        """
        end, size = time.monotonic() + SETTLE_TIMEOUT_S, self.site.size
        while time.monotonic() < end:
            found = self._all("ready")
            if (
                min(each["members"] for each in found) >= size.nodes
                and min(each["servers"] for each in found) == size.servers
                and min(each["version"] for each in found) == self.versions
                and min(each["places"] for each in found[len(self.cores) :]) == size.servers
            ):
                return
            time.sleep(0.5)
        raise SystemExit(f"{size.nodes} nodes did not settle within {SETTLE_TIMEOUT_S} s: {found}")

    # phases ---------------------------------------------------------------------

    def _phase(self, found, name, act):
        before, spent, begun = self._all("mark"), self._spent(), time.monotonic()
        act()
        after, spent_after = self._all("mark"), self._spent()
        seconds, count = time.monotonic() - begun, len(self.cores)
        ready = [child.tell("ready") or child.answer() for child in self.cores.values()]
        roles = {
            "leader": next((place for place, each in enumerate(ready) if each["leads"]), None),
            "placer": next((place for place, each in enumerate(ready) if each["fence"]), None),
        }
        phase = found["phases"][name] = {"seconds": round(seconds, 2), **roles}
        phase["cores"] = [_difference(one, other) for one, other in zip(before[:count], after[:count], strict=True)]
        phase["edges"], *others = [
            _difference(one, other) for one, other in zip(before[count:], after[count:], strict=True)
        ]
        phase["others"] = {
            what: sum(each[what] for each in others) for what in ("process", "resident", "nodes", "asked")
        }
        phase["asked"] = phase["edges"]["asked"] + phase["others"]["asked"]

        phase["real"] = [
            {"process": round(later["process"] - sooner["process"], 3), "resident": later["resident"]}
            for sooner, later in zip(spent, spent_after, strict=True)
        ]

    def _spent(self):
        return [child.spent() for child in self.real.values()]

    def _rate(self, rate):
        for host, share in zip(self.hosts, self.shares, strict=True):
            host.tell("rate", rate=rate * share)
            host.answer()

    def _footprints(self):
        children = {"core": [*self.cores.values()], "edge": self.hosts[:1]}
        found = {}
        for role, each in children.items():
            for child in each:
                child.tell("footprint")
            parts = [child.answer() for child in each]
            found[role] = {name: max(part[name] for part in parts) for name in parts[0]}
        return found

    def _load_cold(self):
        for place, name in enumerate(self.site.cold[:COLD_LOADS]):
            host = self.hosts[place % len(self.hosts)]
            host.tell("cold", name=name)
            host.answer()
            time.sleep(1.0)
        time.sleep(QUIET_S)

    def _change(self, is_whole) -> dict:
        if is_whole:
            doc = self.site.catalogue(self.versions + 1)
            doc["httpRoutes"].append(self.site.route(1000 + self.versions))
        else:
            doc = {"version": self.versions + 1, "httpRoutes": [self.site.route(100 + self.versions)]}
        found = self._configure(doc, not is_whole)
        time.sleep(0.5)
        return found

    def _configure(self, doc, is_part) -> dict:
        """Sends a configuration to one core after the other until one accepts it.

        Returns its size and the seconds until all edges confirmed it. Exits with an error if it is refused or after
        60 attempts.
        """
        body = json.dumps(
            {"request": f"v{doc['version']}", "doc": doc, "part": is_part, "ifVersion": self.versions}
        ).encode()
        http_addresses = [self.site.settings(core)["door"] for core in self.site.cores]
        for turn in range(60):
            begun = time.monotonic()
            try:
                with urllib.request.urlopen(
                    urllib.request.Request(
                        f"http://{http_addresses[turn % len(http_addresses)]}/operator/configure", body
                    ),
                    timeout=15,
                ) as answer:
                    reply = json.loads(answer.read())
                    self.versions = doc["version"]
                    return {
                        "isPart": is_part,
                        "bytes": len(body),
                        "seconds": round(time.monotonic() - begun, 3),
                        "unconfirmed": len(reply["unconfirmed"]),
                    }
            except urllib.error.HTTPError as error:
                if error.code < 500 and error.code != 307:  # 307: the core redirects a large request to the leader
                    raise SystemExit(f"a configuration was refused: {error.read()[:400]}") from None
            except OSError:
                pass
            time.sleep(0.5)
        raise SystemExit("no core accepted the configuration within 60 attempts")


def _difference(before, after):
    counts = {
        what: {
            name: count - before[what].get(name, 0)
            for name, count in after[what].items()
            if count != before[what].get(name, 0)
        }
        for what in ("sent", "heard", "seconds", "outcomes")
        if what in after
    }
    return {
        "process": after["process"] - before["process"],
        "resident": after["resident"],
        "nodes": after["nodes"],
        "asked": after["asked"] - before["asked"],
        **counts,
    }
