"""Connections to servers: which are kept, and which calls may use one that was used before.

A server may forget a connection that rests, without a word; what is sent there next is reset, and may have run for all
that anybody can tell. A call that may not run twice therefore uses a connection only if it has just been used; any
other call may use every kept connection. A connection is watched while it rests: the kernel probes it every second,
which ends one whose path has gone silent. That a probe was answered proves nothing more: what answers it is the kernel
at the other end, or something on the way, and not the server that forgot the connection.
"""

import time
from collections import Counter
from collections.abc import Callable
from contextvars import ContextVar
from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum
from functools import partial
from typing import Any, cast

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection

from sumachook.host.effects import ConnectionReuse
from sumachook.transport.tcp_timeouts import unwatch, watch

# A connection that rests for so short a time was not forgotten yet.
JUST_USED = timedelta(seconds=0.25)
# Before a server closes a connection that rests, by its own word, it is used no more: the close may be on its way.
CLOSE_MARGIN = timedelta(seconds=1)
DEFAULT_MAX_KEPT = 8  # connections to one server


class NewConnectionReason(StrEnum):
    """Why a call got a new connection."""

    NONE_KEPT = "none kept"
    NOT_ALLOWED = "call may not reuse"
    UNSURE = "rested too long to be sure"
    EXPIRED = "rested longer than the server allows"


class ClosedConnectionReason(StrEnum):
    """Why a connection was not kept after a call."""

    NOT_REUSABLE = "answer or server ends it"
    SHARE_USED = "no more may be kept"


@dataclass(slots=True)
class ConnectingCall:
    """What a connector has to know of the call that asks it for a connection, and what it tells of it.

    `on_connected` is given whether the connection carried an earlier call; it comes ahead of the first byte.
    """

    on_connected: Callable[[bool], None]
    reuse: ConnectionReuse = ConnectionReuse.ALWAYS
    max_kept: int = DEFAULT_MAX_KEPT
    is_reused: bool = False
    protocol: "ServerProtocol | None" = None

    def may_use(self, rested: float) -> bool:
        """Whether a kept connection that has rested for so many seconds may carry this call."""
        if self.reuse is ConnectionReuse.WHEN_ALIVE:
            return rested <= JUST_USED.total_seconds()
        return self.reuse is ConnectionReuse.ALWAYS

    def note_keep_alive(self, header: str) -> None:
        """The server's `Keep-Alive` header: for how many seconds it keeps a connection that rests."""
        if self.protocol is not None and header:
            self.protocol.keep_alive_s = read_keep_alive(header)


CURRENT_CALL: ContextVar[ConnectingCall] = ContextVar("CURRENT_CALL")


def read_keep_alive(header: str) -> float | None:
    """For how many seconds a connection may rest, by the server's `Keep-Alive` header, or None where it says nothing.

    >>> read_keep_alive("timeout=5, max=100"), read_keep_alive("max=100"), read_keep_alive("timeout=x")
    (4.0, None, None)
    """
    for part in header.split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdecimal():
            return max(0.0, int(value) - CLOSE_MARGIN.total_seconds())
    return None


class ServerProtocol(ResponseHandler):
    """A connection to a server; bytes that come while no call is under way on it belong to no call, and end it."""

    is_idle = False
    is_watched = False
    keep_alive_s: float | None = None  # for how long it may rest, by the server's word
    max_kept = DEFAULT_MAX_KEPT

    def data_received(self, data: bytes) -> None:
        """Takes bytes for the call under way."""
        if self.is_idle and data:
            self.abort()
            return
        super().data_received(data)

    def set_watched(self, is_watched: bool) -> None:
        """Whether a path on which nothing is acknowledged ends the connection."""
        transport = self.transport
        if is_watched == self.is_watched or transport is None:
            return
        self.is_watched = is_watched
        connected = transport.get_extra_info("socket")
        if connected is not None:
            (watch if is_watched else unwatch)(connected)

    def has_expired(self, rested: float, default_s: float) -> bool:
        """Whether it has rested for longer than its server keeps it, or than the default."""
        return rested > (default_s if self.keep_alive_s is None else min(default_s, self.keep_alive_s))


class ServerConnector(aiohttp.TCPConnector):
    """Keeps connections by server; `CURRENT_CALL` says which of them a call may use.

    With `is_watching`, connections are watched while they rest and while a call that may use any of them is under way;
    a call that may not be sent again is never ended by a path that went silent.
    """

    def __init__(self, keep_alive: timedelta, is_watching: bool = False, **options: Any) -> None:
        super().__init__(limit=0, keepalive_timeout=keep_alive.total_seconds(), **options)
        self.default_keep_alive_s = keep_alive.total_seconds()
        self._factory = cast(partial[ResponseHandler], partial(ServerProtocol, loop=self._loop))
        self.is_watching = is_watching
        self.counts: Counter[StrEnum] = Counter()
        self.reused_count = 0

    async def connect(self, req: aiohttp.ClientRequest, traces: Any, timeout: aiohttp.ClientTimeout) -> Connection:
        """A kept connection that the call may use, or a new one."""
        call = CURRENT_CALL.get()
        connection = await super().connect(req, traces, timeout)
        protocol = call.protocol = cast(ServerProtocol, connection.protocol)
        protocol.is_idle = False
        protocol.max_kept = call.max_kept
        if self.is_watching:
            protocol.set_watched(call.reuse is ConnectionReuse.ALWAYS)
        call.on_connected(call.is_reused)
        return connection

    async def _get(self, key: Any, traces: Any) -> Connection | None:
        """The kept connection that was used last, if the call may use it."""
        call = CURRENT_CALL.get()
        reason = NewConnectionReason.NONE_KEPT
        kept = self._conns.get(key)
        now = time.monotonic()
        while kept:
            protocol, released_at = kept[-1]
            rested = now - released_at
            is_expired = cast(ServerProtocol, protocol).has_expired(rested, self.default_keep_alive_s)
            if is_expired or not protocol.is_connected():
                reason = NewConnectionReason.EXPIRED if is_expired else NewConnectionReason.NONE_KEPT
                kept.pop()
                protocol.close()
                continue
            if call.may_use(rested):
                kept.pop()
                self._acquired.add(protocol)
                call.is_reused = True
                self.reused_count += 1
                self._forget_empty(key)
                return Connection(self, key, protocol, self._loop)
            is_barred = call.reuse is ConnectionReuse.NEVER
            reason = NewConnectionReason.NOT_ALLOWED if is_barred else NewConnectionReason.UNSURE
            break
        self._forget_empty(key)
        self.counts[reason] += 1
        return None

    def _forget_empty(self, key: Any) -> None:
        if key in self._conns and not self._conns[key]:
            del self._conns[key]

    def _release(self, key: Any, protocol: Any, *, should_close: bool = False) -> None:
        is_ending = should_close or protocol.should_close
        if is_ending:
            self.counts[ClosedConnectionReason.NOT_REUSABLE] += 1
        elif len(self._conns.get(key, ())) >= protocol.max_kept:
            self.counts[ClosedConnectionReason.SHARE_USED] += 1
            is_ending = True
        elif self.is_watching:
            protocol.set_watched(True)
        super()._release(key, protocol, should_close=is_ending)
        protocol.is_idle = True

    def describe(self) -> dict[str, int]:
        """How many calls used a kept connection, and why others did not, since the start."""
        return {"reused": self.reused_count, **{str(reason): count for reason, count in self.counts.items()}}
