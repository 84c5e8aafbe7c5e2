"""Close of a client's connection with a request on it, at each event loop iteration
(docs/incidents/kosice-lookup-without-an-answer.md).

During a configuration change an edge forwarded a client's lookup, a server started it, and in the same millisecond the edge
closed both connections: the client got neither a response nor an error. The edge had read the request and closed the
connection before its handler started, because it only looked at requests being handled. The handler then started, forwarded
the request over a kept connection, and was cancelled one loop iteration later because its client's connection was lost.

On the code before the fix, `test_request_read_before_a_close_is_answered_or_not_forwarded` reproduces this: a sweep of idle
connections, run in the loop iteration in which a request was read or in the next one, closed its connection although the
server got the request.
"""

import asyncio
import contextlib
from random import Random

import pytest

from sumachook.configuration.limits import Limits
from sumachook.host.events import ConnectionEnd
from sumachook.transport.addresses import split_address
from tests.transport.proxy_fixtures import answer_ok, parse_response, request_head, run_scenario

ITERATIONS_TO_SETTLE = 200
MAX_ITERATIONS_BEFORE_CLOSE = 6
ITERATIONS_OF_TWO_RESPONSES = 40  # more loop iterations than two responses take
REQUEST = request_head(more=b"Content-Length: 2\r\n") + b"{}"
SECOND_REQUEST = request_head(number=2, more=b"Content-Length: 2\r\n") + b"{}"


async def loop_iterations(count):
    for _ in range(count):
        await asyncio.sleep(0)


def sweep_idle(front):
    """Sweeps with a clock at which each idle connection exceeds the idle timeout."""
    front._sweep(asyncio.get_running_loop().time() + front.limits.idle_timeout + 1.0)


def sweep_slow_heads(front):
    """Sweeps as if the first byte of each incomplete request had arrived longer than the header timeout ago."""
    for connection in front.server.connections:
        connection.request_started_at = (
            connection.request_started_at and connection.request_started_at - front.limits.header_timeout - 1.0
        )
    front._sweep(asyncio.get_running_loop().time())


def stop_accepting(front):
    """Stops accepting connections, as a leaving node does."""
    front.stop_accepting()


async def answered_connection(proxy, count=1):
    """Opens a client connection and gets one response; returns (reader, writer, server-side connection).

    `count` is the number of connections that must be open then.
    """
    reader, writer = await asyncio.open_connection(*split_address(proxy.front.address))
    writer.write(REQUEST)
    await reader.readuntil(b"done")
    connections = proxy.front.server.open_connections()
    assert len(connections) == count
    connection = next(
        each for each in connections if each.transport.get_extra_info("peername") == writer.get_extra_info("sockname")
    )
    return reader, writer, connection


async def sent_just_before(proxy, peer, close, iteration_count):
    """Runs `close` the given number of loop iterations after a second request was read.

    Returns the response to that request, and whether the server got it.
    """
    proxy.front.apply_limits(Limits())
    reader, writer, connection = await answered_connection(proxy)
    proxy.front._sweep(asyncio.get_running_loop().time())
    connection.data_received(SECOND_REQUEST)
    await loop_iterations(iteration_count)
    close(proxy.front)
    reading = asyncio.ensure_future(reader.read(1 << 16))
    await loop_iterations(ITERATIONS_TO_SETTLE)
    answer = reading.result() if reading.done() else b""
    writer.close()
    return answer, any(request.id == "q2" for request in peer.requests)


@pytest.mark.parametrize("iteration_count", range(MAX_ITERATIONS_BEFORE_CLOSE))
@pytest.mark.parametrize("close", [sweep_idle, sweep_slow_heads, stop_accepting])
def test_request_read_before_a_close_is_answered_or_not_forwarded(close, iteration_count):
    """A request read on a connection that this node is about to close, at any event loop iteration, gets a complete
    response or reaches no server.
    """

    async def scenario(proxy, peer):
        answer, was_forwarded = await sent_just_before(proxy, peer, close, iteration_count)
        if answer:
            status, _, body, is_whole = parse_response(answer)
            assert (status, body, is_whole) == (200, b"done", True)
        else:
            assert not was_forwarded

    run_scenario(scenario, answer_ok)


@pytest.mark.parametrize("iteration_count", [0, 1])
@pytest.mark.parametrize("reason", [ConnectionEnd.IDLE, ConnectionEnd.SLOW_HEAD, ConnectionEnd.LEAVING])
def test_request_on_a_connection_closed_by_this_node_before_it_started_is_not_forwarded(reason, iteration_count):
    """If a connection is closed regardless of a request read on it, no server gets the request: its client gets no
    response and may resend it.
    """

    async def scenario(proxy, peer):
        _, writer, connection = await answered_connection(proxy)
        connection.data_received(SECOND_REQUEST)
        await loop_iterations(iteration_count)
        connection.end(reason)
        await loop_iterations(ITERATIONS_TO_SETTLE)
        writer.close()
        return [request.id for request in peer.requests], proxy.front.end_counts

    requests, end_counts = run_scenario(scenario, answer_ok)
    assert requests == ["q1"] and end_counts == {reason: 1}


@pytest.mark.parametrize("iteration_count", range(ITERATIONS_OF_TWO_RESPONSES))
@pytest.mark.parametrize("close", [sweep_idle, stop_accepting])
def test_pipelined_requests_are_answered_or_not_forwarded(close, iteration_count):
    """Of two requests read at once, the first is answered, and the second is answered or reaches no server."""

    async def scenario(proxy, peer):
        reader, writer, connection = await answered_connection(proxy)
        proxy.front._sweep(asyncio.get_running_loop().time())
        connection.data_received(SECOND_REQUEST + request_head(number=3, more=b"Content-Length: 2\r\n") + b"{}")
        await loop_iterations(iteration_count)
        close(proxy.front)
        reading = asyncio.ensure_future(reader.read())
        await loop_iterations(ITERATIONS_TO_SETTLE)
        writer.close()
        answers = (await reading).count(b"HTTP/1.1 200")
        assert answers >= 1 and answers == len(peer.requests) - 1
        assert not proxy.front.exchanges

    run_scenario(scenario, answer_ok)


@pytest.mark.parametrize("close", [sweep_idle, stop_accepting])
def test_request_unread_in_the_kernel_buffer_is_answered(close):
    """A request that is unread in the kernel's buffer when its connection is about to be closed gets a complete
    response. A long event loop iteration, in which nothing is read, must not lose requests that arrived during it.
    """

    async def scenario(proxy, peer):
        proxy.front.apply_limits(Limits())
        reader, writer, _ = await answered_connection(proxy)
        proxy.front._sweep(asyncio.get_running_loop().time())
        writer.write(SECOND_REQUEST)
        close(proxy.front)
        answer = await reader.readuntil(b"done")
        writer.close()
        return answer, [request.id for request in peer.requests]

    answer, requests = run_scenario(scenario, answer_ok)
    status, _, body, is_whole = parse_response(answer)
    assert (status, body, is_whole) == (200, b"done", True) and requests == ["q1", "q2"]


def test_closing_a_connection_with_a_request_logs_the_reason():
    """The close of a connection with an incomplete head is logged as a warning with the reason; the close of an idle
    one is only counted.
    """
    lines = []

    async def scenario(proxy, peer):
        proxy.front.log = lambda *line: lines.append(line)
        proxy.front.apply_limits(Limits())
        _, slow = await proxy.connect()
        slow.write(SECOND_REQUEST[:20])
        _, idle_writer, connection = await answered_connection(proxy, 2)
        now = asyncio.get_running_loop().time()
        proxy.front._sweep(now)
        proxy.front._sweep(now + proxy.front.limits.idle_timeout + 1.0)
        await loop_iterations(ITERATIONS_TO_SETTLE)
        slow.close()
        idle_writer.close()
        return proxy.front.end_counts

    assert run_scenario(scenario, answer_ok) == {ConnectionEnd.IDLE: 1, ConnectionEnd.SLOW_HEAD: 1}
    ((level, _, _, fields),) = lines
    assert level == "warning" and fields["by"] == ConnectionEnd.SLOW_HEAD and fields["state"] == "reading"


def test_bytes_received_after_a_close_are_logged_as_unread():
    """A request that arrives after its connection was closed reaches no server, and a log line gives the number of
    unread bytes.
    """
    lines = []

    async def scenario(proxy, peer):
        proxy.front.log = lambda *line: lines.append(line)
        _, writer, connection = await answered_connection(proxy)
        connection.end(ConnectionEnd.IDLE)
        writer.write(SECOND_REQUEST)
        await loop_iterations(ITERATIONS_TO_SETTLE)
        writer.close()
        return [request.id for request in peer.requests]

    assert run_scenario(scenario, answer_ok) == ["q1"]
    ((level, _, _, fields),) = lines
    assert level == "info" and fields["by"] == ConnectionEnd.IDLE and fields["state"] == "resting"
    assert fields["unreadBytes"] == len(SECOND_REQUEST)


SEEDS = range(40)
CLIENTS, STEPS, MAX_ITERATIONS_BETWEEN = 8, 60, 12
IDLE_LIMITS_MS = (500.0, 5000.0, 15000.0)


class RandomClient:
    """A client with one connection at a time; it writes its next request even if the server is closing the connection."""

    def __init__(self):
        self.answered = []
        self.reader = self.writer = self.reading = None

    async def ask(self, proxy, request_number):
        if self.writer is None or self.reader.at_eof() or self.writer.is_closing():
            self.reader, self.writer = await proxy.connect()
        self.writer.write(request_head(number=request_number, more=b"Content-Length: 2\r\n") + b"{}")
        self.reading = asyncio.ensure_future(self._read(self.reader, f"q{request_number}"))

    async def _read(self, reader, request_id):
        try:
            await reader.readuntil(b"done")
            self.answered.append(request_id)
        except (asyncio.IncompleteReadError, OSError):
            pass

    @property
    def is_waiting(self):
        return self.reading is not None and not self.reading.done()


async def run_random_events(proxy, peer, seed):
    """Sends requests, sweeps with a clock that runs ahead, and changes limits at random loop iterations.

    The node stops accepting connections halfway through. Returns the ids of the answered requests.
    """
    random, clients, number = Random(seed), [RandomClient() for _ in range(CLIENTS)], 0
    stops_at = random.randrange(STEPS // 2, STEPS)
    clock_offset = 0.0
    for step in range(STEPS):
        if step == stops_at:
            proxy.front.stop_accepting()
        free = [client for client in clients if not client.is_waiting]
        for client in random.sample(free, min(len(free), random.randrange(4))):
            number += 1
            with contextlib.suppress(OSError):  # the server no longer accepts connections
                await client.ask(proxy, number)
        await loop_iterations(random.randrange(MAX_ITERATIONS_BETWEEN))
        if random.random() < 0.5:
            clock_offset += random.choice((0.4, 2.0, 6.0, 16.0))
            proxy.front._sweep(asyncio.get_running_loop().time() + clock_offset)
        if random.random() < 0.3:
            proxy.front.apply_limits(Limits(idle_ms=random.choice(IDLE_LIMITS_MS)))
        await loop_iterations(random.randrange(MAX_ITERATIONS_BETWEEN))
    await loop_iterations(ITERATIONS_TO_SETTLE)
    for client in clients:
        if client.writer is not None:
            client.writer.close()
    await loop_iterations(ITERATIONS_TO_SETTLE)
    return {request_id for client in clients for request_id in client.answered}


@pytest.mark.parametrize("seed", SEEDS)
def test_every_request_that_a_server_ran_is_answered_at_random_closes(seed):
    """Clients send requests on kept connections while sweeps, limit changes and a shutdown happen at random event loop
    iterations. Each request that a server received must be answered, and some must be answered at all.
    """

    async def scenario(proxy, peer):
        answered = await run_random_events(proxy, peer, seed)
        return answered, {request.id for request in peer.requests}

    answered, ran = run_scenario(scenario, answer_ok)
    assert ran == answered and len(answered) > CLIENTS
