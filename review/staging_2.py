"""Starts cores and edges by deploy/system.toml for the scripts of review/4 and later, and records what happens.

The settings are those of a small deployment (harness/local_cluster/nodes.py); servers, the list of servers, the
operator and clients are the project's stand-ins.
"""

import asyncio
import contextlib
import os
import signal
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT))

from harness.fakes.deployment import ZONES, _free_network  # noqa: E402
from harness.local_cluster.nodes import Nodes  # noqa: E402

STARTED = b"Starting."


class DeployedNodes(Nodes):
    """The nodes as the platform starts them: by `run`, with target/deps in Python's path and a settings file."""

    __slots__ = ()

    async def _start(self, machine, role, role_spec, is_first=True):
        settings = self.work / f"{machine}.toml"
        settings.write_text(self._settings(machine, role, role_spec, is_first))
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        with open(self.work / f"{machine}.log", "ab") as log:
            self.log_starts[machine] = log.tell()
            self.running[machine] = await asyncio.create_subprocess_exec(
                *role_spec["run"].split(" "),
                cwd=ROOT,
                env={**kept, "PYTHONPATH": str(ROOT / "target" / "deps"), "SUMACHOOK_NODE_FILE": str(settings)},
                stdout=log,
                stderr=log,
            )

    async def wait_until_started(self, machines) -> None:
        """Waits until each of these processes has logged that it starts."""
        while not all(STARTED in self._log_of_process(machine) for machine in machines):
            await asyncio.sleep(0.005)

    async def kill(self, machine) -> None:
        """Sends SIGKILL to a process that this script started, and waits for its end."""
        process = self.running[machine]
        if process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(process.pid, signal.SIGKILL)
        await process.wait()

    async def kill_all(self) -> None:
        """Ends every process that this script started."""
        for machine in list(self.running):
            await self.kill(machine)


class Record:
    """Writes lines with the seconds since its creation to record.txt and to standard output."""

    __slots__ = ("file", "begun")

    def __init__(self, path: Path):
        self.file = open(path, "w")  # noqa: SIM115
        self.begun = asyncio.get_running_loop().time()

    def note(self, text: str) -> None:
        """Writes one line."""
        line = f"{asyncio.get_running_loop().time() - self.begun:8.3f} s  {text}"
        print(line, flush=True)
        self.file.write(line + "\n")
        self.file.flush()

    def tell_logs(self, work: Path, machines) -> None:
        """Adds what the given processes logged."""
        for machine in machines:
            for line in (work / f"{machine}.log").read_text(errors="replace").splitlines():
                self.file.write(f"            log of {machine}: {line}\n")
        self.file.flush()


def machines_of(net: str, cores: int, edges: int) -> dict:
    """Returns {name: (class, zone, ip)} of a small deployment, its cores in the zones in turn."""
    zones = list(ZONES)
    found = {f"core-{zones[number % 3]}-{number // 3 + 1}": number for number in range(cores)}
    named = {name: ("core", zones[number % 3], f"{net}.{21 + number}") for name, number in found.items()}
    for number in range(edges):
        named[f"edge-{zones[number % 3]}-{number // 3 + 1}"] = ("edge", zones[number % 3], f"{net}.{41 + number}")
    return named


def is_built() -> bool:
    """Returns whether the build command of the deploy file has filled target/deps."""
    tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    return (ROOT / "target" / "deps" / "aiohttp").is_dir()


def free_network() -> str:
    """Returns the first three octets of a loopback network that no other deployment on this machine uses."""
    return _free_network()
