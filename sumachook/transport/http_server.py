"""HTTP server of a process: turns requests into events of its state machine, and effects into responses."""

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta
from typing import Any, ClassVar, NoReturn, cast

# importing all of aiohttp.web also loads file serving and applications, a tenth of the startup time
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, StreamResponse
from multidict import CIMultiDict

from sumachook.host.effects import AbortResponse, BeginResponse, EndResponse, Reply, SendChunk
from sumachook.host.events import Body, CallId, ClientDisconnected, ConnectionEnd, Event, HttpRequestReceived
from sumachook.memory.account import Purpose
from sumachook.memory.budget import DEFAULT_MEMORY_MB, MemoryBudget, budget_for
from sumachook.memory.json_size import parsed_bytes
from sumachook.runtime.log_function import LogFunction
from sumachook.transport.addresses import split_address
from sumachook.transport.body_reader import ROOM_TIMEOUT, SMALL_BODY_BYTES, BodyReader
from sumachook.transport.client_connection import ClientConnection, ConnectionFactory
from sumachook.transport.connection_limits import ConnectionLimits, header_size
from sumachook.transport.connection_slots import DEFAULT_DESCRIPTORS, ConnectionSlots, share_descriptors
from sumachook.transport.exchange import Exchange, ResponseEffect, close_if_requested, write_reply
from sumachook.transport.refusals import error_response, header_too_large, out_of_memory
from sumachook.transport.socket_buffers import limit_receive_buffer

MAX_BODY_BYTES = 1 << 20
MAX_HEADER_BYTES = 64 << 10  # of a call to the node's own HTTP address
READ_BUFFER_BYTES = 64 << 10  # of one body, between the parser and the handler; reading pauses at twice as many
MAX_UNSENT_BYTES = 1 << 20
SHUTDOWN_TIMEOUT = timedelta(seconds=0.2)  # time for requests in progress when the server is stopped
LOOP_ITERATIONS_BEFORE_CLOSE = (
    4  # loop iterations until idle connections are closed; bytes arriving meanwhile are reset unread
)
SERVER_CLOSE_REASONS = frozenset(
    (ConnectionEnd.IDLE, ConnectionEnd.SLOW_HEAD, ConnectionEnd.LEAVING, ConnectionEnd.STOPPED)
)
LINGER_TIMEOUT, SWEEP_INTERVAL, IDLE_TIMEOUT = timedelta(seconds=1), timedelta(seconds=1), timedelta(seconds=15)


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
        "budget",
        "slots",
    )
    OPTIONS: ClassVar[dict[str, Any]] = {}
    LIMITS = ConnectionLimits(MAX_HEADER_BYTES, MAX_BODY_BYTES, idle_timeout=IDLE_TIMEOUT.total_seconds())

    def __init__(
        self,
        address: str,
        on_event: Callable[[Event], None],
        max_body_bytes: int | None = None,
        log: LogFunction | None = None,
        budget: MemoryBudget | None = None,
        slots: ConnectionSlots | None = None,
    ) -> None:
        self.address = address
        self.budget = budget or budget_for(DEFAULT_MEMORY_MB)
        self.slots = slots or ConnectionSlots(share_descriptors(DEFAULT_DESCRIPTORS).clients)
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
            lambda: self.limits,
            self.budget,
            self.slots,
            handler_cancellation=True,
            access_log=None,
            read_bufsize=READ_BUFFER_BYTES,
            lingering_time=LINGER_TIMEOUT.total_seconds(),
            **self.OPTIONS,
        )
        host, port = split_address(self.address)
        listener = self.listener = await asyncio.get_running_loop().create_server(server, host, port)
        for listening in listener.sockets:
            limit_receive_buffer(listening)
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
            exchange.write_chunk(effect.data)
        else:
            exchange.unsent_bytes += len(effect.data)
            exchange.count_unsent(exchange.unsent_bytes)
            exchange.effects.put_nowait(effect)

    def writable_of(self, call_id: CallId) -> asyncio.Event | None:
        """Returns the event that is set while the client of a call takes what is written; None for an ended call."""
        exchange = self.exchanges.get(call_id)
        return None if exchange is None else exchange.connection.writable

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

    async def _handle(self, request: BaseRequest) -> StreamResponse:
        if header_size(request) > self.limits.header_bytes:
            return header_too_large(self.limits.header_bytes)
        if not self.budget.may_begin():
            self.budget.note_refusal(Purpose.SMALL)
            return out_of_memory()
        connection = cast(ClientConnection, request.protocol)
        self.last_call_number += 1
        call_id = self._call_id()
        exchange = self.exchanges[call_id] = Exchange(connection)
        try:
            early = await self._decide_by_head(request, call_id, exchange)
            if early is not None:
                return early
            body = await BodyReader(request, connection, self.limits).read() if request.can_read_body else b""
            if isinstance(body, Response):
                return body
            refusal = await self._reserve_parsed(connection, body)
            if refusal is not None:
                return refusal
            connection.mark_request_read()
            return await self._exchange(request, call_id, exchange, body)
        finally:
            del self.exchanges[call_id]

    async def _decide_by_head(self, request: BaseRequest, call_id: CallId, exchange: Exchange) -> StreamResponse | None:
        """Returns the response to a request that is refused before its body is read, or None."""
        return None

    async def _reserve_parsed(self, connection: ClientConnection, body: Body) -> Response | None:
        """Reserves memory for the parsed form of a long JSON body; returns the refusal if there is none."""
        if len(body) <= SMALL_BODY_BYTES:
            return None
        count = parsed_bytes(body)
        if not self.budget.may_ever_fit(count):
            return error_response(413, "too-large", "the document has too many parts for the memory of this node")
        if not await connection.account.reserve(count, Purpose.BODY, ROOM_TIMEOUT):
            return out_of_memory()
        return None

    async def _exchange(self, request: BaseRequest, call_id: CallId, exchange: Exchange, body: Body) -> StreamResponse:
        """Delivers a whole request to the state machine, and its response to the client."""
        is_complete = False
        try:
            self.on_event(self._event_of(request, call_id, body))
            del body  # the state machine holds it for as long as it is needed
            answer = await self._answer(request, exchange)
            is_complete = True
            return answer
        finally:
            if not is_complete and not exchange.is_over:
                ended_by = exchange.connection.ended_by or ConnectionEnd.CLIENT
                self.on_event(ClientDisconnected(call_id, ended_by))

    def _call_id(self) -> CallId:
        return self.last_call_number

    def _event_of(self, request: BaseRequest, call_id: CallId, body: Body) -> Event:
        """Returns the event that delivers a whole request to the state machine."""
        headers = {name.lower(): value for name, value in request.headers.items()}
        return HttpRequestReceived(call_id, request.method, request.path, headers, body)

    async def _answer(self, request: BaseRequest, exchange: Exchange) -> StreamResponse:
        effect = await exchange.effects.get()
        exchange.connection.is_writing = True
        try:
            if isinstance(effect, Reply):
                return await write_reply(request, exchange, effect)
            if isinstance(effect, AbortResponse):
                self._abort(request)
            if not isinstance(effect, BeginResponse):
                raise TypeError(f"first response effect must be Reply, BeginResponse or AbortResponse, not {effect!r}")
            answer = close_if_requested(StreamResponse(status=effect.status, headers=CIMultiDict(effect.headers)))
            answer.enable_chunked_encoding()
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
                exchange.count_unsent(exchange.unsent_bytes)
                exchange.connection.account.note_moved(len(effect.data))
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
