"""Tests of the shutdown of an edge: close of the proxy server, open connections and final answers (docs/design/forwarding.md)."""

import asyncio
from datetime import timedelta
from random import Random

import msgspec
import pytest

from harness.local_cluster.loopback import free_address, wait_until_serving
from sumachook.changefeed.messages import Follow
from sumachook.changefeed.trust import Trust
from sumachook.configuration.node_settings import NodeSettings
from sumachook.host.effects import Exit, Reply, Send
from sumachook.host.events import HttpRequestReceived, StopRequested
from sumachook.nodes.daemon import Daemon
from sumachook.nodes.edge import Edge
from sumachook.nodes.edge_shutdown import FINAL_ANSWERS_BEFORE_END, MAX_OPEN_FRACTION, MIN_OPEN_TIME, QUIET_TIME
from sumachook.runtime.clock import Clock
from sumachook.transport.addresses import split_address
from sumachook.transport.http_server import LOOP_ITERATIONS_BEFORE_CLOSE
from sumachook.transport.node_transport import NodeTransport
from tests.forwarding.forwarding_fixtures import FixedTrust, catalogue, route, server
from tests.short_forms import event_of, tuple_of_effect
from tests.transport.proxy_fixtures import BOUND, SOON, answer_ok, request_head, run_scenario, sealed_response

SECOND, TICK = timedelta(seconds=1), timedelta(seconds=0.05)
GRACE = 8.0
CONNECT_DELAY_S = 0.02  # seconds to connect, as on a network other than loopback
FINAL_ANSWERS_AT = GRACE * SECOND - FINAL_ANSWERS_BEFORE_END
LONG_GRACE, LONG_STREAM_S = 20.0, 4.2
LONG_DEADLINE = (("X-Deadline-Ms", "9000"),)
LONG_TIMEOUT_ROUTES = [
    route("plain", "repeatable", timeoutMs=9000),
    route("once", "once", timeoutMs=9000),
    route("loose", "stream", timeoutMs=9000),
]


class StoppingEdge:
    """A forwarding edge connected to a core, with its effects and their times relative to the stop signal."""

    def __init__(self, grace=GRACE, routes=None):
        settings = NodeSettings(
            node="e1",
            address="127.0.0.1:1",
            http_address="127.0.0.1:2",
            zone="east",
            seeds=("127.0.0.1:3",),
            front="127.0.0.1:4",
            grace=grace,
        )
        self.now = self.stopped_at = Clock().mono()
        self.edge, self.effects, self.number = Edge(settings, {}, 1, Clock(), Random(1)), [], 0
        assert self.edge.state.apply(1, ("configure", "q", catalogue(routes=routes), {}, False, 0))[0] == "ok"
        self.edge.state.servers = {"r1": server("records")}
        self.tick()

    def take(self, *message):
        effects = [tuple_of_effect(effect) for effect in self.edge.take(event_of(message), self.now)]
        self.effects += [(self.now, effect) for effect in effects]
        return effects

    def tick(self):
        self.now += TICK
        self.edge.follower.proved_at = self.edge.follower.last_tick = self.now
        return self.take("pulse")

    def stop(self):
        self.stopped_at = self.now
        self.take("stop")
        return self

    def run(self, until, asks_every=None):
        """Ticks until the given time after the stop signal or the exit, with a client request every `asks_every`."""
        next_ask = self.now
        while self.now - self.stopped_at < until and not self.times_of("leave"):
            if asks_every is not None and self.now >= next_ask:
                next_ask = self.now + asks_every
                self.ask("/none/")
            self.tick()
        return self

    def ask(self, path="/once/x", *headers):
        self.number += 1
        cid = ("front", self.number)
        pairs = (("Host", "a.example"), ("X-Request-Id", f"q{self.number}"), *headers)
        self.take("request", cid, "POST", path, pairs, b"{}")
        return cid

    def receive(self, *what):
        """Delivers an event of the last forwarded attempt."""
        tid = [effect for _, effect in self.effects if effect[0] == "forward"][-1][1]
        return self.take("fetched", tid, *what)

    def times_of(self, kind):
        return [at - self.stopped_at for at, effect in self.effects if effect[0] == kind]

    def reply(self, cid):
        ((at, effect),) = [(at, effect) for at, effect in self.effects if effect[0] == "reply" and effect[1] == cid]
        return at - self.stopped_at, effect[2], dict(effect[3]), effect[4]

    def condition(self):
        ((_, _, status, _, _),) = self.take("http", 1, "GET", "/condition", {}, b"")
        return status


# close of the proxy server -------------------------------------------------------------------


def test_edge_without_clients_exits_after_the_minimum_open_time():
    """Without clients, the edge is not ready from the signal on, accepts connections for 2.5 s more and exits right
    after it closes the proxy server."""
    stopping = StoppingEdge()
    assert stopping.condition() == 200
    stopping.stop()
    assert stopping.condition() == 503
    stopping.run(MIN_OPEN_TIME - TICK)
    assert not stopping.times_of("shut") and not stopping.times_of("leave")
    stopping.run(MIN_OPEN_TIME + TICK * 2)
    assert len(stopping.times_of("shut")) == len(stopping.times_of("leave")) == 1
    assert MIN_OPEN_TIME <= stopping.times_of("shut")[0] == stopping.times_of("leave")[0] <= MIN_OPEN_TIME + TICK


@pytest.mark.parametrize("grace", [8.0, 20.0])
def test_edge_with_steady_clients_stays_open_for_its_fraction_of_the_grace_period(grace):
    """With a client every 0.3 s, each is answered as usual until 0.36 of the grace period is over; the proxy server
    closes then, no earlier."""
    stopping = StoppingEdge(grace).stop()
    stopping.run(grace * SECOND / 2 + TICK, asks_every=SECOND * 0.3)
    part = SECOND * grace * MAX_OPEN_FRACTION
    assert part <= SECOND * grace * 3 / 8
    assert len(stopping.times_of("shut")) == 1 and part <= stopping.times_of("shut")[0] <= part + TICK
    answers = [(at - stopping.stopped_at, effect) for at, effect in stopping.effects if effect[0] == "reply"]
    assert len(answers) > part / SECOND * 3 and {effect[2] for at, effect in answers if at < part} == {404}
    assert all(("Connection", "close") in effect[3] for _, effect in answers)


def test_proxy_server_closes_a_second_after_the_last_client():
    """With clients until 3 s after the signal and a longer grace period, the proxy server closes after a second without
    a request."""
    stopping = StoppingEdge(LONG_GRACE).stop()
    stopping.run(SECOND * 3 - TICK, asks_every=SECOND * 0.3)
    last_at = max(stopping.times_of("reply"))
    stopping.run(SECOND * 6)
    assert (
        last_at + QUIET_TIME < stopping.times_of("shut")[0] <= last_at + QUIET_TIME + TICK * 2
        and len(stopping.times_of("shut")) == 1
    )


def test_requests_on_open_connections_get_503_once_the_proxy_server_is_closed():
    """After the proxy server closed while a request is in flight, later requests on open connections are refused as not
    run, with Retry-After and Connection: close; they reach no server."""
    stopping = StoppingEdge().stop()
    stopping.ask()
    stopping.receive("sent")
    stopping.run(SECOND * 4)
    assert len(stopping.times_of("shut")) == 1 and not stopping.times_of("leave")
    late = stopping.ask()
    _, status, headers, body = stopping.reply(late)
    assert (status, headers["Connection"], msgspec.json.decode(body)["fault"]["run"]) == (503, "close", "no") and float(
        headers["Retry-After"]
    ) > 0
    assert len(stopping.times_of("forward")) == 1


# requests in flight ----------------------------------------------------------------------------


def test_requests_in_flight_are_finished_before_the_exit():
    """A request that its server answers 4.5 s after the signal reaches its client with that answer; the edge exits only
    then and once its ledger records are stored."""
    stopping = StoppingEdge()
    cid = stopping.ask()
    stopping.receive("sent")
    stopping.stop()
    stopping.run(SECOND * 3.5)
    assert stopping.times_of("shut") and not stopping.times_of("leave") and not stopping.times_of("reply")
    stopping.receive("head", 200, (("X-Request-Id", "q1"), ("X-Server-Seal", "s")))
    stopping.receive("chunk", b"whole")
    stopping.receive("end")
    assert stopping.reply(cid)[1::2] == (200, b"whole") and stopping.reply(cid)[2]["Connection"] == "close"
    stopping.run(SECOND * 4.5)
    assert stopping.edge.ledger_writer.pending and not stopping.times_of("leave")
    stopping.edge.ledger_writer.pending.clear()
    stopping.run(SECOND * 5)
    assert len(stopping.times_of("leave")) == 1


def test_requests_in_flight_get_final_answers_before_the_grace_period_ends():
    """With a request that its server never answers and one never sent, nothing is cut until 0.8 s remain. Then each
    gets a final answer that says whether it may have run, and the edge exits within the grace period."""
    stopping = StoppingEdge(routes=LONG_TIMEOUT_ROUTES).stop()
    stopping.run(SECOND * 2.8, asks_every=SECOND * 0.3)
    sent = stopping.ask("/once/x", *LONG_DEADLINE)  # its deadline is later than the end of the grace period
    stopping.receive("sent")
    unsent = stopping.ask("/plain/x", *LONG_DEADLINE)
    stopping.run(FINAL_ANSWERS_AT - TICK * 2)
    assert stopping.times_of("shut") and not stopping.times_of("leave")
    assert all(effect[1] not in (sent, unsent) for _, effect in stopping.effects if effect[0] in ("reply", "drop"))
    stopping.run(GRACE * SECOND)
    at, status, headers, body = stopping.reply(sent)
    assert (
        FINAL_ANSWERS_AT <= at <= FINAL_ANSWERS_AT + TICK
        and status == 502
        and msgspec.json.decode(body)["fault"]["run"] == "maybe"
    )
    assert headers["Connection"] == "close"
    assert stopping.reply(unsent)[1] == 503 and "Retry-After" in stopping.reply(unsent)[2]
    assert (
        len(stopping.times_of("leave")) == 1
        and FINAL_ANSWERS_AT
        <= stopping.times_of("leave")[0]
        <= FINAL_ANSWERS_AT + FINAL_ANSWERS_BEFORE_END / 3 + TICK * 2
    )


@pytest.mark.parametrize("requested_at", [0.5, 1.5, 2.5, 2.8, 3.1, 3.5, 3.9])
def test_long_stream_is_complete_or_refused(requested_at):
    """With steady clients, a stream of 4.2 s that is requested at any time after the signal either reaches its client
    completely or is refused at once as not run: the end of the grace period cuts none off."""
    stopping = StoppingEdge(routes=LONG_TIMEOUT_ROUTES).stop()
    stopping.run(SECOND * requested_at, asks_every=SECOND * 0.3)
    before = len(stopping.times_of("forward"))
    cid = stopping.ask("/loose/x", *LONG_DEADLINE)
    if len(stopping.times_of("forward")) == before:
        at, status, headers, body = stopping.reply(cid)
        assert (status, headers["Connection"], msgspec.json.decode(body)["fault"]["run"]) == (503, "close", "no")
        assert at <= SECOND * requested_at + TICK * 2
        return
    stopping.receive("sent")
    pairs = (("X-Request-Id", f"q{cid[1]}"), ("X-Server-Seal", "s"), ("Content-Type", "text/event-stream"))
    stopping.receive("head", 200, pairs)
    stopping.receive("chunk", b"id: 1\ndata: a\n\n")
    stopping.run(SECOND * (requested_at + LONG_STREAM_S))
    stopping.receive("chunk", b"id: 2\ndata: b\n\n")
    stopping.receive("end")
    assert [effect[0] for _, effect in stopping.effects if effect[1:2] == (cid,)] == ["head", "chunk", "chunk", "end"]


def test_request_waiting_for_routes_is_answered_before_the_exit():
    """An edge that lost its routes refuses a request that still waits for them when the proxy server closes, as not
    run, before it exits."""
    stopping = StoppingEdge().stop()
    stopping.run(SECOND * 1.6)
    stopping.edge.proxy_pipeline.table.follower = FixedTrust(Trust.EMPTY)
    cid = stopping.ask("/once/x", ("X-Deadline-Ms", "9000"))
    stopping.run(SECOND * 6)
    at, status, headers, _ = stopping.reply(cid)
    assert status == 503 and headers["Connection"] == "close"
    assert len(stopping.times_of("shut")) == len(stopping.times_of("leave")) == 1
    kinds = [effect[0] for _, effect in stopping.effects]
    assert kinds.index("leave") > kinds.index("reply") and stopping.times_of("leave")[0] >= at


def test_second_signal_does_not_extend_the_grace_period():
    """A request that its server never answers, and a second signal 5 s after the first: the client gets a final answer
    within the grace period of the first signal, after which the process is killed."""
    stopping = StoppingEdge(routes=LONG_TIMEOUT_ROUTES).stop()
    stopping.run(SECOND * 2.8, asks_every=SECOND * 0.3)
    cid = stopping.ask("/once/x", *LONG_DEADLINE)  # its deadline is later than the end of the grace period
    stopping.receive("sent")
    stopping.run(SECOND * 5)
    stopping.edge.take(StopRequested(), stopping.now)
    stopping.run(GRACE * SECOND)
    assert FINAL_ANSWERS_AT <= stopping.reply(cid)[0] <= FINAL_ANSWERS_AT + TICK
    assert len(stopping.times_of("leave")) == 1


class AnswerOnStop:
    """A machine that holds one request and, on the stop signal, answers it, sends a message to another node and exits."""

    node, restart_epoch = "n", 1

    def __init__(self, other):
        self.held, self.other = None, other

    def take(self, message, now):
        if isinstance(message, HttpRequestReceived):
            self.held = message.call_id
        if isinstance(message, StopRequested):
            return [Reply(self.held, 503, {}, b"last words"), Send(self.other, Follow(7, 1)), Exit(0)]
        return []


def test_last_response_and_message_are_sent_before_the_process_exits():
    """A node that exits answers a waiting client and sends a message to a node to which it has no connection yet, and
    which takes a while to connect to: both arrive completely."""

    async def run():
        loop, heard = asyncio.get_running_loop(), []
        connect = loop.create_connection

        async def connect_slowly(*arguments, **options):
            await asyncio.sleep(CONNECT_DELAY_S)
            return await connect(*arguments, **options)

        loop.create_connection = connect_slowly
        other = NodeTransport(free_address(), "c", heard.append)
        listening = loop.create_task(other.run())
        machine = AnswerOnStop(other.address)
        daemon = Daemon(machine, Clock(), lambda *what: None, free_address(), free_address(), "c")
        task = loop.create_task(daemon.run())
        await wait_until_serving(
            lambda: daemon.http_server.listener is not None and other.transport is not None, listening, task
        )
        reader, writer = await asyncio.open_connection(*split_address(daemon.http_server.address))
        writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        while machine.held is None:
            await asyncio.sleep(0)
        daemon._put_event(StopRequested())
        answer, code = await reader.read(), await task
        listening.cancel()
        await asyncio.gather(listening, return_exceptions=True)
        return answer, code, heard

    answer, code, heard = asyncio.run(asyncio.wait_for(run(), BOUND))
    assert answer.startswith(b"HTTP/1.1 503 ") and answer.endswith(b"last words") and code == 0
    assert [event.message for event in heard] == [Follow(7, 1)]


# over real sockets -------------------------------------------------------------------------------


class KeptConnection:
    """A client's keep-alive connection on which one request was answered already."""

    def __init__(self, reader, writer, number):
        self.reader, self.writer, self.number = reader, writer, number

    def write(self, number):
        self.number = number
        self.writer.write(request_head(number=number, more=b"Content-Length: 2\r\n") + b"{}")

    async def answer(self):
        """Returns (status, response head) of the next response. The status is "unread" if the connection was reset with the request
        unread, "read" if it was closed without a response: its last request was read and dropped."""
        try:
            top = await asyncio.wait_for(self.reader.readuntil(b"\r\n\r\n"), SOON)
        except ConnectionResetError:
            return "unread", b""
        except asyncio.IncompleteReadError as error:
            return "read", error.partial
        length = int(
            next(line.split(b": ")[1] for line in top.split(b"\r\n") if line.lower().startswith(b"content-length"))
        )
        await self.reader.readexactly(length)
        return int(top.split(b" ")[1]), top


async def _kept(path, count):
    found = []
    for number in range(count):
        each = KeptConnection(*await path.connect(), number)
        each.write(number)
        assert (await each.answer())[0] == 200
        found.append(each)
    return found


def _close_proxy_server(path):
    """Closes the proxy server as a daemon does: first the machine refuses new requests, then the socket closes."""
    path.scene.take("drain")
    path.scene.take("shut")
    path.front.stop_accepting()


@pytest.mark.parametrize("iterations", range(8))
def test_request_racing_with_the_close_is_answered_or_left_unread(iterations):
    """Requests that reach idle connections a few iterations of the event loop before the proxy server closes are
    answered, or their bytes were never read and no server has seen them: none is read and dropped."""

    async def scenario(path, peer):
        clients = await _kept(path, 12)
        for number, each in enumerate(clients):
            each.write(100 + number)
        for _ in range(iterations):
            await asyncio.sleep(0)
        _close_proxy_server(path)
        outcomes = [await each.answer() for each in clients]
        return outcomes, {request.id for request in peer.requests}

    outcomes, arrived = run_scenario(scenario, answer_ok)
    for number, (status, top) in enumerate(outcomes):
        assert status in (200, 503, "unread"), (number, status)
        assert status not in (503, "unread") or f"q{100 + number}" not in arrived
        assert status not in (200, 503) or b"connection: close" in top.lower()


@pytest.mark.parametrize("iterations", range(LOOP_ITERATIONS_BEFORE_CLOSE))
def test_request_just_after_the_close_is_left_unread(iterations):
    """Requests on idle connections that arrive in the loop iterations between the close of the proxy server and that of
    the connections are not read."""

    async def scenario(path, peer):
        clients = await _kept(path, 12)
        _close_proxy_server(path)
        for _ in range(iterations):
            await asyncio.sleep(0)
        for number, each in enumerate(clients):
            each.write(100 + number)
        return [await each.answer() for each in clients], len(peer.requests)

    outcomes, arrivals = run_scenario(scenario, answer_ok)
    assert {status for status, _ in outcomes} == {"unread"} and arrivals == 12


def test_partly_received_request_is_answered_after_the_close():
    """A request whose head was read in the iteration before the proxy server closes and whose body arrives later is
    answered as not run, since the server is closed by the time it is complete."""

    async def scenario(path, peer):
        (client,) = await _kept(path, 1)
        client.writer.write(request_head(number=7, more=b"Content-Length: 200000\r\n"))
        for _ in range(2):  # the head is read in the second iteration and processed in the following ones
            await asyncio.sleep(0)
        _close_proxy_server(path)
        for _ in range(20):
            await asyncio.sleep(0)
        client.writer.write(b"x" * 200000)
        return await client.answer(), len(peer.requests)

    (status, top), arrivals = run_scenario(scenario, answer_ok)
    assert status == 503 and b"connection: close" in top.lower() and arrivals == 1


def test_request_in_flight_at_the_close_is_answered_and_idle_connections_are_closed():
    """With one connection whose server is working and one idle, closing the proxy server closes the idle one, refuses
    new connections and keeps the other until its response, the last on it."""
    go = asyncio.Event()

    async def slow(server, request, reader, writer):
        if len(server.requests) > 2:
            await go.wait()
        writer.write(sealed_response(request))
        return True

    async def scenario(path, peer):
        working, idle = await _kept(path, 2)
        working.write(9)
        while len(peer.requests) < 3:
            await asyncio.sleep(0)
        _close_proxy_server(path)
        assert await asyncio.wait_for(idle.reader.read(), SOON) == b""
        with pytest.raises(OSError):
            await path.connect()
        assert not working.reader.at_eof()
        go.set()
        status, top = await working.answer()
        assert status == 200 and b"connection: close" in top.lower()
        assert await asyncio.wait_for(working.reader.read(), SOON) == b""

    run_scenario(scenario, slow)
