"""HTTP client over real sockets: what its failures guarantee, and that no response is taken for that of another call
(docs/design/transport.md, docs/design/failures.md).
"""

import asyncio
import socket
from datetime import timedelta

import aiohttp
import pytest

from sumachook.calls.run_status import CallFailure
from sumachook.host.effects import ConnectionReuse, Fetch
from sumachook.host.events import CallFailed, RequestSent, ResponseReceived
from sumachook.transport.http_client import HttpClient

BOUND = 8.0  # time limit of a scenario in seconds
SOON = timedelta(seconds=2)
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
SILENT = b""  # a server that has not responded yet
ACCEPTED = b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"


class RawServer:
    """A raw server that writes `answers` in turn, None to close the connection; records the connection of each request."""

    def __init__(self, *answers):
        self.answers, self.requests, self.connections, self.writers = list(answers), [], 0, []
        self.address = self.listener = None

    async def start(self):
        self.listener = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.listener.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        self.connections += 1
        number = self.connections
        self.writers.append(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.requests.append((number, head.split(b" ")[0].decode()))
                answer = self.answers.pop(0)
                if answer is None:
                    break
                writer.write(answer)
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()


class RecordingClient:
    """An HTTP client that records the events of each call."""

    def __init__(self):
        self.http_client, self.events, self.done, self.task = HttpClient(self._record), {}, {}, None

    def _record(self, event):
        self.events.setdefault(event.call_id, []).append(event)
        if isinstance(event, ResponseReceived | CallFailed):
            self.done[event.call_id].set()

    async def call(self, call, address, method="POST", connect=SOON, reuse=ConnectionReuse.ALWAYS):
        """Runs a call; returns its last event."""
        self.done[call] = asyncio.Event()
        self.http_client.fetch(Fetch(call, method, f"http://{address}/x", {}, b"", connect, SOON, "whole", reuse))
        await self.done[call].wait()
        return self.events[call][-1]


def run_scenario(scenario, *answers):
    async def run():
        client, peer = RecordingClient(), RawServer(*answers)
        await peer.start()
        client.task = task = asyncio.get_running_loop().create_task(client.http_client.run())
        while not client.http_client.is_open:
            await asyncio.sleep(0)
        try:
            return await scenario(client, peer)
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            peer.listener.close()

    return asyncio.run(asyncio.wait_for(run(), BOUND))


def order(number):
    return ("provision", 1, number)


def test_refused_connection_reports_that_nothing_was_sent():
    """A call to a closed port fails as refused and emits no `RequestSent`."""

    async def scenario(client, peer):
        with socket.socket() as unheard:
            unheard.bind(("127.0.0.1", 0))
            return await client.call(order(1), "127.0.0.1:%d" % unheard.getsockname()[1]), client.events[order(1)]

    last, events = run_scenario(scenario)
    assert last == CallFailed(order(1), CallFailure.REFUSED)
    assert last.failure.was_before_first_byte and events == [last]


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_connection_closed_after_sending_may_have_run_and_is_not_retried(method):
    """If the server closes without a response, the call counts as possibly run, and aiohttp retries it for no method."""

    async def scenario(client, peer):
        return await client.call(order(1), peer.address, method), client.events[order(1)], peer.requests

    last, events, requests = run_scenario(scenario, None, OK)
    assert last == CallFailed(order(1), CallFailure.RESET) and not last.failure.was_before_first_byte
    assert events[0] == RequestSent(order(1), False) and len(requests) == 1


def test_failure_after_the_first_byte_is_not_reported_as_a_connect_failure():
    """A connection error of aiohttp counts as a connect failure only if the call has sent no byte."""
    key = aiohttp.client_reqrep.ConnectionKey("h", 1, False, None, None, None, None)
    errors = {
        aiohttp.ConnectionTimeoutError(): CallFailure.CONNECT_TIMEOUT,
        aiohttp.ClientConnectorError(key, OSError()): CallFailure.REFUSED,
    }
    http_client = HttpClient(lambda message: None)
    for error, failure in errors.items():
        http_client.sent.clear()
        assert http_client._classify_failure(order(1), error) is failure
        http_client.sent.add(order(1))
        assert not http_client._classify_failure(order(1), error).was_before_first_byte


def test_orders_and_reports_never_share_a_connection():
    """Orders and reports to one server, whose responses carry no id, each reuse one connection of their own."""

    async def scenario(client, peer):
        for number in range(6):
            answer = await client.call(order(number), peer.address, "GET" if number % 2 else "POST")
            assert isinstance(answer, ResponseReceived)
        return peer.requests

    requests = run_scenario(scenario, *[ACCEPTED, OK] * 3)
    assert (
        len({number for number, method in requests if method == "GET"})
        == 1
        == len({number for number, method in requests if method == "POST"})
    )
    assert len({number for number, _ in requests}) == 2


@pytest.mark.parametrize("surplus", [ACCEPTED, ACCEPTED[:20], b"x"])
def test_bytes_received_between_two_orders_are_not_read_as_the_second_response(surplus):
    """Bytes received on an idle connection close it, and the next order gets its own response on a new connection."""

    async def scenario(client, peer):
        first = await client.call(order(1), peer.address)
        peer.writers[0].write(surplus)
        await peer.writers[0].drain()
        for _ in range(30):
            await asyncio.sleep(0)
        return first.status, (await client.call(order(2), peer.address)).status, peer.connections

    assert run_scenario(scenario, ACCEPTED, OK) == (202, 200, 2)


def test_order_that_forbids_reuse_gets_a_new_connection():
    """An order that forbids reuse does not use the kept connection, where a surplus response to an earlier order may still
    arrive; other orders do (review case 2)."""

    async def scenario(client, peer):
        statuses = []
        for number, reuse in enumerate((ConnectionReuse.ALWAYS, ConnectionReuse.NEVER, ConnectionReuse.ALWAYS), 1):
            statuses.append((await client.call(order(number), peer.address, reuse=reuse)).status)
        return statuses, [number for number, _ in peer.requests][:2], peer.connections

    assert run_scenario(scenario, ACCEPTED, OK, ACCEPTED) == ([202, 200, 202], [1, 2], 2)


def test_cancelled_call_emits_no_events():
    """A call cancelled while its server works emits no further events, even if the response arrives."""

    async def scenario(client, peer):
        task = asyncio.get_running_loop().create_task(client.call(order(1), peer.address))
        while not peer.requests:
            await asyncio.sleep(0)
        client.http_client.cancel(order(1))
        peer.writers[0].write(OK)
        for _ in range(20):
            await asyncio.sleep(0)
        task.cancel()
        return client.events[order(1)], client.http_client.tasks, client.http_client.sent

    assert run_scenario(scenario, b"") == ([RequestSent(order(1), False)], {}, set())


@pytest.mark.parametrize("iterations", range(1, 9))
def test_call_cancelled_before_request_sent_never_reaches_the_server(iterations):
    """A call cancelled at any loop iteration around the connect reaches the server only if `RequestSent` was emitted
    before. Otherwise a request reported as not run would have run.
    """

    async def scenario(client, peer):
        task = asyncio.get_running_loop().create_task(client.call(order(1), peer.address))
        for _ in range(iterations):
            await asyncio.sleep(0)
        was_reported = order(1) in client.events
        client.http_client.cancel(order(1))
        for _ in range(40):
            await asyncio.sleep(0)
        task.cancel()
        return was_reported, len(peer.requests), order(1) in client.events

    was_reported, arrivals, is_reported = run_scenario(scenario, OK)
    assert (was_reported or arrivals == 0) and is_reported == was_reported


# timed-out calls ---------------------------------------------------------------

ORDER_TIMEOUT = timedelta(seconds=0.2)
RESET, CLOSED = "reset", "closed"


async def _end_of_a_request_without_an_answer(call_id):
    """Returns how the server sees the connection of a request end when the request times out without a response."""
    ends, told = asyncio.Queue(), asyncio.Queue()

    async def serve(reader, writer):
        try:
            while await reader.read(1000):
                pass
            ends.put_nowait(CLOSED)
        except ConnectionResetError:
            ends.put_nowait(RESET)
        finally:
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    address = "{}:{}".format(*server.sockets[0].getsockname())
    http_client = HttpClient(told.put_nowait)
    running = asyncio.ensure_future(http_client.run())
    await asyncio.sleep(0)
    http_client.fetch(
        Fetch(call_id, "POST", f"http://{address}/order", {}, b"{}", ORDER_TIMEOUT, ORDER_TIMEOUT, "whole")
    )
    while isinstance(event := await asyncio.wait_for(told.get(), BOUND), RequestSent):
        pass
    assert event == CallFailed(call_id, CallFailure.TIMEOUT)
    end = await asyncio.wait_for(ends.get(), BOUND)
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)
    server.close()
    return end


@pytest.mark.parametrize("call_id, end", [(("provision", 7, 1), RESET), (("lookup", 1), CLOSED)])
def test_timed_out_order_resets_its_connection(call_id, end):
    """The connection of a timed-out order is reset, so that bytes delayed by a partition are not delivered when it
    heals. The connection of a lookup is closed normally.
    """
    assert asyncio.run(_end_of_a_request_without_an_answer(call_id)) == end


def test_unexpected_exception_is_reported_as_call_failure():
    """An exception that is no network error, here a header that aiohttp cannot write, is reported as a failed call;
    otherwise the caller would wait until its own timeout.
    """

    async def scenario(client, peer):
        client.done[order(1)] = asyncio.Event()
        headers = {"X-Count": 7}
        client.http_client.fetch(Fetch(order(1), "POST", f"http://{peer.address}/x", headers, b"", SOON, SOON, "whole"))
        async with asyncio.timeout(SOON.total_seconds()):
            await client.done[order(1)].wait()
        return client.events[order(1)][-1]

    assert isinstance(run_scenario(scenario), CallFailed)


def test_running_calls_are_reported_as_failed_when_the_client_stops():
    """When the client's task ends, as on a restart of it, a running call is reported as failed and possibly run; a
    cancelled one emits nothing more.
    """

    async def scenario(client, peer):
        for number in (1, 2):
            client.done[order(number)] = asyncio.Event()
            client.http_client.fetch(
                Fetch(order(number), "POST", f"http://{peer.address}/x", {}, b"", SOON, SOON, "whole")
            )
        while len(peer.requests) < 2:
            await asyncio.sleep(0)
        client.http_client.cancel(order(2))
        client.task.cancel()
        await asyncio.gather(client.task, return_exceptions=True)
        for _ in range(20):
            await asyncio.sleep(0)
        return client.events[order(1)][-1], client.events[order(2)]

    told, called_off = run_scenario(scenario, SILENT, SILENT)
    assert told == CallFailed(order(1), CallFailure.RESET)
    assert called_off == [RequestSent(order(2), False)]
