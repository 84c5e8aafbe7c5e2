"""A client's connection to an HTTP server of this process: the state of its request, and why it is closed.

The connection tracks its request from the first byte read to the last byte of the response. Both code that closes a
connection and code that starts a request handler ask the connection first. A handler starts some event loop iterations
after its request was read, and in between the connection cannot be closed by mistake. Bytes unread in the kernel's
buffer count as a request too, since a close would reset them.

What the connection holds of its client's bytes is counted in its account: the connection itself, heads, bytes that were
read beyond the current request, and, by the code that handles a request, its body and its answer.
"""

import asyncio
from collections.abc import Callable
from enum import Enum
from typing import Any, cast

from aiohttp import StreamReader
from aiohttp.web_protocol import RequestHandler
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, StreamResponse
from aiohttp.web_server import Server

from sumachook.host.events import ConnectionEnd
from sumachook.memory.account import Purpose
from sumachook.memory.budget import MemoryBudget
from sumachook.transport.connection_limits import ConnectionLimits
from sumachook.transport.connection_slots import ConnectionSlots
from sumachook.transport.refusals import error_body
from sumachook.transport.socket_buffers import RECEIVE_BUFFER_BYTES, limit_reads, unread_bytes

CONNECTION_BYTES = 12 << 10  # memory of a connection without a request: socket objects, parser, task
HEAD_COPIES = 2  # a head stands in memory as bytes and as text
# A head whose bytes exceed the limit this many times is refused before its end, as target and fields have a limit each.
UNFINISHED_HEAD_FACTOR = 2
UNFINISHED_HEAD_SLACK_BYTES = 4 << 10  # method, version and line ends
MAX_HELD_BACK_BYTES = 16 << 10  # bytes of further requests beyond which a connection is not read until its answer
ABORT_FLUSH_S = 1.0  # time in which a client may read what was written of an answer that is cut off
REFUSAL_LINGER_S = 1.0  # time in which a refused client that still sends may read the refusal


class ConnectionState(Enum):
    """State of the current request on a client's connection."""

    RESTING = "nothing: each request that was read is answered"
    READING = "bytes of a request whose handler has not begun"
    SERVING = "a request that is handled, or whose answer is being written"


class ClientConnection(RequestHandler):
    """Reads the requests of one client; input that is not valid HTTP gets an error response in JSON.

    `request_started_at` is the event loop's time in seconds when the first byte of the incomplete request was read,
    None without one; `idle_limit` is the idle timeout in seconds that the client knows; `first_swept_at` is when a
    sweep first found the connection in its present state; `ended_by` is the reason of its close, set as soon as this
    node closes it. `writable` is set unless the client reads too slowly for what was written. While a body is read,
    `body_timeout` ends the read; `is_body_evicted` says that memory was short.
    """

    __slots__ = (
        "state",
        "request_started_at",
        "idle_limit",
        "first_swept_at",
        "ended_by",
        "on_end",
        "limits",
        "slots",
        "account",
        "wire",
        "writable",
        "is_reading_body",
        "is_writing",
        "is_body_evicted",
        "body_timeout",
        "_is_request_read",
        "_body",
        "_head_bytes",
        "_held_back",
        "_is_held",
        "_discards_input",
    )

    def __init__(
        self,
        manager: Any,
        on_end: Callable[["ClientConnection"], None],
        limits: Callable[[], ConnectionLimits],
        budget: MemoryBudget,
        slots: ConnectionSlots,
        **options: Any,
    ) -> None:
        super().__init__(manager, **options)
        self.state = ConnectionState.RESTING
        self.request_started_at: float | None = None
        self.idle_limit = limits().idle_timeout
        self.first_swept_at: float | None = None
        self.ended_by: ConnectionEnd | None = None
        self.on_end = on_end
        self.limits = limits
        self.slots = slots
        self.account = budget.open("client connection", self._evict)
        self.wire: asyncio.Transport | None = None  # open until the connection is lost; `transport` ends with a close
        self.writable = asyncio.Event()
        self.writable.set()
        self.is_reading_body = False
        self.is_writing = False  # whether the request has its answer, or the head of it
        self.is_body_evicted = False
        self.body_timeout: asyncio.Timeout | None = None
        self._is_request_read = False  # whether the request that is handled is complete
        self._body: StreamReader | None = None  # the body that the parser read last, perhaps incomplete
        self._head_bytes = 0  # bytes of an unfinished head
        self._held_back: list[bytes] = []  # bytes of further requests, read while one is handled
        self._is_held = False  # whether reading is paused until the answer, since many bytes are held back
        self._discards_input = False  # whether further bytes are read and dropped, since the connection is to end

    @property
    def is_resting(self) -> bool:
        """Whether the connection is idle: no byte of a new request was read, and all requests are answered."""
        return self.state is ConnectionState.RESTING

    @property
    def may_be_closed(self) -> bool:
        """Whether the connection is idle and the kernel holds no unread bytes, as it can after a long loop iteration.

        A request that arrives later crosses the close on its way; it is not read, and its client may resend it.
        """
        return self.is_resting and not self.unread_byte_count

    @property
    def unread_byte_count(self) -> int:
        """Returns the number of received bytes in the kernel's buffer; 0 once the connection is closed."""
        connected = self.transport.get_extra_info("socket") if self.transport is not None else None
        return 0 if connected is None else unread_bytes(connected)

    @property
    def has_unsent_bytes(self) -> bool:
        """Whether written bytes are still buffered because the client reads slowly."""
        return self.wire is not None and self.wire.get_write_buffer_size() > 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Counts the connection; ends it at once if all of the listener's connections are in use."""
        super().connection_made(transport)
        self.wire = cast(asyncio.Transport, transport)
        limit_reads(transport)
        self.account.hold(CONNECTION_BYTES, Purpose.SMALL)
        if not self.slots.take(self.account):
            self.abort(ConnectionEnd.NO_ROOM)

    def data_received(self, data: bytes) -> None:
        """Passes received bytes to the HTTP parser; the first ones mark the start of a request."""
        if self._discards_input:
            return
        if not data:  # aiohttp lets its parser go on with bytes that were received before
            self._parse(data)
            return
        if self.request_started_at is None:
            self.request_started_at = self._loop.time()
        if self._held_back or (self.state is ConnectionState.SERVING and self._is_request_read):
            self._hold_back(data)
            return
        if self.is_resting:
            self._change_state(ConnectionState.READING)
        self._parse(data)

    def _parse(self, data: bytes) -> None:
        """Passes bytes to the parser, and counts those of heads and of requests that are not handled yet."""
        is_body = self._body is not None and not self._body.is_eof()
        if is_body and not self._messages:  # the handler that reads it has reserved its bytes
            self.account.note_moved(len(data))
        else:
            self.account.hold(HEAD_COPIES * len(data), Purpose.SMALL)
        count = self._request_count
        super().data_received(data)
        if self._request_count != count and self._messages:
            self._body = self._messages[-1][1]
            self._head_bytes = 0
        elif not is_body:
            self._count_unfinished_head(len(data))

    def _count_unfinished_head(self, count: int) -> None:
        """Refuses a head that is longer than the limit before it is complete."""
        self._head_bytes += count
        limit = self.limits().header_bytes
        if self._head_bytes > UNFINISHED_HEAD_FACTOR * limit + UNFINISHED_HEAD_SLACK_BYTES:
            self._refuse_head(limit)

    def _refuse_head(self, limit: float) -> None:
        """Answers 431 unless an earlier request is still being answered, and ends the connection a little later."""
        if self.state is ConnectionState.READING and self.transport is not None:
            body = error_body("header-too-large", f"at most {limit:.0f} bytes")
            head = f"HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: {len(body)}"
            self.transport.write(head.encode() + b"\r\nContent-Type: application/json\r\n\r\n" + body)
        self._discards_input = True
        self.close()
        self.ended_by = ConnectionEnd.SLOW_HEAD
        self._loop.call_later(REFUSAL_LINGER_S, self.end, ConnectionEnd.SLOW_HEAD)

    # requests that arrive while one is handled ----------------------------------------

    def _hold_back(self, data: bytes) -> None:
        """Keeps bytes of further requests until the present one is answered; stops reading when they are many."""
        self._held_back.append(data)
        self.account.hold(len(data), Purpose.SMALL)
        if self.account.budget.is_exceeded:
            self._drop_further_requests()
        elif not self._is_held and sum(map(len, self._held_back)) > MAX_HELD_BACK_BYTES:
            self._is_held = True
            self.account.hold(RECEIVE_BUFFER_BYTES, Purpose.SMALL)  # the kernel may fill its buffer meanwhile
            self.pause()

    def _parse_held_back(self) -> None:
        """Passes the bytes held back to the parser, once the request before them is answered."""
        held_back, self._held_back = b"".join(self._held_back), []
        if self.transport is None or self.transport.is_closing() or self._close or self._force_close:
            return
        if self._is_held:
            self._is_held = False
            self.resume()
        self.data_received(held_back)

    def _drop_further_requests(self) -> int:
        """Frees what was read beyond the present request, after whose answer the connection ends; returns the bytes."""
        if not self._messages and not self._held_back:
            return 0
        freed = self.account.shrink_small(CONNECTION_BYTES)
        self._discards_input = True
        self._messages.clear()
        self._held_back = []
        self._parser = self._body = None  # they hold the body of a request that is not read on
        self.close()
        if self._is_held:
            self._is_held = False
            self.resume()
        return freed

    # pressure -------------------------------------------------------------------------

    def _evict(self) -> int:
        """Ends the connection or what it may do without, because memory or descriptors are short.

        A request that the state machine has is never ended here: a server may be running it. Returns the bytes freed.
        """
        if self.wire is None:
            return 0
        if self.transport is None or self.ended_by is not None:  # closed, but not all that was written is taken
            self.wire.abort()
            return self.account.held_bytes
        if self.state is ConnectionState.SERVING and not self.is_writing:
            return self._evict_body() if self.is_reading_body else self._drop_further_requests()
        if self.has_unsent_bytes:
            self.abort(ConnectionEnd.NOT_READ)
        elif self.is_writing or self.unread_byte_count:
            return 0
        else:
            self.end(ConnectionEnd.NO_ROOM)
        return self.account.held_bytes

    def _evict_body(self) -> int:
        """Ends the reading of a body, which is then answered with 408."""
        if self.body_timeout is None or self.is_body_evicted:
            return 0
        self.is_body_evicted = True
        self.body_timeout.reschedule(self._loop.time())
        return self.account.held_bytes

    def resume_writing(self) -> None:
        """Lets senders of a response go on: the client has taken most of what was written."""
        super().resume_writing()
        self.writable.set()

    def pause_writing(self) -> None:
        """Stops senders of a response until the client has taken most of what was written."""
        super().pause_writing()
        self.writable.clear()

    # the course of a request ----------------------------------------------------------

    def begin_request(self) -> bool:
        """Starts handling the request that was read, or returns False if this node has closed the connection.

        In that case the client gets no response, so the request must not be forwarded: the client may resend it.
        """
        if self.ended_by is not None:
            return False
        self._is_request_read = False
        self._change_state(ConnectionState.SERVING)
        return True

    def mark_request_read(self) -> None:
        """Records that the body is complete: bytes read from now on belong to another request."""
        self._is_request_read = True
        self.request_started_at = None
        if self._messages and self.account.budget.is_exceeded:
            self._drop_further_requests()

    def end_request(self, idle_limit: float) -> None:
        """Records that the response is written; the connection may then be idle for `idle_limit` seconds."""
        self.idle_limit = idle_limit
        self._change_state(ConnectionState.RESTING if self.request_started_at is None else ConnectionState.READING)
        self.is_writing = False
        if self.wire is None:
            self.account.close()
            return
        self._count_rest()
        if self._held_back:
            self._loop.call_soon(self._parse_held_back)

    def _count_rest(self) -> None:
        """Releases what was held for the request; requests that were read beyond it stay counted."""
        if not self._messages and not self._held_back:
            unsent = self.wire.get_write_buffer_size() if self.wire is not None else 0
            self.account.shrink_to(CONNECTION_BYTES + unsent)

    def _change_state(self, state: ConnectionState) -> None:
        self.state = state
        self.first_swept_at = None

    def close_reason(self, now: float, limits: ConnectionLimits) -> ConnectionEnd | None:
        """Returns why a sweep should close the connection (idle or reading a request for too long), or None.

        The idle timeout is the larger of the one in force when the connection became idle, which is the only one that
        its client knows, and the current one. The first sweep that finds a state never closes the connection: a request
        that arrived complete while this process was paused starts before the next sweep.
        """
        if self.state is ConnectionState.SERVING:
            return None
        if self.has_unsent_bytes:  # the client may read as slowly as it likes, unless memory is short
            return None
        if self.first_swept_at is None:
            self.first_swept_at = now
            return None
        if now - self.first_swept_at > max(self.idle_limit, limits.idle_timeout):
            if not self.is_resting:
                return ConnectionEnd.SLOW_HEAD
            return ConnectionEnd.IDLE if self.may_be_closed else None
        if self.request_started_at is not None and now - self.request_started_at > limits.header_timeout:
            return ConnectionEnd.SLOW_HEAD
        return None

    def pause(self) -> None:
        """Stops reading: bytes that arrive from now on stay unread, so that a close resets the connection."""
        if self.transport is not None:
            self.transport.pause_reading()

    def resume(self) -> None:
        """Resumes reading after `pause`."""
        if self.transport is not None:
            self.transport.resume_reading()

    def end(self, reason: ConnectionEnd) -> None:
        """Closes the connection after flushing written bytes; a request that was read but not started is dropped.

        A client that does not read the rest of an answer that was cut off is not waited for.
        """
        self.ended_by = reason
        if self.transport is None:
            return
        self.transport.close()
        if reason is ConnectionEnd.ABORTED and self.has_unsent_bytes:
            self._loop.call_later(ABORT_FLUSH_S, self.abort, reason)

    def abort(self, reason: ConnectionEnd) -> None:
        """Closes the connection at once and drops what is not sent yet."""
        self.ended_by = reason
        if self.wire is not None:
            self.wire.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Reports the close before aiohttp cancels the handler of a request on the connection."""
        if self.ended_by is None:
            self.ended_by = ConnectionEnd.CLIENT
        self.on_end(self)
        self.wire = None
        self.slots.leave(self.account)
        self.writable.set()
        self._held_back = []
        super().connection_lost(exc)
        if self.state is not ConnectionState.SERVING:
            self.account.close()

    def handle_error(
        self,
        request: BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> StreamResponse:
        """Builds the JSON response to a request that could not be parsed, or whose handler failed."""
        plain = super().handle_error(request, status, exc, message)
        answer = Response(
            status=status,
            body=error_body("malformed" if status < 500 else "inner", plain.reason),
            content_type="application/json",
        )
        answer.force_close()
        return answer


class ConnectionFactory(Server):
    """Protocol factory of `ClientConnection`s; `limits` returns the current limits."""

    def __init__(
        self,
        handler: Any,
        on_end: Callable[[ClientConnection], None],
        limits: Callable[[], ConnectionLimits],
        budget: MemoryBudget,
        slots: ConnectionSlots,
        **options: Any,
    ) -> None:
        super().__init__(handler, **options)
        self.on_end = on_end
        self.limits = limits
        self.budget = budget
        self.slots = slots

    def open_connections(self) -> list[ClientConnection]:
        """Returns the connections that are currently open."""
        return [cast(ClientConnection, connection) for connection in self.connections if connection.transport]

    def __call__(self) -> ClientConnection:
        """Creates the protocol of a new connection, with the current idle timeout."""
        return ClientConnection(
            self, self.on_end, self.limits, self.budget, self.slots, loop=self._loop, **self._kwargs
        )
