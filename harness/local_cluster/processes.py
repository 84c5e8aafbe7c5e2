"""Runs the nodes, the platform and the model servers of an example city as real processes."""

import json
import os
import signal
import subprocess
import sys
import time
import urllib.error
import urllib.request
from pathlib import Path

from harness.local_cluster.initial_placement import initial_placement
from harness.local_cluster.server_record import PATH, ServerRecord, read_server_record
from sumachook.simulation.deployment import DeploymentSpec

ANSWER_WITHIN = 10.0  # seconds within which a fake server that was just started must answer
PROGRAM = [sys.executable, "-m", "sumachook"]


class UnknownNodeError(Exception):
    """No node of the city has the given role and one of the given names, so its state is unknown."""

    def __init__(self, role: str, names):
        super().__init__(f"no node of role {role!r}" + (f" is named {', '.join(names)}" if names else ""))


class Processes:
    """Starts, signals and stops the processes of one city; logs and data are stored under `work`.

    Unless `is_empty`, the model servers hold their planned models at the first start, like those of a long-running
    city: loading all models takes the gigabytes of their weights divided by the store's rate, which no fleet may exceed
    (docs/design/placement.md).
    """

    __slots__ = ("folder", "spec", "work", "running", "commands", "is_empty")

    def __init__(self, folder: Path, work: Path, is_empty: bool = False):
        self.is_empty = is_empty
        self.folder, self.spec, self.work = folder, DeploymentSpec(folder), work
        self.running, self.commands = {}, {}
        work.mkdir(parents=True, exist_ok=True)
        files = {name: str(folder / f"{name}.json") for name in ("catalogue", "servers", "traffic")}
        self.commands["platform"] = [
            "stand-in",
            "platform",
            "--servers",
            files["servers"],
            "--door",
            self.spec.platform,
        ]
        for server in self.spec.servers:
            more = ["--catalogue", files["catalogue"]] if server["kind"] == "model" else []
            self.commands[server["name"]] = [
                "stand-in",
                server["kind"],
                server["name"],
                "--servers",
                files["servers"],
                *more,
            ]
        for node in self.spec.nodes:
            data = {"data": str(work / node["name"]), "seatAway": 5.0} if node["role"] == "core" else {}
            settings = work / f"{node['name']}.json"
            settings.write_text(json.dumps(self.spec.settings(node, **data)))
            self.commands[node["name"]] = [node["role"], "--params", str(settings)]

    def start(self, name: str, *more: str):
        with open(self.work / f"{name}.log", "ab") as log:
            self.running[name] = subprocess.Popen(PROGRAM + self.commands[name] + list(more), stdout=log, stderr=log)

    def start_all(self):
        """Starts all processes. Model servers get initial models only here: one restarted later is empty."""
        holding = self.work / "holding.json"
        held = {} if self.is_empty else initial_placement(self.spec)
        holding.write_text(
            json.dumps({"servers": [{**server, "holds": held.get(server["name"], [])} for server in self.spec.servers]})
        )
        for name in self.commands:
            self.start(name, *(["--servers", str(holding)] if name in held else []))

    def signal(self, name: str, number):
        self.running[name].send_signal(number)

    def kill(self, name: str):
        self.signal(name, signal.SIGKILL)
        self.running.pop(name).wait()

    def stop(self, name: str, wait=15.0) -> int:
        """Sends SIGTERM, kills the process after `wait` seconds if it still runs, and returns the exit code."""
        self.running[name].terminate()
        return self._wait(name, wait)

    def _wait(self, name, wait=15.0) -> int:
        process = self.running.pop(name)
        try:
            return process.wait(wait)
        except subprocess.TimeoutExpired:
            process.kill()
            return process.wait()

    def stop_all(self) -> dict:
        for process in self.running.values():
            process.send_signal(signal.SIGCONT)
            process.terminate()
        return {name: self._wait(name) for name in list(self.running)}

    def http_addresses(self, role: str) -> list:
        return [node["door"] for node in self.spec.nodes if node["role"] == role]

    def get(self, http_address: str, path: str, key: str = "", doc=None):
        """Returns (status, document), or None if there is no response; sends a POST if a document is given."""
        body = json.dumps(doc).encode() if doc is not None else None
        request = urllib.request.Request(
            f"http://{http_address}{path}", body, {"Authorization": f"Bearer {key}"} if key else {}
        )
        try:
            with urllib.request.urlopen(request, timeout=2) as answer:
                return answer.status, json.loads(answer.read())
        except urllib.error.HTTPError as error:
            return error.code, json.loads(error.read())
        except (OSError, ValueError):
            return None

    def post(self, http_address: str, path: str, doc):
        return self.get(http_address, path, doc=doc)

    def wait_for(self, is_reached, seconds: float) -> bool:
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if is_reached():
                return True
            time.sleep(0.1)
        return False

    def are_ready(self, role: str, names=None) -> bool:
        http_addresses = [
            node["door"]
            for node in self.spec.nodes
            if node["role"] == role and (names is None or node["name"] in names)
        ]
        if not http_addresses:
            raise UnknownNodeError(role, names)
        return all(
            (answer := self.get(http_address, "/condition")) is not None and answer[0] == 200
            for http_address in http_addresses
        )

    def run_command_line(self, *words: str) -> subprocess.CompletedProcess:
        cores = ",".join(self.http_addresses("core"))
        return subprocess.run(
            PROGRAM + list(words),
            env={**os.environ, "SUMACHOOK_CORES": cores},
            capture_output=True,
            text=True,
            timeout=60,
        )

    def are_pairs_held(self) -> bool:
        """Whether every planned replica (a model on a server) is loaded on its server."""
        for http_address in self.http_addresses("core"):
            answer = self.get(http_address, "/show/pairs")
            if answer and answer[0] == 200:
                pairs, held = answer[1]["pairs"], answer[1]["held"]
                wanted = [(model, server) for model, pair in pairs.items() for server in pair if server]
                return bool(wanted) and all(
                    held.get(server, {}).get(model) in ("warm", "ready") for model, server in wanted
                )
        return False

    def bring_up(self) -> float:
        """Starts all processes, applies the catalogue and waits until every planned replica is loaded.

        Returns the seconds this took. The time limit checks that only the store's rate delays the start.
        """
        bound = 120 if self.is_empty else 20
        begun = time.monotonic()
        self.start_all()
        if not self.wait_for(lambda: self.are_ready("core"), 30):
            raise SystemExit("the cores did not form a view within 30 s; logs in " + str(self.work))
        answer = self.run_command_line("apply", str(self.folder / "catalogue.json"))
        if answer.returncode:
            raise SystemExit("applying the catalogue failed: " + answer.stderr)
        if not self.wait_for(lambda: self.are_ready("edge") and self.are_pairs_held(), bound):
            raise SystemExit(f"planned replicas were not loaded within {bound} s; logs in {self.work}")
        return time.monotonic() - begun

    def start_callers(
        self, seconds: float, pace: float, calls: Path, random: int = 1, place: int = 1, edges=None
    ) -> subprocess.Popen:
        spec = str(self.folder)
        command = [
            "stand-in",
            "callers",
            "--catalogue",
            f"{spec}/catalogue.json",
            "--traffic",
            f"{spec}/traffic.json",
            "--door",
            self.spec.platform.rpartition(":")[0] + ":" + str(int(self.spec.platform.rpartition(":")[2]) + place),
            "--seconds",
            str(seconds),
            "--pace",
            str(pace),
            "--calls",
            str(calls),
            "--draw",
            str(random),
        ]
        for node in [node for node in self.spec.nodes if node["role"] == "edge"][:edges]:
            command += ["--edge", f"{node['area']}/{node['door']}"]
        return subprocess.Popen(PROGRAM + command, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True)

    def server_record(self, server: dict) -> ServerRecord:
        """Fetches the record of one model server; raises ServerRecordError if it does not return one."""
        answers = []

        def has_answered():
            answers.append(self.get(server["address"], PATH))
            return answers[-1] is not None

        self.wait_for(has_answered, ANSWER_WITHIN)
        return read_server_record(server["name"], answers[-1])

    def server_records(self) -> dict[str, ServerRecord]:
        """Fetches the records of all running model servers, by name; raises ServerRecordError if one returns none."""
        return {
            server["name"]: self.server_record(server)
            for server in self.spec.servers
            if server["kind"] == "model" and server["name"] in self.running
        }
