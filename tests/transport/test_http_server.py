"""HTTP server: which requests it accepts, how responses end, and the sweep of idle connections (docs/design/transport.md)."""

import asyncio

import pytest

from harness.local_cluster.loopback import free_address, wait_until_serving
from sumachook.host.effects import AbortResponse, BeginResponse, EndResponse, Reply, SendChunk
from sumachook.host.events import HttpRequestReceived
from sumachook.transport.addresses import split_address
from sumachook.transport.http_server import IDLE_TIMEOUT, MAX_BODY_BYTES, HttpServer

BOUND, START = 8.0, 1000.0  # time limit of a scenario in seconds; time of the first sweep
IDLE_SECONDS = IDLE_TIMEOUT.total_seconds()
REQUEST_BYTES = b"POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}"


class ServerFixture:
    """An HTTP server that records its events and responds only on `answer`; tests call its sweep with their own clock."""

    def __init__(self):
        self.messages, self.http_server, self.task = (
            [],
            HttpServer(free_address(), lambda message: self.messages.append(message)),
            None,
        )

    async def __aenter__(self):
        self.task = asyncio.get_running_loop().create_task(self.http_server.run())
        await wait_until_serving(lambda: self.http_server.listener is not None, self.task)
        return self

    async def __aexit__(self, *what):
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)

    async def connect(self, raw=b""):
        """Connects and writes `raw`; returns (reader, writer) once the server has accepted the connection and read it."""
        before = len(self.http_server.server.connections)
        reader, writer = await asyncio.open_connection(*split_address(self.http_server.address))
        while len(self.http_server.server.connections) == before:
            await asyncio.sleep(0)
        writer.write(raw)
        for _ in range(5):
            await asyncio.sleep(0)
        return reader, writer

    async def wait_for_requests(self, count):
        while sum(isinstance(event, HttpRequestReceived) for event in self.messages) < count:
            await asyncio.sleep(0)

    def answer(self, number):
        self.http_server.answer(Reply(number, 200, {}, b"ok"))


def run_scenario(scenario):
    async def run():
        async with ServerFixture() as fixture:
            return await scenario(fixture)

    return asyncio.run(asyncio.wait_for(run(), BOUND))


async def _has_closed(reader):
    """Whether the connection was closed without further data, which shows within a few loop iterations."""
    for _ in range(20):
        await asyncio.sleep(0)
    return reader.at_eof()


@pytest.mark.parametrize("raw", [b"", b"POST /x HT", REQUEST_BYTES[:-20]])
def test_connection_without_complete_head_is_closed_after_the_idle_timeout(raw):
    """A connection with no bytes or an incomplete head is closed after the idle timeout, not before, and emits no
    event.
    """

    async def scenario(fixture):
        reader, _ = await fixture.connect(raw)
        fixture.http_server._sweep(START)
        fixture.http_server._sweep(START + IDLE_SECONDS)
        assert not await _has_closed(reader)
        fixture.http_server._sweep(START + IDLE_SECONDS + 0.1)
        assert await _has_closed(reader) and fixture.messages == []
        fixture.http_server._sweep(START + IDLE_SECONDS + 1)
        assert fixture.http_server.server.open_connections() == []

    run_scenario(scenario)


def test_connection_in_use_is_never_closed_and_is_idle_only_after_its_response():
    """A connection stays open until its late response is written; its idle timeout counts from then on."""

    async def scenario(fixture):
        reader, writer = await fixture.connect()
        fixture.http_server._sweep(START)  # idle before its first request; that time must not count later
        writer.write(REQUEST_BYTES)
        await fixture.wait_for_requests(1)
        for turn in range(1, 20):
            fixture.http_server._sweep(START + turn * IDLE_SECONDS)
        assert not await _has_closed(reader)
        fixture.answer(1)
        assert (await reader.readuntil(b"ok")).startswith(b"HTTP/1.1 200 ")
        fixture.http_server._sweep(START + 20 * IDLE_SECONDS)
        fixture.http_server._sweep(START + 21 * IDLE_SECONDS)
        assert not await _has_closed(reader)
        writer.write(REQUEST_BYTES)
        await fixture.wait_for_requests(2)
        fixture.answer(2)
        assert (await reader.readuntil(b"ok")).startswith(b"HTTP/1.1 200 ")
        fixture.http_server._sweep(START + 21 * IDLE_SECONDS + 1)
        fixture.http_server._sweep(START + 22 * IDLE_SECONDS + 0.5)  # the idle timeout has restarted
        assert not await _has_closed(reader)
        fixture.http_server._sweep(START + 22 * IDLE_SECONDS + 1.1)
        assert await _has_closed(reader) and [type(event) for event in fixture.messages] == [HttpRequestReceived] * 2

    run_scenario(scenario)


# requests and responses ----------------------------------------------------------------------


async def _with_http_server(answers, scenario):
    """Runs `scenario(address, messages)` against a server that responds with the effects given for each path."""
    messages = []

    def handle_event(message):
        messages.append(message)
        if isinstance(message, HttpRequestReceived):
            for effect_type, *values in answers.get(message.path, ()):
                http_server.answer(effect_type(message.call_id, *values))

    http_server = HttpServer(free_address(), handle_event)
    task = asyncio.get_running_loop().create_task(http_server.run())
    try:
        await wait_until_serving(lambda: http_server.listener is not None, task)
        return await scenario(http_server.address, messages)
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


async def _send_raw(address, raw):
    reader, writer = await asyncio.open_connection(*split_address(address))
    writer.write(raw)
    answer = await reader.read()
    writer.close()
    return answer


def test_only_a_complete_stream_ends_with_the_final_chunk():
    begin = [(BeginResponse, 200, {"Content-Type": "text/event-stream"}), (SendChunk, b"data: 1\n\n")]
    answers = {"/cut": [*begin, (AbortResponse,)], "/whole": [*begin, (EndResponse,)]}

    async def scenario(address, messages):
        request = b"GET %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        return await _send_raw(address, request % b"/cut"), await _send_raw(address, request % b"/whole")

    cut, whole = asyncio.run(_with_http_server(answers, scenario))
    assert b"data: 1" in cut and not cut.endswith(b"0\r\n\r\n") and cut.count(b"HTTP/1.1") == 1
    assert b"data: 1" in whole and whole.endswith(b"0\r\n\r\n")


def test_invalid_requests_and_large_bodies_get_json_errors_and_emit_no_event():
    async def scenario(address, messages):
        garbage = await _send_raw(address, b"NONSENSE\r\n\r\n")
        size = MAX_BODY_BYTES + 1
        large = await _send_raw(
            address, b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % size + b"x" * size
        )
        return garbage, large, list(messages)

    garbage, large, messages = asyncio.run(_with_http_server({}, scenario))
    assert garbage.startswith(b"HTTP/1.1 400") or garbage.startswith(b"HTTP/1.0 400"), garbage
    assert b'"malformed"' in garbage and large.startswith(b"HTTP/1.1 413") and b'"too-large"' in large
    assert messages == []
