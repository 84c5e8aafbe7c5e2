"""One client's connection to an HTTP server of this process: what is on it now, and what ends it.

The connection itself knows whether a request is on it, from the first byte that is read to the last byte of the answer.
Whoever would close it asks the connection, and whoever would handle a request asks it too, so that between the reading
of a request and the start of its handler, some turns of the event loop later, no third party can decide otherwise. What
lies unread in the kernel's buffer is on the connection as well: a close would reset it.
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
    """The JSON body of an answer to what never reached the machine."""
    return msgspec.json.encode({"fault": {"class": name, "reason": reason, "tries": 0, "run": "no"}})


class ConnectionState(Enum):
    """What is on a client's connection."""

    RESTING = "nothing: each request that was read is answered"
    READING = "bytes of a request whose handler has not begun"
    SERVING = "a request that is handled, or whose answer is being written"


class ClientConnection(RequestHandler):
    """Reads requests of one client; what is no HTTP gets its error in JSON.

    `head_since` is the loop's time in seconds at which the first byte of a request was read that is not yet handled;
    `idle_limit` is for how many seconds the connection may rest by the limit that its client knows; `swept_since` is
    when a sweep first found it in its present state; `ended_by` says what ended the connection, as soon as this node
    ends it.
    """

    __slots__ = ("state", "head_since", "idle_limit", "swept_since", "ended_by", "on_end")

    def __init__(
        self, manager: Any, on_end: Callable[["ClientConnection"], None], idle_limit: float, **options: Any
    ) -> None:
        super().__init__(manager, **options)
        self.state = ConnectionState.RESTING
        self.head_since: float | None = None
        self.idle_limit = idle_limit
        self.swept_since: float | None = None
        self.ended_by: ConnectionEnd | None = None
        self.on_end = on_end

    @property
    def is_resting(self) -> bool:
        """Whether nothing of a request is on it."""
        return self.state is ConnectionState.RESTING

    @property
    def may_be_ended(self) -> bool:
        """Whether nothing of a request is on it, nor lies unread in the kernel, as when a turn of the loop was long.

        What comes in later crosses the close on its way; it is not read, and its client may send it again.
        """
        return self.is_resting and not self.unread_byte_count

    @property
    def unread_byte_count(self) -> int:
        """How many bytes wait in the kernel to be read."""
        connected = self.transport.get_extra_info("socket") if self.transport is not None else None
        return 0 if connected is None else unread_bytes(connected)

    @property
    def has_unsent_bytes(self) -> bool:
        """Whether something that was written waits for its client to read."""
        return self.transport is not None and self.transport.get_write_buffer_size() > 0

    def data_received(self, data: bytes) -> None:
        """Takes bytes of the client."""
        if self.head_since is None:
            self.head_since = self._loop.time()
        if self.is_resting:
            self._change_state(ConnectionState.READING)
        super().data_received(data)

    def begin_request(self) -> bool:
        """Whether the request that was read may be handled: not on a connection that this node has ended.

        Its client gets no answer, so the request must not be passed on: the client may then send it again.
        """
        if self.ended_by is not None:
            return False
        self._change_state(ConnectionState.SERVING)
        return True

    def note_request_read(self) -> None:
        """The body is complete: what is read from now on belongs to another request."""
        self.head_since = None

    def end_request(self, idle_limit: float) -> None:
        """The answer is written; the connection may rest for so many seconds."""
        self.idle_limit = idle_limit
        self._change_state(ConnectionState.RESTING if self.head_since is None else ConnectionState.READING)

    def _change_state(self, state: ConnectionState) -> None:
        self.state = state
        self.swept_since = None

    def reason_to_end(self, now: float, limits: ConnectionLimits) -> ConnectionEnd | None:
        """Why a sweep should end it: it rests, or its request is coming in, for too long.

        It may rest as long as the limit in force when it began to, or a longer one since: its client knows no other
        yet. The first sweep that finds it so never ends it: a request that came in whole while this process stood still
        begins before the next one.
        """
        if self.state is ConnectionState.SERVING:
            return None
        if self.swept_since is None:
            self.swept_since = now
            return None
        if now - self.swept_since > max(self.idle_limit, limits.idle_timeout):
            if not self.is_resting:
                return ConnectionEnd.SLOW_HEAD
            return ConnectionEnd.IDLE if self.may_be_ended else None
        if self.head_since is not None and now - self.head_since > limits.header_timeout:
            return ConnectionEnd.SLOW_HEAD
        return None

    def pause(self) -> None:
        """Reads no more: what comes stays unread, and its sender can tell so."""
        if self.transport is not None:
            self.transport.pause_reading()

    def resume(self) -> None:
        """Reads on."""
        if self.transport is not None:
            self.transport.resume_reading()

    def end(self, reason: ConnectionEnd) -> None:
        """Closes the connection; what was written goes out, a request that was read but not begun is not handled."""
        self.ended_by = reason
        if self.transport is not None:
            self.transport.close()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Tells of the end before the request on it, if there is one, is called off."""
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
        """The answer to what could not be read, or could not be handled."""
        plain = super().handle_error(request, status, exc, message)
        answer = Response(
            status=status,
            body=error_body("malformed" if status < 500 else "inner", plain.reason),
            content_type="application/json",
        )
        answer.force_close()
        return answer


class ConnectionFactory(Server):
    """The protocol factory of `ClientConnection`s; `idle_limit` gives the limit in force, in seconds."""

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
        """Those that have been made and are not lost."""
        return [cast(ClientConnection, connection) for connection in self.connections if connection.transport]

    def __call__(self) -> ClientConnection:
        """A handler for a new connection."""
        return ClientConnection(self, self.on_end, self.idle_limit(), loop=self._loop, **self._kwargs)
