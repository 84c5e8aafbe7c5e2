"""HTTP client for an edge's forwarded requests: sends `ForwardRequest` effects and emits events for their progress."""

import re
import socket
from collections.abc import Callable
from datetime import timedelta
from functools import partial
from typing import Any

import aiohttp
from multidict import CIMultiDict
from yarl import URL

from sumachook.calls.run_status import CallFailure
from sumachook.host.effects import ForwardRequest
from sumachook.host.events import (
    CallEvent,
    CallFailed,
    CallId,
    Event,
    ResponseChunkReceived,
    ResponseEnded,
    ResponseHeadReceived,
)
from sumachook.transport.http_caller import HttpCaller
from sumachook.transport.server_connector import ServerConnector
from sumachook.transport.tcp_timeouts import set_probe_intervals

KEEP_ALIVE = timedelta(seconds=8)
MAX_BODY_BYTES = 16 << 20
TIMEOUT_MARGIN = timedelta(seconds=1)  # added to the call's timeout, which the state machine enforces itself
MAX_FIELD_BYTES = 32 << 10
STATUSES_WITHOUT_BODY = (204, 304)
# control characters, and surrogates that stand for invalid UTF-8, cannot be forwarded unchanged
UNSENDABLE = re.compile("[\\x00-\\x08\\x0a-\\x1f\\x7f\\ud800-\\udfff]")


def _socket_with_probes(address_info: Any) -> socket.socket:
    family, kind, proto, *_ = address_info
    return set_probe_intervals(socket.socket(family, kind, proto))


def _has_delimited_body(answer: aiohttp.ClientResponse) -> bool:
    """Whether the response states where its body ends; a body ended only by the connection's close may be truncated."""
    if answer.method == "HEAD" or answer.status in STATUSES_WITHOUT_BODY:
        return True
    codings = [coding.lower() for coding in answer.headers.getall("Transfer-Encoding", ())]
    return codings == ["chunked"] if codings else "Content-Length" in answer.headers


def _is_forwardable(answer: aiohttp.ClientResponse) -> bool:
    """Whether the head can be forwarded unchanged and, below status 300, the end of the body can be detected."""
    has_valid_headers = not any(
        UNSENDABLE.search(name) or UNSENDABLE.search(value) for name, value in answer.headers.items()
    )
    return has_valid_headers and (answer.status >= 300 or _has_delimited_body(answer))


class StreamingClient(HttpCaller):
    """Runs each `ForwardRequest` in its own task and emits the response as it arrives.

    `ForwardRequest.reuse` determines which kept connections a call may use. Only a call that may use any of them is
    ended when TCP acknowledgements stop, since it can be retried on another server. For all others, an unresponsive
    server or network path is no reason to end a response early.
    """

    __slots__ = ("connector",)

    def __init__(self, on_event: Callable[[Event], None]) -> None:
        super().__init__(on_event)
        self.connector: ServerConnector | None = None

    def _open_sessions(self) -> tuple[aiohttp.ClientSession, ...]:
        self.connector = ServerConnector(KEEP_ALIVE, is_watching=True, socket_factory=_socket_with_probes)
        options: dict[str, Any] = {
            "max_line_size": MAX_FIELD_BYTES,
            "max_field_size": MAX_FIELD_BYTES,
            "skip_auto_headers": ("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
        }
        return (self._session(self.connector, **options),)

    def forward(self, effect: ForwardRequest) -> None:
        """Starts a call; emits `CallFailed` at once if the client is not running."""
        if not self.is_open:
            self.on_event(CallFailed(effect.call_id, CallFailure.REFUSED))
            return
        self._start(effect.call_id, partial(self._forward, effect))

    async def _forward(self, effect: ForwardRequest) -> CallEvent:
        call_id = effect.call_id
        timeout = aiohttp.ClientTimeout(
            total=(effect.total_timeout + TIMEOUT_MARGIN).total_seconds(),
            sock_connect=effect.connect_timeout.total_seconds(),
        )
        call = self._begin_connecting(call_id, effect.reuse, effect.max_kept_connections)
        async with self.sessions[0].request(
            effect.method,
            URL(effect.url, encoded=True),
            headers=CIMultiDict(effect.headers),
            data=effect.body or None,
            timeout=timeout,
            allow_redirects=False,
        ) as answer:
            if not _is_forwardable(answer):
                raise aiohttp.ClientPayloadError("response head cannot be forwarded unchanged")
            call.note_keep_alive(answer.headers.get("Keep-Alive", ""))
            self.on_event(ResponseHeadReceived(call_id, answer.status, tuple(answer.headers.items())))
            await self._forward_body(call_id, answer)
        return ResponseEnded(call_id) if _has_delimited_body(answer) else CallFailed(call_id, CallFailure.RESET)

    async def _forward_body(self, call_id: CallId, answer: aiohttp.ClientResponse) -> None:
        size = 0
        while chunk := await answer.content.readany():
            size += len(chunk)
            if size > MAX_BODY_BYTES:
                raise aiohttp.ClientPayloadError("response body exceeds MAX_BODY_BYTES")
            self.on_event(ResponseChunkReceived(call_id, chunk))
