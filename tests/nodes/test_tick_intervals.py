"""How often a node is given a pulse, and what a start does without (docs/design/processes.md)."""

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
    """An edge that knows its catalogue, its servers and what stands there."""
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


def test_an_edge_asks_for_pulses_by_what_it_has_in_hand():
    """Given an idle edge, then one whose request is at a server, then one whose request waits for a place, pulses are needed ever sooner."""
    edge, now = _edge()
    assert edge.tick_interval == IDLE_TICK
    assert any(isinstance(effect, ForwardRequest) for effect in _ask(edge, now, "q1", "m"))
    assert edge.tick_interval == IN_FLIGHT_TICK
    _ask(edge, now, "q2", "n")  # which stands nowhere
    assert edge.tick_interval == TICK


def test_an_edge_that_knows_no_places_or_leaves_gets_every_pulse():
    """Given an edge that knows not yet what stands where, or one that was told to leave, it is given every pulse."""
    edge, now = _edge()
    edge.places.is_known = False
    assert edge.tick_interval == TICK
    edge.places.is_known = True
    edge.take(StopRequested(), now)
    assert edge.tick_interval == TICK


class Sleeper:
    """A machine that needs no pulse for an hour until it hears of something; it tells what it was given."""

    node, restart_epoch = "s", 1

    def __init__(self):
        self.tick_interval, self.taken = timedelta(hours=1), asyncio.Queue()

    def take(self, message, now):
        if isinstance(message, MessageReceived):
            self.tick_interval = TICK
        self.taken.put_nowait(type(message))
        return []


def test_a_message_that_makes_a_machine_wait_brings_its_pulse_forward():
    """Given a machine whose next pulse is an hour away, when a message gives it something that waits, the pulse comes soon after."""

    async def story():
        machine = Sleeper()
        daemon = Daemon(machine, Clock(), lambda *what: None, "127.0.0.1:0")
        task = asyncio.get_running_loop().create_task(daemon._run_ticks())
        assert await machine.taken.get() is Tick
        daemon._put_event(MessageReceived("n", "127.0.0.1:1", ("news",)))
        assert await machine.taken.get() is MessageReceived
        assert await asyncio.wait_for(machine.taken.get(), 30) is Tick
        task.cancel()

    asyncio.run(story())


def test_a_node_starts_without_tls_and_without_collections():
    """Given a process that begins as nodes do, asyncio and aiohttp are there without TLS, and collections go on afterwards."""
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
