"""Hosts a real edge with its proxy server and its HTTP client in this process, as the daemon does."""

import asyncio
from datetime import timedelta
from random import Random

from harness.local_cluster.loopback import free_address, wait_until_serving
from sumachook.configuration.node_settings import NodeSettings
from sumachook.host.effects import (
    AbortResponse,
    BeginResponse,
    CancelCall,
    Effect,
    EndResponse,
    ForwardRequest,
    ReadBody,
    Reply,
    SendChunk,
)
from sumachook.host.events import Event, Tick
from sumachook.memory.budget import MemoryBudget
from sumachook.nodes.edge import Edge
from sumachook.nodes.inbox import Inbox
from sumachook.retry_budget.budget import service_key
from sumachook.runtime.clock import Clock
from sumachook.transport.addresses import split_address
from sumachook.transport.proxy_server import ProxyServer
from sumachook.transport.streaming_client import StreamingClient

TICK = timedelta(seconds=0.02)
TIMEOUT_MS, TARGET_MS = 900, 100
UNLIMITED_BALANCE = 1e9  # a balance that never runs out: the retry budget is not under test
ROUTE_KINDS = {"plain": "repeatable", "once": "once", "loose": "stream", "chat": "stream"}


def catalogue(max_attempts: dict[str, int]) -> dict:
    """Returns a catalogue document with one route of each kind, all to one service."""
    routes = [
        {
            "name": name,
            "host": "a.example",
            "prefix": f"/{name}/",
            "kind": kind,
            "timeoutMs": TIMEOUT_MS,
            "targetMs": TARGET_MS,
            "tries": max_attempts[name],
            "split": [{"service": "records", "weight": 1}],
            "resumable": name == "chat",
        }
        for name, kind in ROUTE_KINDS.items()
    ]
    return {
        "name": "c",
        "areas": ["east"],
        "version": 1,
        "httpRoutes": routes,
        "services": [{"name": "records", "connections": 100_000}],
    }


class EdgeHost:
    """Runs an edge in front of the given servers ({name: address}), with its proxy and HTTP client on real sockets."""

    def __init__(self, servers: dict[str, str], max_attempts: dict[str, int], seed: int, memory_bytes: int) -> None:
        self.clock = Clock()
        self.inbox = Inbox(self._take, self._do)
        self.budget = MemoryBudget(memory_bytes)
        self.front = ProxyServer(free_address(), self.inbox.put, budget=self.budget)
        self.streaming_client = StreamingClient(self.inbox.put, self.budget, self.front.writable_of)
        settings = NodeSettings(
            node="e1",
            address="127.0.0.1:1",
            http_address="127.0.0.1:2",
            zone="east",
            seeds=("127.0.0.1:3",),
            front=self.front.address,
        )
        self.edge = Edge(settings, {}, 1, self.clock, Random(seed))
        outcome = self.edge.state.apply(1, ("configure", "fuzz", catalogue(max_attempts), {}, False, 0))
        assert outcome[0] == "ok", outcome
        self.edge.state.servers = {
            name: {
                "kind": "service",
                "service": "records",
                "address": address,
                "area": "east",
                "leaving": False,
                "slots": 1000,
            }
            for name, address in servers.items()
        }
        self.edge.retry_budget.cap = UNLIMITED_BALANCE
        self.edge.retry_budget.bucket(service_key("records")).balance = UNLIMITED_BALANCE
        self.tasks: list[asyncio.Task] = []

    @property
    def address(self) -> tuple[str, int]:
        """The (host, port) to which clients connect."""
        return split_address(self.front.address)

    async def start(self) -> None:
        """Starts serving, with the edge's view of the control state marked as fresh."""
        loop = asyncio.get_running_loop()
        self._tick()
        runs = (self.front.run(), self.front.sweep(), self.streaming_client.run(), self._ticks())
        self.tasks = [loop.create_task(each) for each in runs]
        await wait_until_serving(lambda: self.front.listener is not None and self.streaming_client.is_open, *self.tasks)

    async def stop(self) -> None:
        """Cancels all tasks and waits until they have ended."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def wait_until_idle(self) -> None:
        """Waits until no request is in progress."""
        while self.edge.proxy_pipeline.table.requests or self.front.exchanges:
            await asyncio.sleep(TICK.total_seconds())

    async def _ticks(self) -> None:
        while True:
            await asyncio.sleep(TICK.total_seconds())
            self._tick()

    def _tick(self) -> None:
        now = self.clock.mono()
        self.edge.follower.proved_at = self.edge.follower.last_tick = now
        self.inbox.put(Tick())

    def _take(self, event: Event) -> list[Effect]:
        return self.edge.take(event, self.clock.mono())

    def _do(self, effect: Effect) -> None:
        match effect:
            case ReadBody() | Reply() | BeginResponse() | SendChunk() | EndResponse() | AbortResponse():
                self.front.answer(effect)
            case ForwardRequest():
                self.streaming_client.forward(effect)
            case CancelCall(call_id):
                self.streaming_client.cancel(call_id)
