"""Clients that don't behave, before a proxy with little memory, over real sockets (docs/design/memory.md).

Each test names who is ended, refused or held up while memory is short, and that the same client is served in calm.
"""

import asyncio
import socket

import pytest

from sumachook.configuration.limits import Limits
from sumachook.memory.account import Purpose
from sumachook.memory.budget import MEBIBYTE, MemoryBudget
from sumachook.transport.connection_slots import ConnectionSlots
from tests.transport.proxy_fixtures import (
    EVENTS,
    chunk,
    chunked,
    parse_response,
    request_head,
    run_scenario,
    sealed_response,
)

BODY_BYTES = MEBIBYTE
LARGE_BUDGET, SMALL_BUDGET = 64 * MEBIBYTE, 2 * MEBIBYTE
STALL_S = 3.0  # after this time without a byte a holder may be ended while memory is short
EVENT = b"id: %d\ndata: " + b"x" * (32 << 10) + b"\n\n"


async def answer_ok(server, request, reader, writer):
    writer.write(sealed_response(request))
    return True


def long_head(number=1, size=BODY_BYTES, path="/once/x"):
    return request_head(path, number=number, more=b"Content-Length: %d\r\n" % size)


async def send(proxy, raw):
    """Opens a connection and sends raw bytes; returns (reader, writer)."""
    reader, writer = await proxy.connect()
    writer.write(raw)
    return reader, writer


async def wait_until(condition):
    while not condition():
        await asyncio.sleep(0.01)


async def read_response(reader):
    """Returns (status, header names and values, body) of the response on a connection that the server then closes."""
    status, headers, body, _ = parse_response(await reader.read())
    return status, {name.lower(): value for name, value in headers}, body


def held(proxy):
    return proxy.front.budget.held_bytes


def test_body_without_room_is_refused_before_it_is_read_and_never_runs():
    """Given bodies that fill what bodies may hold, a further one gets 503 with `Retry-After` and a close before it is sent; a
    small request is served, and after the others have left, so is the refused one."""

    async def scenario(proxy, peer):
        proxy.front.budget.total_bytes = 3 * MEBIBYTE
        _, first = await send(proxy, long_head(1))
        await wait_until(lambda: held(proxy) > BODY_BYTES)
        reader, _ = await send(proxy, long_head(2))
        status, headers, _ = await read_response(reader)
        assert (status, headers[b"retry-after"], headers[b"connection"]) == (503, b"1", b"close")
        assert (await proxy.ask(body=b"{}", number=3))[0] == 200
        first.close()
        await wait_until(lambda: held(proxy) < BODY_BYTES)
        assert (await proxy.ask(body=b"x" * BODY_BYTES, number=4))[0] == 200
        return [request.id for request in peer.requests]

    assert run_scenario(scenario, answer_ok) == ["q3", "q4"]


def test_stalled_body_makes_room_for_another_and_gets_408():
    """Given a body that stops one byte short, a later one takes its room once it has stalled: the first gets 408, which
    promises that it never ran, and its connection is closed; the second is served."""

    async def scenario(proxy, peer):
        proxy.front.budget.total_bytes = 3 * MEBIBYTE
        reader, _ = await send(proxy, long_head(1) + b"x" * (BODY_BYTES - 1))
        await wait_until(lambda: held(proxy) > BODY_BYTES)
        await asyncio.sleep(STALL_S)
        assert (await proxy.ask(body=b"x" * BODY_BYTES, number=2))[0] == 200
        status, headers, body = await read_response(reader)
        assert (status, headers[b"retry-after"]) == (408, b"1") and b'"run":"no"' in body
        return [request.id for request in peer.requests], dict(proxy.front.budget.evictions)

    assert run_scenario(scenario, answer_ok) == (["q2"], {"client connection": 1})


def test_slow_body_is_served_in_calm():
    """Given no pressure, a body that pauses longer than a stall is read to its end and served."""

    async def scenario(proxy, peer):
        reader, writer = await send(proxy, long_head(1) + b"x" * (BODY_BYTES - 1))
        await asyncio.sleep(STALL_S)
        writer.write(b"x")
        return (await reader.readline()).split()[1], len(peer.requests[0].body)

    assert run_scenario(scenario, answer_ok, budget=MemoryBudget(SMALL_BUDGET)) == (b"200", BODY_BYTES)


@pytest.mark.parametrize(
    ("path", "size", "status"), [("/nowhere/x", BODY_BYTES, 404), ("/once/x", 100 * MEBIBYTE, 413)]
)
def test_request_that_its_head_condemns_is_answered_before_its_body(path, size, status):
    """Given a long body for a path without a route, or one above the limit, the answer comes before any byte of the body and
    is the last one on its connection."""

    async def scenario(proxy, peer):
        reader, _ = await send(proxy, long_head(1, size, path))
        found, headers, _ = await read_response(reader)
        return found, headers[b"connection"], peer.connections

    assert run_scenario(scenario, answer_ok) == (status, b"close", 0)


def test_chunked_body_without_a_route_is_answered_before_its_body():
    """Given a chunked body for a path without a route, the answer comes before its first chunk."""

    async def scenario(proxy, peer):
        reader, _ = await send(proxy, request_head("/nowhere/x", more=b"Transfer-Encoding: chunked\r\n"))
        return (await read_response(reader))[0], peer.connections

    assert run_scenario(scenario, answer_ok) == (404, 0)


@pytest.mark.parametrize("is_unfinished", [True, False])
def test_head_above_the_limit_is_refused_before_its_end(is_unfinished):
    """Given a head that is far longer than the limit, 431 comes before its end; what it held is released."""

    async def scenario(proxy, peer):
        proxy.front.apply_limits(Limits(header_bytes=4000))
        head = request_head(more=b"A: %s\r\n" % (b"a" * 100_000))
        reader, _ = await send(proxy, head[:-2] if is_unfinished else head)
        status, headers, _ = await read_response(reader)
        await wait_until(lambda: held(proxy) == 0)
        return status, headers[b"connection"], peer.connections

    assert run_scenario(scenario, answer_ok) == (431, b"close", 0)


def test_unfinished_heads_make_room_for_a_request():
    """Given so many unfinished heads that the budget is used up, an ordinary request is served; the oldest heads are closed."""

    async def scenario(proxy, peer):
        begun = request_head(more=b"A: %s\r\n" % (b"a" * 12_000))[:-2]
        unfinished = [await send(proxy, begun) for _ in range(60)]
        await asyncio.sleep(STALL_S)
        assert (await proxy.ask(body=b"{}", number=2))[0] == 200
        await asyncio.sleep(0.1)
        return sum(reader.at_eof() for reader, _ in unfinished), held(proxy) <= SMALL_BUDGET

    closed, is_within = run_scenario(scenario, answer_ok, budget=MemoryBudget(SMALL_BUDGET))
    assert closed > 0 and is_within


def test_pipelined_requests_are_served_in_order_and_unchanged():
    """Given many requests with long bodies on one connection, sent at once, each is served in turn with its own body."""
    count, size = 12, 200_000
    bodies = [bytes([97 + number]) * size for number in range(count)]

    async def scenario(proxy, peer):
        raw = b"".join(long_head(number, size) + body for number, body in enumerate(bodies))
        reader, _ = await send(proxy, raw)
        statuses = [(await reader.readuntil(b"done")).split()[1] for _ in range(count)]
        return statuses, [request.body for request in peer.requests] == bodies

    assert run_scenario(scenario, answer_ok) == ([b"200"] * count, True)


def test_further_requests_of_a_connection_are_dropped_under_pressure_but_the_present_one_is_answered():
    """Given a connection with more pipelined bytes than the budget has room for, the request that a server works on is
    answered, none of the others reaches a server, and the connection is closed."""
    release = asyncio.Event()

    async def answer_late(server, request, reader, writer):
        await release.wait()
        return await answer_ok(server, request, reader, writer)

    async def scenario(proxy, peer):
        reader, _ = await send(proxy, long_head(1, 2) + b"{}")
        await wait_until(lambda: peer.requests)
        proxy.front.budget.total_bytes = 16 << 10
        proxy.front.budget.open("another").hold(64 << 10, Purpose.SMALL)
        (connection,) = proxy.front.server.open_connections()
        connection.data_received((long_head(2, 2) + b"{}") * 20)
        release.set()
        answer = await reader.read()
        return answer.count(b"HTTP/1.1 200"), [request.id for request in peer.requests]

    assert run_scenario(scenario, answer_late) == (1, ["q1"])


async def _slow_reader(proxy, head):
    """Sends a request on a connection with a small receive buffer, whose answer is read only on demand."""
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    connection.setblocking(False)
    loop = asyncio.get_running_loop()
    host, _, port = proxy.front.address.rpartition(":")
    await loop.sock_connect(connection, (host, int(port)))
    await loop.sock_sendall(connection, head)
    return connection


async def _read_all(connection):
    loop, received = asyncio.get_running_loop(), b""
    while data := await loop.sock_recv(connection, 1 << 20):
        received += data
    connection.close()
    return received


def large_answer(size):
    async def answer(server, request, reader, writer):
        writer.write(sealed_response(request, b"x" * size))
        return True

    return answer


CLOSE = b"Connection: close\r\nContent-Length: 0\r\n"


def test_slow_reader_gets_its_whole_answer_in_calm():
    """Given a client that reads nothing for a while, it still gets all of a long answer, which stands in memory only once."""
    size = 8 * MEBIBYTE

    async def scenario(proxy, peer):
        connection = await _slow_reader(proxy, request_head(more=CLOSE))
        await wait_until(lambda: held(proxy) > size)
        await asyncio.sleep(STALL_S)
        assert held(proxy) < size + MEBIBYTE
        received = await _read_all(connection)
        await wait_until(lambda: held(proxy) == 0)
        return parse_response(received)[0], len(parse_response(received)[2])

    assert run_scenario(scenario, large_answer(size), budget=MemoryBudget(LARGE_BUDGET)) == (200, size)


def test_reader_that_takes_nothing_makes_room_for_another():
    """Given a client that does not read its long answer, another client's answer takes its room: the first connection ends
    without a whole answer."""
    size = 6 * MEBIBYTE

    async def scenario(proxy, peer):
        slow = await _slow_reader(proxy, request_head(more=CLOSE))
        await wait_until(lambda: held(proxy) > size)
        await asyncio.sleep(STALL_S)
        status, _, body, is_whole = await proxy.ask(number=2)
        assert (status, len(body), is_whole) == (200, size, True)
        try:
            cut = await _read_all(slow)
        except ConnectionResetError:
            cut = b""
        return len(cut) < size, proxy.front.end_counts

    budget = MemoryBudget(10 * MEBIBYTE)
    is_cut, ends = run_scenario(scenario, large_answer(size), budget=budget)
    assert is_cut and [str(reason) for reason in ends].count("closed here: the client does not read") == 1


def test_answer_waits_for_memory_instead_of_failing():
    """Given no room for a long answer, its server is not read until there is; then the client gets it whole."""
    size = 4 * MEBIBYTE

    async def scenario(proxy, peer):
        other = proxy.front.budget.open("another")
        other.hold(8 * MEBIBYTE, Purpose.ANSWER)
        asked = asyncio.create_task(proxy.ask("/plain/x", method="GET"))
        await wait_until(lambda: peer.requests)
        await asyncio.sleep(0.2)
        assert not asked.done() and held(proxy) < 9 * MEBIBYTE
        other.close()
        status, _, body, is_whole = await asked
        return status, len(body), is_whole

    assert run_scenario(scenario, large_answer(size), budget=MemoryBudget(10 * MEBIBYTE)) == (200, size, True)


def test_server_of_a_stream_is_held_up_by_its_slow_reader():
    """Given a client that does not read its stream, the server is not read on: it can send only a part, and the client gets
    the rest once it reads."""
    count, sent = 256, []

    async def answer(server, request, reader, writer):
        writer.write(chunked(request, EVENTS))
        for number in range(1, count + 1):
            writer.write(chunk(EVENT % number))
            await writer.drain()
            sent.append(number)
        writer.write(b"0\r\n\r\n")
        return True

    async def scenario(proxy, peer):
        connection = await _slow_reader(proxy, request_head("/loose/x", more=CLOSE))
        await wait_until(lambda: len(sent) > 3)
        await asyncio.sleep(0.5)
        held_up_at = len(sent)
        assert held(proxy) < MEBIBYTE
        received = parse_response(await _read_all(connection))
        return held_up_at < count, received[0], received[2].count(b"id: "), received[3]

    assert run_scenario(scenario, answer) == (True, 200, count, True)


def test_idle_connections_make_room_for_new_ones_but_requests_in_progress_stay():
    """Given a listener whose connections are all used, the one that is idle is closed for a new one; a request that a server
    works on is answered."""
    release = asyncio.Event()

    async def answer_late(server, request, reader, writer):
        if request.id == "q1":
            await release.wait()
        return await answer_ok(server, request, reader, writer)

    async def scenario(proxy, peer):
        busy, busy_writer = await send(proxy, long_head(1, 2) + b"{}")
        await wait_until(lambda: peer.requests)
        idle, idle_writer = await proxy.connect()
        await asyncio.sleep(1.0)
        assert (await proxy.ask(body=b"{}", number=2))[0] == 200
        assert await idle.read() == b""
        release.set()
        status = (await busy.readline()).split()[1]
        busy_writer.close()
        idle_writer.close()
        return status

    assert run_scenario(scenario, answer_late, slots=ConnectionSlots(2)) == b"200"


def test_new_connection_is_closed_if_all_others_are_in_use():
    """Given a listener whose connections all have a request in progress, a new one is closed at once and nothing waits."""

    async def never(server, request, reader, writer):
        await asyncio.sleep(60)

    async def scenario(proxy, peer):
        _, busy_writer = await send(proxy, long_head(1, 2) + b"{}")
        await wait_until(lambda: peer.requests)
        reader, _new_writer = await proxy.connect()
        try:
            return await reader.read()
        except ConnectionResetError:
            return b""
        finally:
            busy_writer.close()

    slots = ConnectionSlots(1)
    assert run_scenario(scenario, never, slots=slots) == b"" and slots.refused == 1


def test_nothing_stays_counted_after_clients_have_left():
    """Given clients that leave at every stage of a request, nothing is counted for them afterwards."""

    async def scenario(proxy, peer):
        stages = (
            b"",
            long_head(1)[:20],
            long_head(2) + b"x" * 1000,
            long_head(3, 2) + b"{}" + long_head(4, 2),
            long_head(5, 2) + b"{}",
            b"garbage\r\n\r\n",
        )
        writers = [(await send(proxy, raw))[1] for raw in stages]
        await asyncio.sleep(0.2)
        for writer in writers:
            writer.transport.abort()
        await wait_until(lambda: not proxy.front.budget.accounts)
        return held(proxy), proxy.front.budget.ending_bytes, len(proxy.front.slots.accounts)

    assert run_scenario(scenario, answer_ok) == (0, 0, 0)
