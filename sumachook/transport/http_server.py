"""HTTP server of a process: turns requests into events of its state machine, and effects into responses."""

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta
from typing import Any, ClassVar, NoReturn, TypeVar, cast

# importing all of aiohttp.web also loads file serving and applications, a tenth of the startup time
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, StreamResponse
from multidict import CIMultiDict

from sumachook.host.effects import AbortResponse, BeginResponse, EndResponse, Reply, SendChunk
from sumachook.host.events import CallId, ClientDisconnected, ConnectionEnd, Event, HttpRequestReceived
from sumachook.runtime.log_function import LogFunction
from sumachook.transport.addresses import split_address
from sumachook.transport.client_connection import ClientConnection, ConnectionFactory, error_body
from sumachook.transport.connection_limits import ConnectionLimits, header_size

AnyResponse = TypeVar("AnyResponse", bound=StreamResponse)
ResponseEffect = Reply | BeginResponse | SendChunk | EndResponse | AbortResponse

MAX_BODY_BYTES = 1 << 20
MAX_UNSENT_BYTES = 1 << 20
SHUTDOWN_TIMEOUT = timedelta(seconds=0.2)  # time for requests in progress when the server is stopped
LOOP_ITERATIONS_BEFORE_CLOSE = (
    4  # loop iterations until idle connections are closed; bytes arriving meanwhile are reset unread
)
SERVER_CLOSE_REASONS = frozenset(
    (ConnectionEnd.IDLE, ConnectionEnd.SLOW_HEAD, ConnectionEnd.LEAVING, ConnectionEnd.STOPPED)
)
LINGER_TIMEOUT, SWEEP_INTERVAL, IDLE_TIMEOUT = timedelta(seconds=1), timedelta(seconds=1), timedelta(seconds=15)


class Exchange:
    """A request in progress and the queue of its response effects; `unsent_bytes` counts the body bytes in it.

    `transport` is set while the response is a stream and no effect is queued: chunks are then written directly.
    """

    __slots__ = ("effects", "unsent_bytes", "is_over", "transport")

    def __init__(self) -> None:
        self.effects: asyncio.Queue[ResponseEffect] = asyncio.Queue()
        self.unsent_bytes = 0
        self.is_over = False
        self.transport: asyncio.Transport | None = None


class HttpServer:
    """Serves HTTP on one address: emits an event for each request, and writes responses from effects.

    Bodies above the limit get 413 and input that is not valid HTTP gets 400, both in JSON and without an event. A
    client that does not read is disconnected once more than `MAX_UNSENT_BYTES` are buffered for it. A stream that must
    not look complete is closed without the final chunk.
    """

    __slots__ = (
        "address",
        "on_event",
        "exchanges",
        "last_call_number",
        "listener",
        "server",
        "limits",
        "is_stopping",
        "log",
        "end_counts",
    )
    OPTIONS: ClassVar[dict[str, Any]] = {}
    LIMITS = ConnectionLimits(body_bytes=MAX_BODY_BYTES, idle_timeout=IDLE_TIMEOUT.total_seconds())

    def __init__(
        self,
        address: str,
        on_event: Callable[[Event], None],
        max_body_bytes: int | None = None,
        log: LogFunction | None = None,
    ) -> None:
        self.address = address
        self.log = log
        self.end_counts: Counter[ConnectionEnd] = Counter()  # number of closed connections per reason
        self.on_event = on_event
        self.limits = replace(self.LIMITS, body_bytes=max_body_bytes) if max_body_bytes else self.LIMITS
        self.exchanges: dict[CallId, Exchange] = {}
        self.last_call_number = 0
        self.listener: asyncio.Server | None = None
        self.server: ConnectionFactory | None = None
        self.is_stopping = False  # whether new connections are no longer accepted

    async def run(self) -> None:
        """Serves until cancelled; raises `OSError` if the address cannot be bound."""
        server = self.server = ConnectionFactory(
            self._serve,
            self._record_close,
            lambda: self.limits.idle_timeout,
            handler_cancellation=True,
            access_log=None,
            lingering_time=LINGER_TIMEOUT.total_seconds(),
            **self.OPTIONS,
        )
        host, port = split_address(self.address)
        listener = self.listener = await asyncio.get_running_loop().create_server(server, host, port)
        try:
            await asyncio.Event().wait()
        finally:
            listener.close()
            for connection in server.open_connections():
                connection.ended_by = ConnectionEnd.STOPPED
            await server.shutdown(SHUTDOWN_TIMEOUT.total_seconds())

    async def sweep(self) -> None:
        """Closes timed-out connections until cancelled; runs as its own task, whose failure closes no connection."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL.total_seconds())
            self._sweep(asyncio.get_running_loop().time())

    def _record_close(self, connection: ClientConnection) -> None:
        """Counts a closed connection by reason; logs one that this node closed with an unfinished or unread request.

        An aborted response is not logged here, since the request's own log line reports it. Bytes that arrive too late
        before the close are reset unread; a request still in transit at that time is visible to its client alone.
        """
        ended_by = connection.ended_by or ConnectionEnd.CLIENT
        self.end_counts[ended_by] += 1
        if self.log is None or ended_by not in SERVER_CLOSE_REASONS:
            return
        unread = connection.unread_byte_count
        if not connection.is_resting:
            fields = self._describe_end(connection, ended_by, unread)
            self.log("warning", "http-server", "A connection was closed with a request on it.", fields)
        elif unread:
            fields = self._describe_end(connection, ended_by, unread)
            self.log("info", "http-server", "A connection was closed with unread bytes in the receive buffer.", fields)

    @staticmethod
    def _describe_end(connection: ClientConnection, ended_by: ConnectionEnd, unread: int) -> dict[str, Any]:
        now = asyncio.get_running_loop().time()
        return {
            "by": str(ended_by),
            "state": connection.state.name.lower(),
            "readFor": None if connection.request_started_at is None else round(now - connection.request_started_at, 4),
            "idleLimit": connection.idle_limit,
            "unreadBytes": unread,
        }

    def _sweep(self, now: float) -> None:
        """Closes connections that exceed the idle timeout or the header timeout."""
        for connection in self.server.open_connections() if self.server else []:
            reason = connection.close_reason(now, self.limits)
            if reason is not None:
                connection.end(reason)

    def stop_accepting(self) -> None:
        """Stops accepting connections; closes idle ones now, and the others once their request is answered.

        A request that has already arrived is answered, even if it is still unread in the kernel's buffer.
        """
        if self.listener is None or self.server is None:
            return
        self.is_stopping = True
        self.listener.close()
        idle_connections = [connection for connection in self.server.open_connections() if connection.may_be_closed]
        for connection in idle_connections:
            connection.pause()  # a request that arrives from now on stays unread; its client may resend it
        self._close_idle(idle_connections, LOOP_ITERATIONS_BEFORE_CLOSE)

    def _close_idle(self, idle_connections: list[ClientConnection], iterations: int) -> None:
        """Closes these paused connections after the given number of event loop iterations."""
        if iterations:
            asyncio.get_running_loop().call_soon(self._close_idle, idle_connections, iterations - 1)
            return
        for connection in idle_connections:
            if connection.is_resting:
                connection.end(ConnectionEnd.LEAVING)
            else:  # a pipelined request, read together with the previous one, has started
                connection.resume()

    @property
    def has_unsent_bytes(self) -> bool:
        """Whether bytes of a response are still buffered in the process because a client reads slowly."""
        connections = self.server.open_connections() if self.server else []
        return any(connection.has_unsent_bytes for connection in connections)

    def answer(self, effect: ResponseEffect) -> None:
        """Applies a response effect of the state machine; drops it if the request has ended."""
        exchange = self.exchanges.get(effect.call_id)
        if exchange is None or exchange.is_over:
            return
        if not isinstance(effect, SendChunk):
            exchange.transport = None  # the request's task writes all other effects
            exchange.effects.put_nowait(effect)
            return
        is_direct = exchange.transport is not None
        unsent = exchange.transport.get_write_buffer_size() if exchange.transport else exchange.unsent_bytes
        if unsent + len(effect.data) > MAX_UNSENT_BYTES:
            self._disconnect_slow_client(exchange, effect.call_id)
        elif is_direct:
            _write_chunk(exchange, effect.data)
        else:
            exchange.unsent_bytes += len(effect.data)
            exchange.effects.put_nowait(effect)

    def _disconnect_slow_client(self, exchange: Exchange, call_id: CallId) -> None:
        """Aborts the response to a client that does not read it."""
        exchange.is_over = True
        exchange.transport = None
        exchange.effects.put_nowait(AbortResponse(call_id))
        self.on_event(ClientDisconnected(call_id, ConnectionEnd.NOT_READ))

    async def _serve(self, request: BaseRequest) -> StreamResponse:
        """Handles a request until the last byte of its response; its connection stays in state SERVING until then."""
        connection = cast(ClientConnection, request.protocol)
        if not connection.begin_request():
            raise asyncio.CancelledError
        try:
            answer = await self._handle(request)
            await self._complete_writing(request, answer)
        finally:
            connection.end_request(self.limits.idle_timeout)
        if self.is_stopping and connection.is_resting:
            connection.end(ConnectionEnd.LEAVING)
        return answer

    async def _complete_writing(self, request: BaseRequest, answer: StreamResponse) -> None:
        """Writes the head and body of a response as far as they are not written yet."""
        try:
            await answer.prepare(request)
            await answer.write_eof()
        except ConnectionResetError:  # the client has disconnected
            raise asyncio.CancelledError from None

    async def _read_body(self, request: BaseRequest) -> bytes | Response:
        """Reads the complete body; returns an error response instead if it is too large or its transfer stalls."""
        max_bytes, body = self.limits.body_bytes, bytearray()
        if (request.content_length or 0) > max_bytes:
            return _error_response(413, "too-large", f"at most {max_bytes} bytes")
        try:
            while len(body) <= max_bytes and not request.content.at_eof():
                async with asyncio.timeout(self.limits.idle_timeout):
                    body += await request.content.read(max_bytes + 1 - len(body))
        except TimeoutError:
            return _error_response(408, "body-stalled", f"nothing came for {self.limits.idle_timeout} s")
        return (
            bytes(body) if len(body) <= max_bytes else _error_response(413, "too-large", f"at most {max_bytes} bytes")
        )

    async def _handle(self, request: BaseRequest) -> StreamResponse:
        if header_size(request) > self.limits.header_bytes:
            return _error_response(431, "header-too-large", f"at most {self.limits.header_bytes} bytes")
        body = await self._read_body(request) if request.can_read_body else b""
        if isinstance(body, Response):
            return body
        connection = cast(ClientConnection, request.protocol)
        connection.mark_request_read()
        self.last_call_number += 1
        call_id, event = self._event_of(request, body)
        exchange = self.exchanges[call_id] = Exchange()
        is_complete = False
        try:
            self.on_event(event)
            answer = await self._answer(request, exchange)
            is_complete = True
            return answer
        finally:
            del self.exchanges[call_id]
            if not is_complete and not exchange.is_over:
                self.on_event(ClientDisconnected(call_id, connection.ended_by or ConnectionEnd.CLIENT))

    def _event_of(self, request: BaseRequest, body: bytes) -> tuple[CallId, Event]:
        """Returns the call id of a request and the event for the state machine."""
        headers = {name.lower(): value for name, value in request.headers.items()}
        return self.last_call_number, HttpRequestReceived(
            self.last_call_number, request.method, request.path, headers, body
        )

    async def _answer(self, request: BaseRequest, exchange: Exchange) -> StreamResponse:
        effect = await exchange.effects.get()
        if isinstance(effect, Reply):
            headers = CIMultiDict(effect.headers)
            return _close_if_requested(Response(status=effect.status, headers=headers, body=effect.body))
        if isinstance(effect, AbortResponse):
            self._abort(request)
        if not isinstance(effect, BeginResponse):
            raise TypeError(f"first response effect must be Reply, BeginResponse or AbortResponse, not {effect!r}")
        answer = _close_if_requested(StreamResponse(status=effect.status, headers=CIMultiDict(effect.headers)))
        answer.enable_chunked_encoding()
        try:
            return await self._stream(request, exchange, answer)
        except ConnectionResetError:  # the client disconnected between two writes
            raise asyncio.CancelledError from None

    async def _stream(self, request: BaseRequest, exchange: Exchange, answer: StreamResponse) -> StreamResponse:
        """Writes chunks as they arrive until the response is ended or aborted."""
        await answer.prepare(request)
        while True:
            effect = await exchange.effects.get()
            if isinstance(effect, SendChunk):
                await answer.write(effect.data)
                exchange.unsent_bytes -= len(effect.data)
                if exchange.effects.empty() and answer.chunked and not exchange.is_over:
                    exchange.transport = request.transport
            elif isinstance(effect, EndResponse):
                await answer.write_eof()
                return answer
            else:
                self._abort(request)

    def _abort(self, request: BaseRequest) -> NoReturn:
        """Closes the connection without the final chunk, so that no client takes the truncated response as complete.

        Bytes already written are flushed; the cancellation keeps aiohttp from writing more, such as an error response.
        """
        cast(ClientConnection, request.protocol).end(ConnectionEnd.ABORTED)
        raise asyncio.CancelledError


def _write_chunk(exchange: Exchange, data: bytes) -> None:
    """Writes data in chunked transfer coding; drops it if the client has just disconnected."""
    transport = exchange.transport
    if transport is not None and not transport.is_closing():
        transport.write(b"%x\r\n%b\r\n" % (len(data), data))


def _close_if_requested(answer: AnyResponse) -> AnyResponse:
    """Makes the response the last one on its connection if its headers say `Connection: close`."""
    if answer.headers.get("Connection", "").lower() == "close":
        answer.force_close()
    return answer


def _error_response(status: int, name: str, reason: str) -> Response:
    """Builds an error response to a request that never reached the state machine; it closes the connection."""
    answer = Response(status=status, body=error_body(name, reason), content_type="application/json")
    answer.force_close()
    return answer
