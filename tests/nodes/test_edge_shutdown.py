"""An edge that leaves: when its front is shut, what becomes of connections that stand, and its last words (docs/design/forwarding.md)."""

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
from sumachook.transport.http_server import LOOP_TURNS_BEFORE_CLOSE
from sumachook.transport.node_transport import NodeTransport
from tests.forwarding.forwarding_fixtures import FixedTrust, catalogue, route, server
from tests.short_forms import event_of, tuple_of_effect
from tests.transport.proxy_fixtures import BOUND, SOON, answer_ok, request_head, run_scenario, sealed_response

SECOND, TICK = timedelta(seconds=1), timedelta(seconds=0.05)
GRACE = 8.0
CONNECTING_TAKES = 0.02  # seconds, on a network that is not loopback
LAST_CALL = GRACE * SECOND - FINAL_ANSWERS_BEFORE_END
LONG_GRACE, LONG_STREAM_S = 20.0, 4.2
PATIENT = (("X-Deadline-Ms", "9000"),)
PATIENT_ROUTES = [
    route("plain", "repeatable", timeoutMs=9000),
    route("once", "once", timeoutMs=9000),
    route("loose", "stream", timeoutMs=9000),
]


class Leaver:
    """A forwarding edge that is in touch, its pulses, and what it said and when, counted from the signal to leave."""

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
        self.now = self.stop_at = Clock().mono()
        self.edge, self.said, self.number = Edge(settings, {}, 1, Clock(), Random(1)), [], 0
        assert self.edge.state.apply(1, ("configure", "q", catalogue(routes=routes), {}, False, 0))[0] == "ok"
        self.edge.state.servers = {"r1": server("records")}
        self.tick()

    def take(self, *message):
        effects = [tuple_of_effect(effect) for effect in self.edge.take(event_of(message), self.now)]
        self.said += [(self.now, effect) for effect in effects]
        return effects

    def tick(self):
        self.now += TICK
        self.edge.follower.proved_at = self.edge.follower.last_tick = self.now
        return self.take("pulse")

    def stop(self):
        self.stop_at = self.now
        self.take("stop")
        return self

    def run(self, until, asks_every=None):
        """Pulses until so long after the signal, with clients that come every so often."""
        next_ask = self.now
        while self.now - self.stop_at < until and not self.when("leave"):
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

    def hear(self, *what):
        """What the last try brings."""
        tid = [effect for _, effect in self.said if effect[0] == "forward"][-1][1]
        return self.take("fetched", tid, *what)

    def when(self, kind):
        return [at - self.stop_at for at, effect in self.said if effect[0] == kind]

    def reply(self, cid):
        ((at, effect),) = [(at, effect) for at, effect in self.said if effect[0] == "reply" and effect[1] == cid]
        return at - self.stop_at, effect[2], dict(effect[3]), effect[4]

    def condition(self):
        ((_, _, status, _, _),) = self.take("http", 1, "GET", "/condition", {}, b"")
        return status


# when the front is shut ----------------------------------------------------------------------


def test_an_edge_to_which_nobody_comes_is_open_for_the_least_time_and_leaves_at_once_after_it():
    """Given a quiet zone, the edge says from the signal on that it is not ready, stays open for 2.5 s, and leaves as soon as it is shut."""
    leaver = Leaver()
    assert leaver.condition() == 200
    leaver.stop()
    assert leaver.condition() == 503
    leaver.run(MIN_OPEN_TIME - TICK)
    assert not leaver.when("shut") and not leaver.when("leave")
    leaver.run(MIN_OPEN_TIME + TICK * 2)
    assert len(leaver.when("shut")) == len(leaver.when("leave")) == 1
    assert MIN_OPEN_TIME <= leaver.when("shut")[0] == leaver.when("leave")[0] <= MIN_OPEN_TIME + TICK


@pytest.mark.parametrize("grace", [8.0, 20.0])
def test_an_edge_to_which_clients_go_on_coming_is_open_for_its_part_of_the_grace(grace):
    """Given clients every 0.3 s, each is answered as ever until 0.36 of the grace is over; the front is shut then, and no earlier."""
    leaver = Leaver(grace).stop()
    leaver.run(grace * SECOND / 2 + TICK, asks_every=SECOND * 0.3)
    part = SECOND * grace * MAX_OPEN_FRACTION
    assert part <= SECOND * grace * 3 / 8
    assert len(leaver.when("shut")) == 1 and part <= leaver.when("shut")[0] <= part + TICK
    answers = [(at - leaver.stop_at, effect) for at, effect in leaver.said if effect[0] == "reply"]
    assert len(answers) > part / SECOND * 3 and {effect[2] for at, effect in answers if at < part} == {404}
    assert all(("Connection", "close") in effect[3] for _, effect in answers)


def test_the_front_is_shut_a_second_after_the_last_client():
    """Given clients until 3 s after the signal of a longer grace, the front is shut once nobody came for a second."""
    leaver = Leaver(LONG_GRACE).stop()
    leaver.run(SECOND * 3 - TICK, asks_every=SECOND * 0.3)
    last_at = max(leaver.when("reply"))
    leaver.run(SECOND * 6)
    assert (
        last_at + QUIET_TIME < leaver.when("shut")[0] <= last_at + QUIET_TIME + TICK * 2
        and len(leaver.when("shut")) == 1
    )


def test_once_the_front_is_shut_requests_on_connections_that_stand_get_503_not_run():
    """Given a front that is shut while something is in hand, what still comes is refused as not run, told when to come back, and that
    its connection is closed; no server is asked."""
    leaver = Leaver().stop()
    leaver.ask()
    leaver.hear("sent")
    leaver.run(SECOND * 4)
    assert len(leaver.when("shut")) == 1 and not leaver.when("leave")
    late = leaver.ask()
    _, status, headers, body = leaver.reply(late)
    assert (status, headers["Connection"], msgspec.json.decode(body)["fault"]["run"]) == (503, "close", "no") and float(
        headers["Retry-After"]
    ) > 0
    assert len(leaver.when("forward")) == 1


# what is in hand -------------------------------------------------------------------------------


def test_what_is_in_hand_is_finished_and_the_edge_waits_for_it():
    """Given a request that its server answers 4.5 s after the signal, its client has the server's answer, and the edge leaves only then
    and once its records are kept."""
    leaver = Leaver()
    cid = leaver.ask()
    leaver.hear("sent")
    leaver.stop()
    leaver.run(SECOND * 3.5)
    assert leaver.when("shut") and not leaver.when("leave") and not leaver.when("reply")
    leaver.hear("head", 200, (("X-Request-Id", "q1"), ("X-Server-Seal", "s")))
    leaver.hear("chunk", b"whole")
    leaver.hear("end")
    assert leaver.reply(cid)[1::2] == (200, b"whole") and leaver.reply(cid)[2]["Connection"] == "close"
    leaver.run(SECOND * 4.5)
    assert leaver.edge.ledger_writer.pending and not leaver.when("leave")
    leaver.edge.ledger_writer.pending.clear()
    leaver.run(SECOND * 5)
    assert len(leaver.when("leave")) == 1


def test_what_is_still_in_hand_shortly_before_the_end_of_the_grace_gets_its_last_words():
    """Given a request that its server never answers and one that was never sent, nothing is cut before 0.8 s are left; then each has
    its final answer, true to whether it may have run, and the edge leaves within the grace."""
    leaver = Leaver(routes=PATIENT_ROUTES).stop()
    leaver.run(SECOND * 2.8, asks_every=SECOND * 0.3)
    sent = leaver.ask("/once/x", *PATIENT)  # its own time is over only after the edge's
    leaver.hear("sent")
    unsent = leaver.ask("/plain/x", *PATIENT)
    leaver.run(LAST_CALL - TICK * 2)
    assert leaver.when("shut") and not leaver.when("leave")
    assert all(effect[1] not in (sent, unsent) for _, effect in leaver.said if effect[0] in ("reply", "drop"))
    leaver.run(GRACE * SECOND)
    at, status, headers, body = leaver.reply(sent)
    assert (
        LAST_CALL <= at <= LAST_CALL + TICK and status == 502 and msgspec.json.decode(body)["fault"]["run"] == "maybe"
    )
    assert headers["Connection"] == "close"
    assert leaver.reply(unsent)[1] == 503 and "Retry-After" in leaver.reply(unsent)[2]
    assert (
        len(leaver.when("leave")) == 1
        and LAST_CALL <= leaver.when("leave")[0] <= LAST_CALL + FINAL_ANSWERS_BEFORE_END / 3 + TICK * 2
    )


@pytest.mark.parametrize("taken_at", [0.5, 1.5, 2.5, 2.8, 3.1, 3.5, 3.9])
def test_a_stream_that_lasts_for_seconds_is_whole_or_not_taken(taken_at):
    """Given clients that go on coming, and a stream that lasts 4.2 s, at any moment after the signal to leave: it is passed on and reaches
    its client whole, or its client is told at once that it has not run. None is taken that the end of the grace cuts off."""
    leaver = Leaver(routes=PATIENT_ROUTES).stop()
    leaver.run(SECOND * taken_at, asks_every=SECOND * 0.3)
    before = len(leaver.when("forward"))
    cid = leaver.ask("/loose/x", *PATIENT)
    if len(leaver.when("forward")) == before:
        at, status, headers, body = leaver.reply(cid)
        assert (status, headers["Connection"], msgspec.json.decode(body)["fault"]["run"]) == (503, "close", "no")
        assert at <= SECOND * taken_at + TICK * 2
        return
    leaver.hear("sent")
    pairs = (("X-Request-Id", f"q{cid[1]}"), ("X-Server-Seal", "s"), ("Content-Type", "text/event-stream"))
    leaver.hear("head", 200, pairs)
    leaver.hear("chunk", b"id: 1\ndata: a\n\n")
    leaver.run(SECOND * (taken_at + LONG_STREAM_S))
    leaver.hear("chunk", b"id: 2\ndata: b\n\n")
    leaver.hear("end")
    assert [effect[0] for _, effect in leaver.said if effect[1:2] == (cid,)] == ["head", "chunk", "chunk", "end"]


def test_a_request_that_waits_for_the_routes_is_answered_before_the_edge_leaves():
    """Given an edge that does not know its routes any more, and a request that still waits for them when the front is shut, the edge
    refuses it as not run before it decides to leave."""
    leaver = Leaver().stop()
    leaver.run(SECOND * 1.6)
    leaver.edge.proxy_pipeline.table.follower = FixedTrust(Trust.EMPTY)
    cid = leaver.ask("/once/x", ("X-Deadline-Ms", "9000"))
    leaver.run(SECOND * 6)
    at, status, headers, _ = leaver.reply(cid)
    assert status == 503 and headers["Connection"] == "close"
    assert len(leaver.when("shut")) == len(leaver.when("leave")) == 1
    words = [effect[0] for _, effect in leaver.said]
    assert words.index("leave") > words.index("reply") and leaver.when("leave")[0] >= at


def test_a_second_signal_to_leave_gives_no_more_time():
    """Given a request that its server never answers, and a second signal 5 s after the first, the client has its final answer within the
    grace of the first: whoever sent that ends the process when it is over."""
    leaver = Leaver(routes=PATIENT_ROUTES).stop()
    leaver.run(SECOND * 2.8, asks_every=SECOND * 0.3)
    cid = leaver.ask("/once/x", *PATIENT)  # its own time is over only after the edge's
    leaver.hear("sent")
    leaver.run(SECOND * 5)
    leaver.edge.take(StopRequested(), leaver.now)
    leaver.run(GRACE * SECOND)
    assert LAST_CALL <= leaver.reply(cid)[0] <= LAST_CALL + TICK
    assert len(leaver.when("leave")) == 1


class Speaker:
    """A machine that holds back one request, and in the very take in which it leaves answers it and tells another node of it."""

    node, restart_epoch = "n", 1

    def __init__(self, other):
        self.held, self.other = None, other

    def take(self, message, now):
        if isinstance(message, HttpRequestReceived):
            self.held = message.call_id
        if isinstance(message, StopRequested):
            return [Reply(self.held, 503, {}, b"last words"), Send(self.other, Follow(7, 1)), Exit(0)]
        return []


def test_what_was_said_last_goes_out_before_the_process_ends():
    """Given a client that waits and a node to which no connection stands yet and that takes a while to be reached, the answer that a
    node gives as it leaves reaches the client whole, and its message the other node."""

    async def run():
        loop, heard = asyncio.get_running_loop(), []
        connect = loop.create_connection

        async def connect_slowly(*arguments, **options):
            await asyncio.sleep(CONNECTING_TAKES)
            return await connect(*arguments, **options)

        loop.create_connection = connect_slowly
        other = NodeTransport(free_address(), "c", heard.append)
        listening = loop.create_task(other.run())
        machine = Speaker(other.address)
        daemon = Daemon(machine, Clock(), lambda *what: None, free_address(), free_address(), "c")
        task = loop.create_task(daemon.run())
        await wait_until_serving(
            lambda: daemon.http_server.listener is not None and other.transport is not None, listening, task
        )
        reader, writer = await asyncio.open_connection(*split_address(daemon.http_server.address))
        writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        while machine.held is None:
            await asyncio.sleep(0)
        daemon._hear(StopRequested())
        answer, code = await reader.read(), await task
        listening.cancel()
        await asyncio.gather(listening, return_exceptions=True)
        return answer, code, heard

    answer, code, heard = asyncio.run(asyncio.wait_for(run(), BOUND))
    assert answer.startswith(b"HTTP/1.1 503 ") and answer.endswith(b"last words") and code == 0
    assert [event.message for event in heard] == [Follow(7, 1)]


# over real sockets -------------------------------------------------------------------------------


class Kept:
    """A client's kept connection on which one request was answered already."""

    def __init__(self, reader, writer, number):
        self.reader, self.writer, self.number = reader, writer, number

    def write(self, number):
        self.number = number
        self.writer.write(request_head(number=number, more=b"Content-Length: 2\r\n") + b"{}")

    async def answer(self):
        """(status, rest of the head) of what comes next; "unread" where the connection was closed with the request still unread in it,
        "read" where it ended in good order without an answer: its last request was read and dropped."""
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
        each = Kept(*await path.connect(), number)
        each.write(number)
        assert (await each.answer())[0] == 200
        found.append(each)
    return found


def _shut(path):
    """As a daemon does it: the machine turns away what comes from now on, then the front is shut."""
    path.scene.take("drain")
    path.scene.take("shut")
    path.front.stop_accepting()


@pytest.mark.parametrize("turns", range(8))
def test_a_request_on_an_idle_kept_connection_when_the_front_is_shut_is_answered_or_its_connection_closed_unread(turns):
    """Given requests that reach idle connections a few turns of the loop before the front is shut, each is answered, or its bytes were
    never read and its server has not seen it: none is read and dropped."""

    async def story(path, peer):
        clients = await _kept(path, 12)
        for number, each in enumerate(clients):
            each.write(100 + number)
        for _ in range(turns):
            await asyncio.sleep(0)
        _shut(path)
        outcomes = [await each.answer() for each in clients]
        return outcomes, {request.id for request in peer.requests}

    outcomes, arrived = run_scenario(story, answer_ok)
    for number, (status, top) in enumerate(outcomes):
        assert status in (200, 503, "unread"), (number, status)
        assert status not in (503, "unread") or f"q{100 + number}" not in arrived
        assert status not in (200, 503) or b"connection: close" in top.lower()


@pytest.mark.parametrize("turns", range(LOOP_TURNS_BEFORE_CLOSE))
def test_a_request_that_comes_just_after_the_front_was_shut_is_left_unread(turns):
    """Given requests that come on idle connections in the turns between the shutting of the front and their closing, none is read."""

    async def story(path, peer):
        clients = await _kept(path, 12)
        _shut(path)
        for _ in range(turns):
            await asyncio.sleep(0)
        for number, each in enumerate(clients):
            each.write(100 + number)
        return [await each.answer() for each in clients], len(peer.requests)

    outcomes, arrivals = run_scenario(story, answer_ok)
    assert {status for status, _ in outcomes} == {"unread"} and arrivals == 12


def test_a_request_that_had_begun_when_the_front_was_shut_is_read_to_the_rest_of_its_body():
    """Given a request whose head was read in the turn before the front is shut and whose body comes later, it is answered: as not run,
    since the front is shut by the time it is whole."""

    async def story(path, peer):
        (client,) = await _kept(path, 1)
        client.writer.write(request_head(number=7, more=b"Content-Length: 200000\r\n"))
        for _ in range(2):  # it is read in the second, and handed on in those that follow
            await asyncio.sleep(0)
        _shut(path)
        for _ in range(20):
            await asyncio.sleep(0)
        client.writer.write(b"x" * 200000)
        return await client.answer(), len(peer.requests)

    (status, top), arrivals = run_scenario(story, answer_ok)
    assert status == 503 and b"connection: close" in top.lower() and arrivals == 1


def test_a_request_in_hand_when_the_front_is_shut_is_answered_and_idle_connections_are_closed():
    """Given one connection whose server works and one that is idle, shutting the front closes the idle one, lets nobody in, and leaves
    the other until its answer, which is the last on it."""
    go = asyncio.Event()

    async def slow(server, request, reader, writer):
        if len(server.requests) > 2:
            await go.wait()
        writer.write(sealed_response(request))
        return True

    async def story(path, peer):
        working, idle = await _kept(path, 2)
        working.write(9)
        while len(peer.requests) < 3:
            await asyncio.sleep(0)
        _shut(path)
        assert await asyncio.wait_for(idle.reader.read(), SOON) == b""
        with pytest.raises(OSError):
            await path.connect()
        assert not working.reader.at_eof()
        go.set()
        status, top = await working.answer()
        assert status == 200 and b"connection: close" in top.lower()
        assert await asyncio.wait_for(working.reader.read(), SOON) == b""

    run_scenario(story, slow)
