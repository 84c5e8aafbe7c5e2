"""HTTP client for an edge's forwarded requests: sends `ForwardRequest` effects and emits events for their progress."""

import asyncio
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
from sumachook.memory.account import Account, Purpose
from sumachook.memory.budget import MemoryBudget
from sumachook.transport.answer_reader import (
    SERVER_RECEIVE_BUFFER_BYTES,
    WAITING_CALL_BYTES,
    AnswerReader,
    UnfinishedEvent,
)
from sumachook.transport.http_caller import HttpCaller
from sumachook.transport.piecewise_payload import request_payload
from sumachook.transport.server_connector import ServerConnector
from sumachook.transport.socket_buffers import limit_receive_buffer
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
    opened = socket.socket(family, kind, proto)
    limit_receive_buffer(opened, SERVER_RECEIVE_BUFFER_BYTES)
    return set_probe_intervals(opened)


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

    __slots__ = ("connector", "writable_of")

    def __init__(
        self,
        on_event: Callable[[Event], None],
        budget: MemoryBudget | None = None,
        writable_of: Callable[[CallId], asyncio.Event | None] | None = None,
    ) -> None:
        super().__init__(on_event, budget)
        self.writable_of = writable_of  # returns the event that is set while the client of a call reads fast enough
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
            data=request_payload(effect.body),
            timeout=timeout,
            allow_redirects=False,
        ) as answer:
            if not _is_forwardable(answer):
                raise aiohttp.ClientPayloadError("response head cannot be forwarded unchanged")
            call.note_keep_alive(answer.headers.get("Keep-Alive", ""))
            self.on_event(ResponseHeadReceived(call_id, answer.status, tuple(answer.headers.items())))
            await self._forward_body(effect, answer)
        return ResponseEnded(call_id) if _has_delimited_body(answer) else CallFailed(call_id, CallFailure.RESET)

    async def _forward_body(self, effect: ForwardRequest, answer: aiohttp.ClientResponse) -> None:
        with self._account(effect.call_id) as account:
            if answer.status < 300 and answer.headers.get("Content-Type", "").startswith("text/event-stream"):
                await self._relay(effect, answer, account)
                return
            async for chunk in AnswerReader(answer, account, MAX_BODY_BYTES, effect.total_timeout).chunks():
                self.on_event(ResponseChunkReceived(effect.call_id, chunk))

    async def _relay(self, effect: ForwardRequest, answer: aiohttp.ClientResponse, account: Account) -> None:
        """Relays a stream; reads no more of it while the client has not taken what was written."""
        writable = self.writable_of(effect.reader) if self.writable_of is not None else None
        size, unfinished = 0, UnfinishedEvent(account)
        while chunk := await answer.content.readany():
            size += len(chunk)
            if size > MAX_BODY_BYTES:
                raise aiohttp.ClientPayloadError("response body exceeds MAX_BODY_BYTES")
            unfinished.add(chunk)
            self.on_event(ResponseChunkReceived(effect.call_id, chunk))
            if writable is not None and not writable.is_set():
                account.hold(WAITING_CALL_BYTES, Purpose.SMALL)
                await writable.wait()
                account.release(WAITING_CALL_BYTES, Purpose.SMALL)
