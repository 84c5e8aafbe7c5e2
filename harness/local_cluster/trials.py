"""python -m harness.trials: runs real processes under load through restarts, SIGKILL, SIGSTOP and other faults.

Records memory and open files of the nodes at the start and the end of each trial.
"""

import argparse
import json
import os
import shutil
import signal
import tempfile
import time
from collections import Counter
from functools import partial
from pathlib import Path

from harness.local_cluster.allowance_trial import AllowanceTrial
from harness.local_cluster.processes import Processes
from harness.local_cluster.run_verdict import judge_runs, read_calls
from sumachook.runtime.clock import Clock

LEADER_WITHIN = 10.0  # seconds within which a core must report itself as the leader
EXAMPLES = Path(__file__).parents[2] / "examples"


class NoLeaderError(Exception):
    """No core reported itself as the leader in time, so the trial cannot apply its fault to the leader."""

    def __init__(self):
        super().__init__(f"no core reported itself as the leader within {LEADER_WITHIN} s")


class Trial:
    """Runs one fleet under load while a trial applies its faults; `run` returns whether the run broke no rule."""

    __slots__ = ("fleet", "work", "samples", "restarted_at", "failed")

    def __init__(self, spec: str, work: Path):
        self.fleet, self.work, self.samples, self.restarted_at, self.failed = (
            Processes(EXAMPLES / spec, work),
            work,
            [],
            None,
            [],
        )

    def run(self, name: str, inject_faults, seconds: float) -> bool:
        print(f"ready in {self.fleet.bring_up():.1f} s", flush=True)
        calls = self.work / "calls.jsonl"
        callers = self.fleet.start_callers(seconds, 1.0, calls)
        try:
            time.sleep(3)
            self.sample()
            inject_faults(self)
            self.sample()
            if callers.poll() is not None:
                print(f"{name}: the callers ended before the faults were over")
            out, _ = callers.communicate(timeout=seconds + 400)
            records = self.fleet.server_records()
        finally:
            callers.kill()
            codes = self.fleet.stop_all()
        print(out, end="")
        return self.judge(name, calls, records, codes)

    def judge(self, name, calls, records, codes) -> bool:
        calls = read_calls(calls)
        verdict = judge_runs(calls, records.values())
        runs = Counter()
        for record in records.values():
            runs.update(record.runs)
        final = [call for call in calls if not call["hasMoved"]]
        failed = [call for call in final if call["safe"] and call["outcome"] != "ok"]
        logged = {
            json.loads(line)["tag"]
            for path in self.work.glob("*/day-*.jsonl")
            for line in path.read_text().splitlines()
        }
        unlogged = [
            call["tag"]
            for call in calls
            if call["outcome"] != "ok"
            and call["class"] not in ("refused", "connect-timeout")
            and call["tag"] not in logged
            and (runs[call["tag"]] or call["seconds"] > 0.5)
        ]
        print(f"{name}: {len(final)} calls, {len(failed)} idempotent ones not answered; {verdict.describe()}")
        print(
            f"{len(unlogged)} calls that reached a node and were not answered are missing from the daily logs "
            f"(except calls shorter than half a second that did not run): {unlogged[:5]}"
        )
        bad = [call["at"] for call in final if call["outcome"] != "ok"]
        if self.restarted_at is not None:
            last = max((at - self.restarted_at for at in bad if at > self.restarted_at), default=None)
            print(
                "time from the restart of all nodes to the last call that was not answered: "
                + (f"{last:.1f} s" if last is not None else "none")
            )
        print("memory (MB) and open files at the start and the end: " + self.growth())
        logs = list(self.work.glob("*.log"))
        uncaught = [path.name for path in logs if "Traceback" in path.read_text()]
        self.expect(
            f"every process has written a log: {len(logs)} of {len(self.fleet.commands)}",
            len(logs) >= len(self.fleet.commands) > 0,
        )
        print(
            f"exit codes other than 0: { {name: code for name, code in codes.items() if code} or 'none' }, "
            f"tracebacks in {uncaught or 'no log'}"
        )
        print(
            f"expectations not met: {self.failed or 'none'}; calls missing from the logs: {len(unlogged)}", flush=True
        )
        return verdict.is_good and not (uncaught or self.failed or unlogged)

    def expect(self, what: str, is_so: bool):
        print(f"{what}: {'yes' if is_so else 'NO'}", flush=True)
        if not is_so:
            self.failed.append(what)

    def sample(self):
        """Appends (resident memory in MB, open files) of each running node to the samples."""
        found = {}
        for node in self.fleet.spec.nodes:
            process = self.fleet.running.get(node["name"])
            if process is not None:
                pages = int(Path(f"/proc/{process.pid}/statm").read_text().split()[1])
                found[node["name"]] = (
                    pages * os.sysconf("SC_PAGE_SIZE") / 1e6,
                    len(os.listdir(f"/proc/{process.pid}/fd")),
                )
        self.samples.append(found)

    def growth(self) -> str:
        first, last = self.samples[0], self.samples[-1]
        return ", ".join(
            f"{name} {first[name][0]:.0f}->{last[name][0]:.0f}/{first[name][1]}->{last[name][1]}"
            for name in first
            if name in last
        )

    def names(self, role):
        return [node["name"] for node in self.fleet.spec.nodes if node["role"] == role]

    def leader(self) -> str:
        """Returns the name of the leader; raises NoLeaderError if no core reports itself as the leader in time."""
        found = []
        if not self.fleet.wait_for(lambda: found.extend(self._reported_leaders()) or bool(found), LEADER_WITHIN):
            raise NoLeaderError
        return found[0]

    def _reported_leaders(self) -> list[str]:
        """Returns the names of the cores that report themselves as the leader."""
        names = []
        for node in self.fleet.spec.nodes:
            answer = self.fleet.get(node["door"], "/condition") if node["role"] == "core" else None
            if answer and answer[1].get("inView") and str(answer[1].get("leader", "")).startswith(node["name"] + "-"):
                names.append(node["name"])
        return names


def rolling(trial: Trial):
    """Stops every edge and core with SIGTERM and starts it again, one at a time."""
    for name in trial.names("edge") + trial.names("core"):
        code = trial.fleet.stop(name)
        trial.fleet.start(name)
        role = "edge" if "edge" in name else "core"
        is_back = trial.fleet.wait_for(partial(trial.fleet.are_ready, role, [name]), 30)
        trial.expect(f"{name}, stopped with {code}, is ready again", is_back)
        time.sleep(1)


def kills(trial: Trial):
    """Sends SIGKILL to an edge, the leader, a model server and another edge in turn, and restarts each of them."""
    for name in ("edge-2", trial.leader(), "model-1", "edge-5"):
        trial.fleet.kill(name)
        print(f"{name} killed", flush=True)
        time.sleep(4)
        trial.fleet.start(name)
        time.sleep(6)


def freezes(trial: Trial):
    """Stops an edge, the leader and a model server in turn for five seconds with SIGSTOP and SIGCONT."""
    for name in ("edge-3", trial.leader(), "model-2"):
        trial.fleet.signal(name, signal.SIGSTOP)
        print(f"{name} stopped with SIGSTOP", flush=True)
        time.sleep(5)
        trial.fleet.signal(name, signal.SIGCONT)
        time.sleep(5)


def total(trial: Trial):
    """Sends SIGKILL to all cores and edges at once and restarts all of them three seconds later."""
    names = trial.names("core") + trial.names("edge")
    for name in names:
        trial.fleet.signal(name, signal.SIGKILL)
    for name in names:
        trial.fleet.running.pop(name).wait()
    time.sleep(3)
    trial.restarted_at = Clock().mono().total_seconds()
    for name in names:
        trial.fleet.start(name)
    is_ready = trial.fleet.wait_for(lambda: trial.fleet.are_ready("edge"), 30)
    took = Clock().mono().total_seconds() - trial.restarted_at
    trial.expect(f"all edges are ready again, after {took:.1f} s", is_ready)
    time.sleep(15)


def warned(trial: Trial):
    """Sends SIGTERM and a second later SIGKILL to an edge and a core, then drains and kills a model server."""
    for name in ("edge-2", "core-2"):
        trial.fleet.signal(name, signal.SIGTERM)
        time.sleep(1)
        trial.fleet.kill(name)
        time.sleep(3)
        trial.fleet.start(name)
        time.sleep(5)
    trial.fleet.post(trial.fleet.spec.platform, "/leaving", {"name": "model-1", "leaving": True})
    time.sleep(3.6)
    before = trial.fleet.server_record(_server(trial, "model-1")).prompts
    time.sleep(4)
    after = trial.fleet.server_record(_server(trial, "model-1")).prompts
    trial.expect(
        f"no new prompts on the leaving server from 3.6 s after its notice ({before} prompts before)",
        0 < before == after,
    )
    trial.fleet.kill("model-1")
    trial.fleet.start("model-1")
    time.sleep(1)
    trial.fleet.post(trial.fleet.spec.platform, "/leaving", {"name": "model-1", "leaving": False})


def _server(trial, name) -> dict:
    return next(server for server in trial.fleet.spec.servers if server["name"] == name)


def _apply_change(trial, number, more=None):
    """Applies a partial configuration that replaces the probe caller; returns whether it was acknowledged."""
    callers = [
        {
            "name": f"probe-{number}",
            "key": f"probe-{number}-key",
            "line": trial.fleet.spec.catalogue["lines"][0]["name"],
            "patience": 5.0,
            "lookups": False,
        },
        {"name": f"probe-{number - 1}", "remove": True},
    ]
    part = trial.work / f"part-{number}.json"
    part.write_text(json.dumps({"callers": callers, **(more or {})}))
    return trial.fleet.run_command_line("apply", str(part), "--part").returncode == 0


def _lagging_edges(trial, number) -> list:
    """Returns the edges that reject the newest key as unknown or still accept the previous one.

    Status 403 means that the key is known but not allowed to look up records; 401 means that it is unknown.
    """
    asked = {
        http_address: [
            (trial.fleet.get(http_address, "/records/probe", f"probe-{each}-key") or (0,))[0]
            for each in (number, number - 1)
        ]
        for http_address in trial.fleet.http_addresses("edge")
    }
    return [http_address for http_address, (new, old) in asked.items() if new != 403 or old != 401]


def configured(trial: Trial):
    """Applies 30 changes; two seconds after each tenth acknowledgement, checks that all edges apply it, once with the
    leader killed right after the acknowledgement. Then evacuates and restores an area.
    """
    target = trial.fleet.spec.catalogue["models"][0]["name"]
    for number in range(1, 31):
        is_acked = _apply_change(
            trial, number, {"routes": [{"name": f"trial-{number}-{place}", "target": target} for place in range(10)]}
        )
        if number % 10 == 0:
            killed_leader = trial.leader() if number == 20 else None
            if killed_leader:
                trial.fleet.kill(killed_leader)
            time.sleep(2)
            trial.expect(
                f"all edges apply change {number} two seconds after its acknowledgement",
                is_acked and _lagging_edges(trial, number) == [],
            )
            if killed_leader:
                trial.fleet.start(killed_leader)
                trial.fleet.wait_for(lambda: trial.fleet.are_ready("core"), 20)
    zone = trial.fleet.spec.catalogue["areas"][1]
    trial.fleet.run_command_line("evacuate", zone)
    time.sleep(5)
    inside = [node["door"] for node in trial.fleet.spec.nodes if node["role"] == "edge" and node["area"] == zone]
    servers = [server for server in trial.fleet.spec.servers if server["kind"] == "model" and server["area"] == zone]
    before = [trial.fleet.server_record(server).prompts for server in servers]
    trial.expect(
        "edges in the evacuated area reject all requests",
        bool(inside) and all(trial.fleet.get(http_address, "/records/x")[0] == 503 for http_address in inside),
    )
    time.sleep(4)
    after = [trial.fleet.server_record(server).prompts for server in servers]
    trial.expect(
        f"no prompt runs in the evacuated area after five seconds ({sum(before)} prompts before)",
        sum(before) > 0 and before == after,
    )
    trial.fleet.run_command_line("restore", zone)
    time.sleep(3)


def swapped(trial: Trial):
    """Kills a core right after an acknowledgement and deletes its data: the change survives, the core votes again."""
    trial.expect("the change is acknowledged", _apply_change(trial, 1))
    trial.fleet.kill("core-3")
    shutil.rmtree(trial.work / "core-3")
    trial.fleet.start("core-3")
    trial.expect(
        "the core without its disk is a voting member again",
        trial.fleet.wait_for(lambda: trial.fleet.are_ready("core", ["core-3"]), 40),
    )
    trial.fleet.kill("core-1")
    time.sleep(4)
    trial.expect(
        "edges apply the acknowledged change with another core down",
        _lagging_edges(trial, 1) == [] or _lagging_edges(trial, 1) == [],
    )
    trial.expect("further changes are acknowledged", _apply_change(trial, 2))
    trial.fleet.start("core-1")
    time.sleep(4)


def crowd(trial: Trial):
    """Adds traffic of four times the city's request rates for ten seconds."""
    more = trial.fleet.start_callers(10, 4.0, trial.work / "crowd.jsonl", 2, 2)
    time.sleep(16)
    more.communicate(timeout=120)
    calls = [json.loads(line) for line in (trial.work / "crowd.jsonl").read_text().splitlines()]
    answered = sum(call["outcome"] == "ok" for call in calls)
    trial.expect(f"some of the additional calls are answered: {answered} of {len(calls)}", answered > 0)


def soak(trial: Trial):
    """Runs load without faults for three minutes and samples memory and open files every 15 s."""
    for _ in range(12):
        time.sleep(15)
        trial.sample()


def allowances(trial: Trial):
    """Sends ten times a tenant's allowance while edges are added, restarted and killed and the issuer is killed."""
    AllowanceTrial(trial).take()


TRIALS = {
    "rolling": (rolling, 75),
    "kills": (kills, 55),
    "freezes": (freezes, 45),
    "total": (total, 40),
    "warned": (warned, 45),
    "configured": (configured, 75),
    "swapped": (swapped, 75),
    "crowd": (crowd, 30),
    "soak": (soak, 190),
    "allowances": (allowances, 75),
}


def main():
    parser = argparse.ArgumentParser(prog="python -m harness.trials", description=__doc__)
    parser.add_argument("names", nargs="*", choices=[*TRIALS, []], help="trials to run; by default all except soak")
    parser.add_argument("--city", default="kosice", choices=["kosice", "central-java"])
    given = parser.parse_args()
    is_good = True
    for name in given.names or [name for name in TRIALS if name != "soak"]:
        inject_faults, seconds = TRIALS[name]
        print(f"== {name}: {inject_faults.__doc__}", flush=True)
        is_good &= Trial(given.city, Path(tempfile.mkdtemp(prefix="sumachook-"))).run(name, inject_faults, seconds)
    raise SystemExit(0 if is_good else 1)


if __name__ == "__main__":
    main()
