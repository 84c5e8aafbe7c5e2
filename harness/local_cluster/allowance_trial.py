"""The trial of allowances: edges are added, killed and restarted while a tenant sends ten times its allowance."""

import json
import shutil
import subprocess
import time
from datetime import timedelta
from functools import partial
from itertools import pairwise

from harness.local_cluster.processes import PROGRAM
from sumachook.configuration.catalogue import merge, read_catalogue
from sumachook.quotas.terms import QuotaTerms
from sumachook.runtime.clock import Clock
from sumachook.simulation.quota_invariant_checker import Bounds, ClientRequest, QuotaInvariantChecker, Run

ALLOWANCE, FLOOD_RATE = 20.0, 200.0  # requests per second: a tenant's allowance, and its rate when it floods
RATE_WITHIN_FLOOR = 8.0  # requests per second of the other tenant, below its guaranteed floor
ADDED_EDGES = 3  # number of edges that are started only later in the trial
# outcomes of calls that no edge admitted or counted; the caller tries another edge
NOT_ADMITTED = ("refused", "connect-timeout", "draining", "not-ready")
ADMISSION_DELAY = 0.4  # seconds from sending a call to its admission


class AllowanceTrial:
    """Two tenants, of which one floods; `take()` runs the trial and prints its table of rates per phase."""

    __slots__ = ("trial", "phase_starts", "calls")

    def __init__(self, trial):
        self.trial, self.phase_starts, self.calls = trial, [], {}

    def take(self):
        fleet = self.trial.fleet
        tenants = (
            {"flooding": ("audit", FLOOD_RATE), "inside": ("shop", RATE_WITHIN_FLOOR)}
            if fleet.spec.cluster == "kosice"
            else {"flooding": ("caseworker", FLOOD_RATE), "inside": ("applicant", RATE_WITHIN_FLOOR)}
        )
        part = {
            "tenants": [
                {"name": name, "callers": [caller], "requestsPerS": ALLOWANCE, "floor": 0.8, "burstS": 2.0}
                for name, (caller, _) in tenants.items()
            ]
        }
        edges = self.trial.names("edge")
        for name in edges[-ADDED_EDGES:]:
            fleet.stop(name)
        (self.trial.work / "tenants.json").write_text(json.dumps(part))
        self.trial.expect(
            "tenants are acknowledged",
            fleet.run_command_line("apply", str(self.trial.work / "tenants.json"), "--part").returncode == 0,
        )
        callers = {
            name: self._start_callers(name, *tenant_spec, place)
            for place, (name, tenant_spec) in enumerate(tenants.items(), 2)
        }
        try:
            self._play(fleet, edges)
        except BaseException:
            for process in callers.values():
                process.kill()
            raise
        for name, process in callers.items():
            process.communicate(timeout=120)
            calls = [json.loads(line) for line in (self.trial.work / f"{name}.jsonl").read_text().splitlines()]
            self.calls[name] = [call for call in calls if call["class"] not in NOT_ADMITTED]
        self._report(read_catalogue(merge(fleet.spec.catalogue, part))[0])

    def _start_callers(self, name, caller, rate, place):
        """Starts callers of one tenant that send lookups to all edges; a rejected caller tries another edge."""
        fleet, folder = self.trial.fleet, self.trial.work / f"office-{name}"
        folder.mkdir()
        shutil.copy(fleet.folder / "catalogue.json", folder)
        group = {"name": name, "kind": "lookup", "caller": caller, "rate": rate, "prefix": "claim-"}
        (folder / "traffic.json").write_text(json.dumps({"groups": [group]}))
        host, _, port = fleet.spec.platform.rpartition(":")
        command = [
            "stand-in",
            "callers",
            "--catalogue",
            str(folder / "catalogue.json"),
            "--traffic",
            str(folder / "traffic.json"),
            "--door",
            f"{host}:{int(port) + place}",
            "--seconds",
            "60",
            "--calls",
            str(self.trial.work / f"{name}.jsonl"),
            "--draw",
            str(place),
        ]
        for node in fleet.spec.nodes:
            command += ["--edge", f"{node['area']}/{node['door']}"] if node["role"] == "edge" else []
        return subprocess.Popen(PROGRAM + command, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)

    def _begin_phase(self, what):
        self.phase_starts.append((Clock().mono().total_seconds(), what))
        print(what, flush=True)

    def _play(self, fleet, edges):
        self._begin_phase(f"{len(edges) - ADDED_EDGES} edges")
        time.sleep(8)
        self._begin_phase("three edges added")
        for name in edges[-ADDED_EDGES:]:
            fleet.start(name)
            time.sleep(2)
        time.sleep(4)
        self._begin_phase("three edges restarted one by one")
        for name in edges[:3]:
            fleet.stop(name)
            fleet.start(name)
            fleet.wait_for(partial(fleet.are_ready, "edge", [name]), 20)
        self._begin_phase("one edge killed, restarted after 3 s")
        fleet.kill(edges[3])
        time.sleep(3)
        fleet.start(edges[3])
        time.sleep(3)
        shown = json.loads(fleet.run_command_line("show", "allowances").stdout)
        issuer = shown["holder"].rpartition("-")[0]
        self._begin_phase(f"the issuer of allowances ({issuer}) killed")
        fleet.kill(issuer)
        time.sleep(9)
        fleet.start(issuer)
        self._begin_phase("calm")
        time.sleep(6)
        shown = json.loads(fleet.run_command_line("show", "allowances").stdout)["tenants"]
        self._begin_phase("end")
        for name, tenant in shown.items():
            print(
                f"show allowances, {name}: {tenant['requestsPerS']} requests/s, admitted {tenant['admitted']}, "
                f"refused {tenant['refused']}, by edge "
                + ", ".join(
                    f"{edge} {router['admitted']}/{router['refused']}" for edge, router in tenant["routers"].items()
                )
            )

    def _report(self, catalogue):
        fleet, terms, second = self.trial.fleet, QuotaTerms.by_tenant(catalogue), timedelta(seconds=1)
        print(
            "| phase | s | "
            + " | ".join(f"{name}: sent, admitted, refused per second" for name in self.calls)
            + " | inside: slowest response ms |"
        )
        print("|---|---|" + "---|" * (len(self.calls) + 1))
        for (since, what), (until, _) in pairwise(self.phase_starts):
            cells, slowest = [], 0.0
            for name, calls in self.calls.items():
                phase_calls = [call for call in calls if since <= call["at"] < until]
                figures = (
                    len(phase_calls),
                    sum(call["outcome"] == "ok" for call in phase_calls),
                    sum(call["class"] == "allowance" for call in phase_calls),
                )
                cells.append(", ".join(f"{figure / (until - since):.1f}" for figure in figures))
                if name == "inside":
                    slowest = max((call["seconds"] for call in phase_calls if call["outcome"] == "ok"), default=0.0)
            print(f"| {what} | {until - since:.1f} | " + " | ".join(cells) + f" | {slowest * 1000:.0f} |")
        for name, calls in self.calls.items():
            burst = tuple(
                most + figure * ADMISSION_DELAY
                for most, figure in zip(terms[name].burst, terms[name].ceiling, strict=False)
            )
            invariant_checker = QuotaInvariantChecker(
                Bounds(terms[name].ceiling, terms[name].floor, burst, terms[name].floor_burst)
            )
            over = list(
                invariant_checker.ceiling_violations(
                    [Run(second * call["at"]) for call in calls if call["outcome"] == "ok"],
                    changes=1,
                    is_disturbed=True,
                )
            )
            short = list(
                invariant_checker.floor_violations(
                    [ClientRequest(second * call["at"], call["class"] == "allowance") for call in calls],
                    len(fleet.http_addresses("edge")),
                )
            )
            self.trial.expect(
                f"{name}: some calls were admitted, {len(calls)} judged", any(call["outcome"] == "ok" for call in calls)
            )
            self.trial.expect(f"{name}: admitted calls within the bound in any 1, 3 and 10 s{over[:1] or ''}", not over)
            self.trial.expect(f"{name}: no call within the floor refused{short[:1] or ''}", not short)
