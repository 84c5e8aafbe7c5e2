"""Model servers restart, and all processes are killed while the list shows the old and new lives; see claim.txt."""

import asyncio
import json
import os
import signal
import sys
import tempfile
from pathlib import Path
from typing import Any

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins import (  # noqa: E402
    DEADLINE,
    LIMITS,
    REQUEST,
    CaseCannotRunError,
    ModelServer,
    Nodes,
    Platform,
    Record,
    call,
    engine_service,
    free_network,
    message,
    order,
    read_body,
    read_head,
    wait_until_ready,
)

# "crash" and "kill" play one disruption alone; "leader" kills the core that gives the orders instead of all processes
VARIANTS = {"0": (), "1": ("crash", "kill"), "crash": ("crash",), "kill": ("kill",), "leader": ("crash", "leader")}
TROUBLES = VARIANTS[os.environ.get("TROUBLE", "1")]
IS_NEWEST_FIRST = os.environ.get("LIST", "newest") == "newest"  # the pages state no order of the list
HOST, PREFIX = "desk.example", "/refund/"
MODELS = ("m00", "m01", "m02")
LIST_LAG_S = 0.8
DOWN_S = 3.0  # how long the servers of the zone are down
LISTED_AFTER_CRASH_S = 8.0  # a crashed server remains on the list for some seconds
KILLED_FOR_S = 1.0
RECOVERY_S = 12.0
INTERVAL_S = 0.1  # between two requests of the client
SERVED_BEFORE_S, SERVED_AFTER_S = 8.0, 12.0


class Fleet:
    """The model servers, and what the platform's list shows of them, `LIST_LAG_S` late."""

    def __init__(self, net: str, record: Record) -> None:
        self.record = record
        self.lives = 0
        self.holders: list[str] = []
        self.addresses = [(f"{net}.101:8080", "hall-a"), (f"{net}.102:8080", "hall-a")]
        self.up: list[ModelServer] = []
        self.listed: list[dict[str, Any]] = []

    async def start(self, held: tuple[str, ...]) -> None:
        """Starts a new life of each server."""
        for address, zone in self.addresses:
            self.lives += 1
            server = ModelServer(f"i-{self.lives:04x}", address, zone, held, self.record, self.holders)
            await server.listen()
            self.up.append(server)
            self.record(f"{server.name} starts at {address}, holds {', '.join(held) or 'nothing'}")
            asyncio.get_running_loop().call_later(LIST_LAG_S, self.listed.append, server.entry())

    async def crash(self) -> None:
        """Ends all servers; the list keeps showing them for some seconds."""
        loop = asyncio.get_running_loop()
        for server in self.up:
            self.record(f"{server.name} crashes")
            await server.end()
            loop.call_later(LISTED_AFTER_CRASH_S + LIST_LAG_S, self.unlist, server.name)
        self.up = []

    def unlist(self, name: str) -> None:
        """Takes a server off the list."""
        self.record(f"list: {name} is gone")
        self.listed = [entry for entry in self.listed if entry["instance-id"] != name]

    def entries(self) -> list[dict[str, Any]]:
        """Returns the list, in the order of the starts of the servers."""
        return list(reversed(self.listed)) if IS_NEWEST_FIRST else list(self.listed)


class Client:
    """Sends one request after the other, and notes which were served and when they were sent."""

    def __init__(self, nodes: Nodes, record: Record) -> None:
        self.nodes = nodes
        self.record = record
        self.number = 0
        self.outcomes: list[tuple[float, bool]] = []
        self.running: set[asyncio.Task[None]] = set()

    async def send_all(self, seconds: float) -> None:
        """Sends requests for some time."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while loop.time() < until:
            self.number += 1
            task = asyncio.create_task(self.ask(self.number))
            self.running.add(task)
            task.add_done_callback(self.running.discard)
            await asyncio.sleep(INTERVAL_S)

    async def ask(self, number: int) -> None:
        """Sends one request to an edge, and once more after a refusal."""
        sent_at = asyncio.get_running_loop().time()
        status: int | None = None
        for attempt in range(2):
            name = f"{number:08x}{attempt:08x}"
            status = await self.try_once(name, MODELS[number % len(MODELS)], number + attempt)
            self.record(f"client: {name} is answered with {status}")
            if status == 200:
                break
            await asyncio.sleep(0.3)
        self.outcomes.append((sent_at, status == 200))

    async def try_once(self, name: str, model: str, place: int) -> int | None:
        """Makes one try; returns the status, or None without a whole answer."""
        host, _, port = self.nodes.fronts[place % len(self.nodes.fronts)].rpartition(":")
        headers = {
            "Host": HOST,
            REQUEST: name,
            DEADLINE: "5000",
            "Sumachook-Model": model,
            "Sumachook-Token-Counts": "100,12",
            "Sumachook-Prompt-Prefix": f"5c1e07a2:80,{name}:20",
        }
        writer = None
        try:
            async with asyncio.timeout(5.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(message(f"POST {PREFIX}check HTTP/1.1", headers, b"check"))
                head = await read_head(reader)
                if head is None:
                    return None
                body = await read_body(reader, head[1])
                status = int(head[0].split(" ")[1])
                return status if status != 200 or body.count(b"id: ") == 3 else None
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return None
        finally:
            if writer is not None:
                writer.close()

    def served(self, since: float) -> tuple[int, int]:
        """Returns how many requests sent since then were served, and how many were sent."""
        chosen = [is_served for sent_at, is_served in self.outcomes if sent_at >= since]
        return sum(chosen), len(chosen)


def configuration(version: int, timeout_ms: int) -> dict[str, Any]:
    """Returns a configuration with one route to one service of model servers."""
    route = {
        "name": "r-refund",
        "host": HOST,
        "path-prefix": PREFIX,
        "route-kind": "streaming",
        "timeout-ms": timeout_ms,
        "target-latency-ms": 500,
        "priority": 0,
        "service": "refund-llm",
        "max-attempts": 2,
        "sticky-sessions": True,
        "resumable": True,
        "gap-target-ms": 600,
    }
    return {"version": version, "routes": [route], "services": [engine_service(MODELS)], "limits": LIMITS}


async def kill_all(nodes: Nodes, record: Record) -> None:
    """Kills every process of the system, and starts each again."""
    record("all processes are killed")
    for name in nodes.machines:
        nodes.signal(name, signal.SIGKILL)
    for process in list(nodes.running.values()):
        await process.wait()
    await asyncio.sleep(KILLED_FOR_S)
    for name in nodes.machines:
        await nodes.start(name)
    record("all processes are started again")


async def play(record: Record, work: Path) -> bool:
    """Runs the deployment; returns whether the rule was broken."""
    net, loop = free_network(), asyncio.get_running_loop()
    fleet = Fleet(net, record)
    platform = Platform(f"{net}.4:8142", fleet.entries)
    nodes = Nodes(work, net, 3, platform.address)
    client = Client(nodes, record)
    try:
        await fleet.start(MODELS)
        await platform.listen()
        await nodes.start_all()
        await order(nodes, "/Configuration.Replace", 0, configuration(3, 5000))
        await wait_until_ready(nodes)
        await asyncio.sleep(3.0)
        begun = loop.time()
        await client.send_all(SERVED_BEFORE_S)
        before = client.served(begun)
        record(f"before: {before[0]} of {before[1]} requests were served")
        if before[0] * 4 < before[1]:
            raise CaseCannotRunError("less than a quarter was served before the closing fault")
        if "crash" in TROUBLES:
            await fleet.crash()
            await client.send_all(DOWN_S)
            await fleet.start(())
        await client.send_all(LIST_LAG_S + 1.0)
        await order(nodes, "/Configuration.Replace", 3, configuration(5, 4900))
        record("configuration 5 is acknowledged")
        if "kill" in TROUBLES:
            await kill_all(nodes, record)
        if "leader" in TROUBLES:
            holder = next(name for name in nodes.machines if fleet.holders and fleet.holders[-1].startswith(name))
            record(f"{holder}, which gave the last order, is killed")
            nodes.signal(holder, signal.SIGKILL)
        back = loop.time()
        await client.send_all(RECOVERY_S + SERVED_AFTER_S)
        await asyncio.sleep(6.0)
        after = client.served(back + RECOVERY_S)
        record(f"after: {after[0]} of {after[1]} requests sent more than {RECOVERY_S} s after the return were served")
        for server in fleet.up:
            record(f"{server.name} holds {', '.join(sorted(server.models)) or 'nothing'}; orders: {server.sequence}")
        read = await call(nodes.controls[0], "GET", "/Configuration.Read", {}, within=2.0)
        record(f"the configuration read back is version {json.loads(read[2])['version'] if read else None}")
        return after[0] * 4 < after[1]
    finally:
        await nodes.stop_all()
        await platform.end()
        for server in fleet.up:
            await server.end()


def main() -> int:
    """Returns the exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    record = Record(HERE / "record.txt")
    record(f"trouble: {', '.join(TROUBLES) or 'none'}; list: {'newest' if IS_NEWEST_FIRST else 'oldest'} first")
    with tempfile.TemporaryDirectory(prefix="sumachook-review-") as folder:
        try:
            is_broken = asyncio.run(asyncio.wait_for(play(record, Path(folder)), 115))
        except Exception as error:  # whatever it is, it says nothing about the rule
            record(f"could not run: {error!r}")
            return 2
    record("RECOVER is broken" if is_broken else "RECOVER holds")
    return 1 if is_broken else 0


if __name__ == "__main__":
    raise SystemExit(main())
