"""HTTP client of a process: sends the requests of `Fetch` effects and emits events for their progress."""

import socket
import struct
from datetime import timedelta
from enum import IntEnum
from functools import partial
from typing import Any

import aiohttp
from assel import Parser

from sumachook.calls.run_status import CallFailure
from sumachook.host.effects import ConnectionReuse, Fetch
from sumachook.host.events import (
    CallEvent,
    CallFailed,
    CallId,
    ResponseEnded,
    ResponseHeadReceived,
    ResponseReceived,
    ServerEventReceived,
)
from sumachook.transport.answer_reader import AnswerReader, UnfinishedEvent
from sumachook.transport.http_caller import HttpCaller
from sumachook.transport.piecewise_payload import request_payload
from sumachook.transport.server_connector import ServerConnector

MAX_BODY_BYTES = 8 << 20  # far above the size of the longest report of a model server
KEEP_ALIVE = timedelta(seconds=5)
EVENT_STREAM_MODE = "events"  # mode of a call whose response is a stream of server-sent events
LOOKUP, ORDER = "lookup", "provision"  # first element of the call ids of lookups, and of the provisioner
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER enabled with a timeout of 0, so that close() sends a reset


def _resetting_socket(address: Any) -> socket.socket:
    """Creates a socket that discards undelivered bytes on close, so that an abandoned provisioning order is not
    executed after a network partition heals.
    """
    family, kind, protocol, *_ = address
    opened = socket.socket(family, kind, protocol)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    return opened


class Pool(IntEnum):
    """Connection pool of a call; pools never share connections."""

    FRESH = 0
    LOOKUPS = 1
    REPORTS = 2
    ORDERS = 3


def _pool_of(call_id: CallId, method: str) -> Pool:
    if call_id[0] == LOOKUP:
        return Pool.LOOKUPS
    if call_id[0] == ORDER:
        return Pool.REPORTS if method == "GET" else Pool.ORDERS
    return Pool.FRESH


class HttpClient(HttpCaller):
    """Runs each `Fetch` in its own task; emits `RequestSent` before the first byte may be sent.

    Each prompt and each order of the placer gets a new connection. Lookups reuse connections, but never share one with
    a prompt. The provisioner's orders, which contain the expected count of orders, reuse connections too, in a pool
    separate from the reports of the same server: its responses carry no id, so only the connection tells the response
    to an order from a report. An order whose `Fetch` forbids reuse gets a new connection, on which no surplus response
    to an earlier order can arrive. The connection of an abandoned order is reset.
    """

    __slots__ = ()

    def _open_sessions(self) -> tuple[aiohttp.ClientSession, ...]:
        connectors = {
            Pool.FRESH: ServerConnector(KEEP_ALIVE),
            Pool.LOOKUPS: ServerConnector(KEEP_ALIVE),
            Pool.REPORTS: ServerConnector(KEEP_ALIVE),
            Pool.ORDERS: ServerConnector(KEEP_ALIVE, socket_factory=_resetting_socket),
        }
        return tuple(self._session(connectors[pool]) for pool in Pool)

    def fetch(self, effect: Fetch) -> None:
        """Starts a call; emits `CallFailed` at once if the client is not running."""
        if not self.is_open:
            self.on_event(CallFailed(effect.call_id, CallFailure.REFUSED))
            return
        self._start(effect.call_id, partial(self._fetch, effect))

    async def _fetch(self, effect: Fetch) -> CallEvent:
        call_id = effect.call_id
        pool = _pool_of(call_id, effect.method)
        session = self.sessions[pool]
        if pool is Pool.FRESH:
            self._begin_connecting(call_id, ConnectionReuse.NEVER, max_kept=0)
        else:
            self._begin_connecting(call_id, effect.reuse)
        timeout = aiohttp.ClientTimeout(
            total=effect.total_timeout.total_seconds(), sock_connect=effect.connect_timeout.total_seconds()
        )
        async with session.request(
            effect.method,
            effect.url,
            headers=effect.headers,
            data=request_payload(effect.body),
            timeout=timeout,
            allow_redirects=False,
        ) as answer:
            headers = {name.lower(): value for name, value in answer.headers.items()}
            if effect.mode == EVENT_STREAM_MODE and headers.get("content-type", "").startswith("text/event-stream"):
                self.on_event(ResponseHeadReceived(call_id, answer.status, headers))
                await self._forward_events(call_id, answer)
                return ResponseEnded(call_id)
            body = await self._read_body(effect, answer)
            return ResponseReceived(call_id, answer.status, headers, body)

    async def _read_body(self, effect: Fetch, answer: aiohttp.ClientResponse) -> bytes:
        """Reads the complete body; raises `ClientPayloadError` if it exceeds `MAX_BODY_BYTES`."""
        with self._account(effect.call_id) as account:
            reader = AnswerReader(answer, account, MAX_BODY_BYTES, effect.total_timeout)
            return b"".join([chunk async for chunk in reader.chunks()])

    async def _forward_events(self, call_id: CallId, answer: aiohttp.ClientResponse) -> None:
        parser = Parser()
        with self._account(call_id) as account:
            unfinished = UnfinishedEvent(account)
            async for chunk in answer.content.iter_any():
                unfinished.add(chunk)
                for event in parser.receive_bytes(chunk):
                    self.on_event(ServerEventReceived(call_id, event.id, event.data))
