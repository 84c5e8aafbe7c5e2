"""The HTTP client of an edge's forwarded requests: effects become requests, and what happens becomes events."""

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
LAST_RESORT = timedelta(seconds=1)  # beyond the call's time-out, which the machine keeps itself
MAX_FIELD_BYTES = 32 << 10
STATUSES_WITHOUT_BODY = (204, 304)
# control characters, and bytes that are no UTF-8: they cannot be passed on as they came
UNSENDABLE = re.compile("[\\x00-\\x08\\x0a-\\x1f\\x7f\\ud800-\\udfff]")


def _probed_socket(found: Any) -> socket.socket:
    family, kind, proto, *_ = found
    return set_probe_intervals(socket.socket(family, kind, proto))


def _has_end(answer: aiohttp.ClientResponse) -> bool:
    """Whether its end can be told from a cut: a body that only the connection's end closes may be any part of the
    whole.
    """
    if answer.method == "HEAD" or answer.status in STATUSES_WITHOUT_BODY:
        return True
    codings = [coding.lower() for coding in answer.headers.getall("Transfer-Encoding", ())]
    return codings == ["chunked"] if codings else "Content-Length" in answer.headers


def _is_passable(answer: aiohttp.ClientResponse) -> bool:
    """Whether its head can be handed on as it is, with an end that shows."""
    is_proper = not any(UNSENDABLE.search(name) or UNSENDABLE.search(value) for name, value in answer.headers.items())
    return is_proper and (answer.status >= 300 or _has_end(answer))


class StreamingClient(HttpCaller):
    """Runs each `ForwardRequest` in its own task and passes the answer on while it comes.

    `ForwardRequest.reuse` says which kept connections a call may use. A path on which nothing is acknowledged ends a
    call that may use any of them, since it can go on elsewhere, and no other: the silence of a server, or of the way to
    it, is no reason to end an answer sooner.
    """

    __slots__ = ("connector",)

    def __init__(self, on_event: Callable[[Event], None]) -> None:
        super().__init__(on_event)
        self.connector: ServerConnector | None = None

    def _open_sessions(self) -> tuple[aiohttp.ClientSession, ...]:
        self.connector = ServerConnector(KEEP_ALIVE, is_watching=True, socket_factory=_probed_socket)
        options: dict[str, Any] = {
            "max_line_size": MAX_FIELD_BYTES,
            "max_field_size": MAX_FIELD_BYTES,
            "skip_auto_headers": ("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
        }
        return (self._session(self.connector, **options),)

    def forward(self, effect: ForwardRequest) -> None:
        """Begins a call, or says at once that it cannot be made."""
        if not self.is_open:
            self.on_event(CallFailed(effect.call_id, CallFailure.REFUSED))
            return
        self._start(effect.call_id, partial(self._forward, effect))

    async def _forward(self, effect: ForwardRequest) -> CallEvent:
        call_id = effect.call_id
        timeout = aiohttp.ClientTimeout(
            total=(effect.total_timeout + LAST_RESORT).total_seconds(),
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
            if not _is_passable(answer):
                raise aiohttp.ClientPayloadError("a head that cannot be handed on")
            call.note_keep_alive(answer.headers.get("Keep-Alive", ""))
            self.on_event(ResponseHeadReceived(call_id, answer.status, tuple(answer.headers.items())))
            await self._pass_body_on(call_id, answer)
        return ResponseEnded(call_id) if _has_end(answer) else CallFailed(call_id, CallFailure.RESET)

    async def _pass_body_on(self, call_id: CallId, answer: aiohttp.ClientResponse) -> None:
        size = 0
        while chunk := await answer.content.readany():
            size += len(chunk)
            if size > MAX_BODY_BYTES:
                raise aiohttp.ClientPayloadError("too long")
            self.on_event(ResponseChunkReceived(call_id, chunk))
