"""Tick intervals of a node, and the modules that its start omits (docs/design/processes.md)."""

import asyncio
import subprocess
import sys
from datetime import timedelta
from pathlib import Path
from random import Random

from sumachook.configuration.node_settings import NodeSettings
from sumachook.host.effects import ForwardRequest
from sumachook.host.events import MessageReceived, ProxyRequestReceived, StopRequested, Tick
from sumachook.nodes.daemon import Daemon
from sumachook.nodes.edge import Edge
from sumachook.nodes.tick_intervals import IDLE_TICK, IN_FLIGHT_TICK, TICK
from sumachook.placement.messages import PlacementUpdate
from sumachook.runtime.clock import Clock
from tests.forwarding.forwarding_fixtures import SERVERS, catalogue

ROOT = Path(__file__).parent.parent.parent
SECOND = timedelta(seconds=1)


def _edge():
    """Creates an edge that knows its catalogue, its servers and their replicas."""
    settings = NodeSettings(
        node="e1",
        address="127.0.0.1:1",
        http_address="127.0.0.1:2",
        zone="east",
        seeds=("127.0.0.1:3",),
        front="127.0.0.1:4",
    )
    now = Clock().mono()
    edge = Edge(settings, {}, 1, Clock(), Random(1))
    assert edge.state.apply(1, ("configure", "q", catalogue(), {}, False, 0))[0] == "ok"
    edge.state.servers = dict(SERVERS)
    edge.follower.proved_at = edge.follower.last_tick = now
    update = PlacementUpdate(1, 1, 1, True, {"l1": {"m": ()}})
    edge.places.take(MessageReceived("c", "10.0.0.9:1", update), now)
    return edge, now


def _ask(edge, now, cid, model):
    headers = (("Host", "a.example"), ("X-Request-Id", cid), ("X-Deadline-Ms", "4000"), ("X-Model", model))
    return edge.take(ProxyRequestReceived(("front", cid), "POST", "/chat/x", headers, b"{}"), now)


def test_tick_interval_of_an_edge_depends_on_its_requests():
    """The tick interval is longest on an idle edge, shorter while a server processes a request, and shortest while a
    request waits for a replica."""
    edge, now = _edge()
    assert edge.tick_interval == IDLE_TICK
    assert any(isinstance(effect, ForwardRequest) for effect in _ask(edge, now, "q1", "m"))
    assert edge.tick_interval == IN_FLIGHT_TICK
    _ask(edge, now, "q2", "n")  # a model without a replica
    assert edge.tick_interval == TICK


def test_edge_without_placements_or_in_shutdown_needs_the_shortest_interval():
    """An edge that does not know the placements yet, or that is shutting down, needs the shortest tick interval."""
    edge, now = _edge()
    edge.places.is_known = False
    assert edge.tick_interval == TICK
    edge.places.is_known = True
    edge.take(StopRequested(), now)
    assert edge.tick_interval == TICK


class IdleMachine:
    """A machine whose tick interval is an hour until it receives a message; it queues the classes of its events."""

    node, restart_epoch = "s", 1

    def __init__(self):
        self.tick_interval, self.taken = timedelta(hours=1), asyncio.Queue()

    def take(self, message, now):
        if isinstance(message, MessageReceived):
            self.tick_interval = TICK
        self.taken.put_nowait(type(message))
        return []


def test_event_that_needs_a_tick_brings_the_next_tick_forward():
    """A machine's next tick is an hour away; after an event that makes it need a tick, one is delivered soon."""

    async def scenario():
        machine = IdleMachine()
        daemon = Daemon(machine, Clock(), lambda *what: None, "127.0.0.1:0")
        task = asyncio.get_running_loop().create_task(daemon._run_ticks())
        assert await machine.taken.get() is Tick
        daemon._put_event(MessageReceived("n", "127.0.0.1:1", ("news",)))
        assert await machine.taken.get() is MessageReceived
        assert await asyncio.wait_for(machine.taken.get(), 30) is Tick
        task.cancel()

    asyncio.run(scenario())


def test_node_starts_without_tls_and_garbage_collection():
    """During the start of a node, asyncio and aiohttp are imported without TLS and garbage collection is off; it is on
    again afterwards."""
    program = (
        "from sumachook.runtime.fast_start import begin_start, end_start\n"
        "import gc, sys\n"
        "begin_start()\n"
        "assert not gc.isenabled()\n"
        "import asyncio, aiohttp, aiohttp.web\n"
        "assert sys.modules['ssl'] is None\n"
        "end_start()\n"
        "assert gc.isenabled() and gc.get_freeze_count() > 1000\n"
        "async def call():\n"
        "    async with aiohttp.ClientSession() as session:\n"
        "        try:\n"
        "            await session.get('http://127.0.0.1:1/')\n"
        "        except aiohttp.ClientConnectorError:\n"
        "            print('refused')\n"
        "asyncio.run(call())\n"
    )
    done = subprocess.run([sys.executable, "-c", program], cwd=ROOT, capture_output=True, text=True)
    assert (done.returncode, done.stdout) == (0, "refused\n"), done.stderr
