"""A client's connection to an HTTP server of this process: the state of its request, and why it is closed.

The connection tracks its request from the first byte read to the last byte of the response. Both code that closes a
connection and code that starts a request handler ask the connection first. A handler starts some event loop iterations
after its request was read, and in between the connection cannot be closed by mistake. Bytes unread in the kernel's
buffer count as a request too, since a close would reset them.
"""

from collections.abc import Callable
from enum import Enum
from typing import Any, cast

import msgspec
from aiohttp.web_protocol import RequestHandler
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, StreamResponse
from aiohttp.web_server import Server

from sumachook.host.events import ConnectionEnd
from sumachook.transport.connection_limits import ConnectionLimits
from sumachook.transport.socket_buffers import unread_bytes


def error_body(name: str, reason: str) -> bytes:
    """Returns the JSON body of an error response to a request that never reached the state machine."""
    return msgspec.json.encode({"fault": {"class": name, "reason": reason, "tries": 0, "run": "no"}})


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
    node closes it.
    """

    __slots__ = ("state", "request_started_at", "idle_limit", "first_swept_at", "ended_by", "on_end")

    def __init__(
        self, manager: Any, on_end: Callable[["ClientConnection"], None], idle_limit: float, **options: Any
    ) -> None:
        super().__init__(manager, **options)
        self.state = ConnectionState.RESTING
        self.request_started_at: float | None = None
        self.idle_limit = idle_limit
        self.first_swept_at: float | None = None
        self.ended_by: ConnectionEnd | None = None
        self.on_end = on_end

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
        return self.transport is not None and self.transport.get_write_buffer_size() > 0

    def data_received(self, data: bytes) -> None:
        """Passes received bytes to the HTTP parser; the first ones mark the start of a request."""
        if self.request_started_at is None:
            self.request_started_at = self._loop.time()
        if self.is_resting:
            self._change_state(ConnectionState.READING)
        super().data_received(data)

    def begin_request(self) -> bool:
        """Starts handling the request that was read, or returns False if this node has closed the connection.

        In that case the client gets no response, so the request must not be forwarded: the client may resend it.
        """
        if self.ended_by is not None:
            return False
        self._change_state(ConnectionState.SERVING)
        return True

    def mark_request_read(self) -> None:
        """Records that the body is complete: bytes read from now on belong to another request."""
        self.request_started_at = None

    def end_request(self, idle_limit: float) -> None:
        """Records that the response is written; the connection may then be idle for `idle_limit` seconds."""
        self.idle_limit = idle_limit
        self._change_state(ConnectionState.RESTING if self.request_started_at is None else ConnectionState.READING)

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
        """Closes the connection after flushing written bytes; a request that was read but not started is dropped."""
        self.ended_by = reason
        if self.transport is not None:
            self.transport.close()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Reports the close before aiohttp cancels the handler of a request on the connection."""
        if self.ended_by is None:
            self.ended_by = ConnectionEnd.CLIENT
        self.on_end(self)
        super().connection_lost(exc)

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
    """Protocol factory of `ClientConnection`s; `idle_limit` returns the current idle timeout in seconds."""

    def __init__(
        self,
        handler: Any,
        on_end: Callable[[ClientConnection], None],
        idle_limit: Callable[[], float],
        **options: Any,
    ) -> None:
        super().__init__(handler, **options)
        self.on_end = on_end
        self.idle_limit = idle_limit

    def open_connections(self) -> list[ClientConnection]:
        """Returns the connections that are currently open."""
        return [cast(ClientConnection, connection) for connection in self.connections if connection.transport]

    def __call__(self) -> ClientConnection:
        """Creates the protocol of a new connection, with the current idle timeout."""
        return ClientConnection(self, self.on_end, self.idle_limit(), loop=self._loop, **self._kwargs)
