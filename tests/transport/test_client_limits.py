"""Configured client limits of an edge's proxy server: sizes, timeouts, and changes of them while connections are idle
(docs/design/forwarding.md).
"""

import asyncio

import pytest

from harness.local_cluster.loopback import free_address, wait_until_serving
from sumachook.configuration.limits import Limits
from sumachook.host.effects import ApplyClientLimits, ReadBody, Reply
from sumachook.host.events import ProxyHeadReceived, ProxyRequestReceived, Tick
from sumachook.transport.addresses import split_address
from sumachook.transport.proxy_server import ProxyServer

BOUND, TURNS = 8.0, 30
LIMITS = {"header_bytes": 2000, "body_bytes": 3000, "header_ms": 3000.0, "idle_ms": 15000.0}


class LimitedServer:
    """A proxy server with limits that answers each request at once; only the tests call its sweep."""

    def __init__(self, **limits):
        self.messages, self.writers, self.front = [], [], ProxyServer(free_address(), self.handle_event)
        self.front.apply_limits(Limits(**LIMITS | limits))

    def handle_event(self, message):
        if isinstance(message, ProxyHeadReceived):
            self.front.answer(ReadBody(message.call_id))
            return
        self.messages.append(message)
        if isinstance(message, ProxyRequestReceived):
            self.front.answer(Reply(message.call_id, 200, {}, b"ok"))

    async def __aenter__(self):
        self.task = asyncio.get_running_loop().create_task(self.front.run())
        await wait_until_serving(lambda: self.front.listener is not None, self.task)
        return self

    async def __aexit__(self, *what):
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)

    def now(self):
        return asyncio.get_running_loop().time()

    async def connect(self, raw=b""):
        before = len(self.front.server.connections)
        reader, writer = await asyncio.open_connection(*split_address(self.front.address))
        while len(self.front.server.connections) == before:
            await asyncio.sleep(0)
        writer.write(raw)
        self.writers.append(writer)  # an unreferenced writer is garbage collected, which closes its connection
        await loop_iterations()
        return reader, writer


async def loop_iterations():
    for _ in range(TURNS):
        await asyncio.sleep(0)


async def has_ended(reader):
    await loop_iterations()
    return reader.at_eof()


def run_scenario(scenario, **limits):
    async def run():
        async with LimitedServer(**limits) as fixture:
            return await scenario(fixture)

    return asyncio.run(asyncio.wait_for(run(), BOUND))


def post(size, headers=b""):
    return b"POST /x HTTP/1.1\r\nHost: x\r\n%sContent-Length: %d\r\n\r\n" % (headers, size) + b"x" * size


async def ask(fixture, raw):
    reader, _ = await fixture.connect(raw)
    return int((await reader.readline()).split()[1])


@pytest.mark.parametrize(
    "raw,status",
    [
        (post(3000), 200),
        (post(3001), 413),
        (post(10, b"A: %s\r\n" % (b"a" * 1800)), 200),
        (post(10, b"A: %s\r\n" % (b"a" * 2000)), 431),
        (post(10, b"".join(b"A%d: %s\r\n" % (number, b"a" * 90) for number in range(30))), 431),
        (
            b"POST /x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
            + b"3e8\r\n%s\r\n" % (b"x" * 1000) * 4
            + b"0\r\n\r\n",
            413,
        ),
    ],
)
def test_requests_larger_than_the_limits_are_rejected_without_an_event(raw, status):
    """Heads and bodies up to the limits are accepted and larger ones rejected, with one header field or many, with a
    content length or in chunks.
    """

    async def scenario(fixture):
        return await ask(fixture, raw), len(fixture.messages)

    assert run_scenario(scenario) == (status, 1 if status == 200 else 0)


def test_raised_limits_apply_at_once_to_open_connections():
    """After the limits are raised, a head of half a megabyte and a body of 10 MiB are accepted on an open connection
    too.
    """

    async def scenario(fixture):
        large = post(10 << 20, b"A: %s\r\n" % (b"a" * (512 << 10)))
        first, (reader, writer) = await ask(fixture, large), await fixture.connect()
        fixture.front.apply_limits(Limits(header_bytes=1 << 20, body_bytes=16 << 20))
        writer.write(large)
        return first, int((await reader.readline()).split()[1])

    assert run_scenario(scenario) == (431, 200)


def test_incomplete_head_is_closed_after_the_header_timeout():
    """An incomplete head, on a new connection or after a request, closes the connection after the header timeout and
    not before.
    """

    async def scenario(fixture):
        begun = b"GET /x HTTP/1.1\r\nHost"
        reader, _ = await fixture.connect(begun)
        used, writer = await fixture.connect(post(2))
        assert (await used.readuntil(b"ok")).startswith(b"HTTP/1.1 200")
        await loop_iterations()
        writer.write(begun)
        await loop_iterations()
        fixture.front._sweep(fixture.now() + 2.9)
        assert not await has_ended(reader) and not await has_ended(used)
        fixture.front._sweep(fixture.now() + 3.1)
        assert await has_ended(reader) and await has_ended(used)

    run_scenario(scenario)


def test_stalled_body_gets_408_after_the_idle_timeout():
    """A body that stalls gets 408 after the idle timeout, its connection is closed and it emits no event; a body that
    continues before the timeout is answered.
    """

    async def scenario(fixture):
        reader, _ = await fixture.connect(post(100)[:-50])
        slow, writer = await fixture.connect(post(100)[:-50])
        writer.write(b"x" * 50)
        assert (await slow.readline()).split()[1] == b"200"
        assert (
            (await reader.readline()).split()[1] == b"408"
            and (await reader.read()).endswith(b"}")
            and len(fixture.messages) == 1
        )

    run_scenario(scenario, idle_ms=100.0)


def test_idle_connections_keep_the_timeout_that_their_clients_know():
    """When the idle timeout shrinks, connections already idle keep theirs and later ones get the new one; when it
    grows, idle connections may stay longer. No other limit closes them sooner.
    """

    async def scenario(fixture):
        start = fixture.now()
        old, _ = await fixture.connect()
        fixture.front._sweep(start)
        fixture.front.apply_limits(Limits(**LIMITS | {"idle_ms": 5000.0}))
        new, _ = await fixture.connect()
        fixture.front._sweep(start + 1)
        fixture.front._sweep(start + 5.9)
        assert not await has_ended(new)
        fixture.front._sweep(start + 6.1)
        assert await has_ended(new) and not await has_ended(old)
        fixture.front._sweep(start + 14.9)
        assert not await has_ended(old)
        fixture.front.apply_limits(Limits(**LIMITS | {"idle_ms": 60000.0}))
        fixture.front._sweep(start + 59)
        assert not await has_ended(old)
        fixture.front._sweep(start + 60.1)
        assert await has_ended(old)

    run_scenario(scenario)


def test_shorter_idle_timeout_does_not_apply_to_connections_already_idle():
    """A connection that became idle before the timeout was shortened, but was not swept yet, keeps the longer timeout,
    which is the one that its client knows.
    """

    async def scenario(fixture):
        reader, _ = await fixture.connect(post(2))
        assert (await reader.readuntil(b"ok")).startswith(b"HTTP/1.1 200")
        await loop_iterations()
        fixture.front.apply_limits(Limits(**LIMITS | {"idle_ms": 2000.0}))
        start = fixture.now()
        fixture.front._sweep(start)
        fixture.front._sweep(start + 14.9)
        assert not await has_ended(reader)
        fixture.front._sweep(start + 15.1)
        assert await has_ended(reader)

    run_scenario(scenario)


def test_aiohttp_keep_alive_timeout_is_disabled():
    """The keep-alive timer of aiohttp must not close a used connection before a configured idle timeout that is longer."""
    assert ProxyServer.OPTIONS["keepalive_timeout"] >= 1e6


def test_edge_applies_client_limits_only_when_they_change():
    """An edge passes the client limits of a configuration to its proxy server only if they differ from the previous
    ones.
    """
    from datetime import timedelta
    from random import Random

    from sumachook.configuration.node_settings import NodeSettings
    from sumachook.nodes.edge import Edge
    from sumachook.runtime.clock import Clock
    from tests.configuration.test_services import whole

    settings = NodeSettings(
        node="e1",
        address="127.0.0.1:1",
        http_address="127.0.0.1:2",
        zone="hall-a",
        seeds=("127.0.0.1:3",),
        front="127.0.0.1:4",
    )
    edge, now, applied = Edge(settings, {}, 1, Clock(), Random(1)), Clock().mono(), []
    for number, doc in enumerate(
        (whole(1), whole(2), whole(3, limits={"idleMs": 9000}), whole(4, limits={"idleMs": 9000}), whole(5)), 1
    ):
        assert edge.state.apply(number, ("configure", "q", doc, {}, False, number - 1))[0] == "ok"
        now += timedelta(seconds=0.05)
        effects = edge.take(Tick(), now)
        applied += [effect.limits.idle_ms for effect in effects if isinstance(effect, ApplyClientLimits)]
    assert applied == [15000.0, 9000.0, 15000.0]
