"""One client's connection to an HTTP server of this process, and what is known of its end."""

from collections.abc import Callable
from typing import Any, cast

import msgspec
from aiohttp.web_protocol import RequestHandler
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, StreamResponse
from aiohttp.web_server import Server

from sumachook.host.events import ConnectionEnd


def error_body(name: str, reason: str) -> bytes:
    """The JSON body of an answer to what never reached the machine."""
    return msgspec.json.encode({"fault": {"class": name, "reason": reason, "tries": 0, "run": "no"}})


class ClientConnection(RequestHandler):
    """Reads requests of one client; what is no HTTP gets its error in JSON.

    `head_since` is the loop's time in seconds at which a request began to come in; `ended_by` says what ended the
    connection, as soon as this node ends it.
    """

    __slots__ = ("head_since", "ended_by", "on_end")

    def __init__(self, manager: Any, on_end: Callable[["ClientConnection"], None], **options: Any) -> None:
        super().__init__(manager, **options)
        self.head_since: float | None = None
        self.ended_by: ConnectionEnd | None = None
        self.on_end = on_end

    def data_received(self, data: bytes) -> None:
        """Takes bytes of the client."""
        if self.head_since is None:
            self.head_since = self._loop.time()
        super().data_received(data)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Tells of the end before the request on it, if there is one, is called off."""
        if self.ended_by is None:
            self.ended_by = ConnectionEnd.CLIENT
        self.on_end(self)
        super().connection_lost(exc)

    def end(self, reason: ConnectionEnd) -> None:
        """Closes the connection; what was written goes out."""
        self.ended_by = reason
        if self.transport is not None:
            self.transport.close()

    def pause(self) -> None:
        """Reads no more for now: what comes stays unread."""
        if self.transport is not None:
            self.transport.pause_reading()

    def resume(self) -> None:
        """Reads on."""
        if self.transport is not None:
            self.transport.resume_reading()

    def has_slow_head(self, now: float, header_timeout: float) -> bool:
        """Whether a request's head has been coming in for longer than this, in seconds."""
        return self.head_since is not None and now - self.head_since > header_timeout

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
    """The protocol factory of `ClientConnection`s."""

    def __init__(self, handler: Any, on_end: Callable[[ClientConnection], None], **options: Any) -> None:
        super().__init__(handler, **options)
        self.on_end = on_end

    def open_connections(self) -> list[ClientConnection]:
        """Those that have been made and are not lost."""
        return [cast(ClientConnection, connection) for connection in self.connections if connection.transport]

    def __call__(self) -> ClientConnection:
        """A handler for a new connection."""
        return ClientConnection(self, self.on_end, loop=self._loop, **self._kwargs)
