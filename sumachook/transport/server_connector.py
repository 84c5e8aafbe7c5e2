"""Connection pool to upstream servers: which connections are kept, and which calls may reuse one.

A server may drop an idle connection without notice. The next request on it is then reset, and the client cannot tell
whether it ran. A call that must not run twice therefore reuses a connection only if it was used a moment ago; any other
call may reuse every kept connection. An idle connection is watched by TCP keep-alive: the kernel probes it every second
and closes it when probes go unanswered. An answered probe is no proof that the server still knows the connection, since
the answer comes from the other host's kernel or a middlebox.
"""

import asyncio
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
from sumachook.transport.socket_buffers import limit_reads
from sumachook.transport.tcp_timeouts import disable_tcp_timeouts, enable_tcp_timeouts

# A server is assumed not to have dropped a connection that was idle for no longer than this.
MAX_SAFE_IDLE_TIME = timedelta(seconds=0.25)
# A connection is not reused within this time before the server's announced idle timeout: its close may be in transit.
CLOSE_MARGIN = timedelta(seconds=1)
DEFAULT_MAX_KEPT = 8  # maximum number of idle connections per server


class NewConnectionReason(StrEnum):
    """Reason why a call did not reuse a connection."""

    NONE_KEPT = "none kept"
    NOT_ALLOWED = "call may not reuse"
    IDLE_TOO_LONG = "rested too long to be sure"
    EXPIRED = "rested longer than the server allows"


class ClosedConnectionReason(StrEnum):
    """Reason why a connection was closed after a call."""

    NOT_REUSABLE = "answer or server ends it"
    LIMIT_REACHED = "no more may be kept"


@dataclass(slots=True)
class ConnectingCall:
    """A call that requests a connection: its reuse rules for the connector, and the connection that it got.

    `on_connected` is called before the first byte is sent, with whether the connection carried an earlier call.
    """

    on_connected: Callable[[bool], None]
    reuse: ConnectionReuse = ConnectionReuse.ALWAYS
    max_kept: int = DEFAULT_MAX_KEPT
    is_reused: bool = False
    protocol: "ServerProtocol | None" = None

    def may_use(self, idle_seconds: float) -> bool:
        """Whether this call may reuse a connection that was idle for the given number of seconds."""
        if self.reuse is ConnectionReuse.WHEN_ALIVE:
            return idle_seconds <= MAX_SAFE_IDLE_TIME.total_seconds()
        return self.reuse is ConnectionReuse.ALWAYS

    def note_keep_alive(self, header: str) -> None:
        """Stores the idle timeout that the server announces in its `Keep-Alive` header."""
        if self.protocol is not None and header:
            self.protocol.keep_alive_s = read_keep_alive(header)


CURRENT_CALL: ContextVar[ConnectingCall] = ContextVar("CURRENT_CALL")


def read_keep_alive(header: str) -> float | None:
    """Returns the seconds that a connection may be idle by the `Keep-Alive` header, or None if it has no timeout.

    >>> read_keep_alive("timeout=5, max=100"), read_keep_alive("max=100"), read_keep_alive("timeout=x")
    (4.0, None, None)
    """
    for part in header.split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdecimal():
            return max(0.0, int(value) - CLOSE_MARGIN.total_seconds())
    return None


class ServerProtocol(ResponseHandler):
    """Connection to an upstream server; bytes that arrive while no call uses the connection close it."""

    is_idle = False
    is_watched = False
    keep_alive_s: float | None = None  # idle timeout announced by the server
    max_kept = DEFAULT_MAX_KEPT

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Limits the bytes that one read of the connection returns."""
        super().connection_made(transport)
        limit_reads(transport)

    def data_received(self, data: bytes) -> None:
        """Passes received bytes to the current call; aborts the connection if there is none."""
        if self.is_idle and data:
            self.abort()
            return
        super().data_received(data)

    def set_watched(self, is_watched: bool) -> None:
        """Switches the TCP timeouts that close the connection when the other host acknowledges nothing."""
        transport = self.transport
        if is_watched == self.is_watched or transport is None:
            return
        self.is_watched = is_watched
        connected = transport.get_extra_info("socket")
        if connected is not None:
            (enable_tcp_timeouts if is_watched else disable_tcp_timeouts)(connected)

    def has_expired(self, idle_seconds: float, default_s: float) -> bool:
        """Whether the connection was idle for longer than its server or the default allows."""
        return idle_seconds > (default_s if self.keep_alive_s is None else min(default_s, self.keep_alive_s))


class ServerConnector(aiohttp.TCPConnector):
    """Keeps idle connections per server; `CURRENT_CALL` determines which of them a call may reuse.

    With `is_watching`, TCP timeouts are enabled on idle connections and during calls that may reuse any connection.
    They are disabled during a call that must not be resent, so that an unresponsive network path never ends it.
    """

    def __init__(self, keep_alive: timedelta, is_watching: bool = False, **options: Any) -> None:
        super().__init__(limit=0, keepalive_timeout=keep_alive.total_seconds(), **options)
        self.default_keep_alive_s = keep_alive.total_seconds()
        self._factory = cast(partial[ResponseHandler], partial(ServerProtocol, loop=self._loop))
        self.is_watching = is_watching
        self.counts: Counter[StrEnum] = Counter()
        self.reused_count = 0

    async def connect(self, req: aiohttp.ClientRequest, traces: Any, timeout: aiohttp.ClientTimeout) -> Connection:
        """Returns a kept connection that the call may reuse, or a new one."""
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
        """Returns the most recently used idle connection if the call may reuse it; closes expired ones."""
        call = CURRENT_CALL.get()
        reason = NewConnectionReason.NONE_KEPT
        kept = self._conns.get(key)
        now = time.monotonic()
        while kept:
            protocol, released_at = kept[-1]
            idle_seconds = now - released_at
            is_expired = cast(ServerProtocol, protocol).has_expired(idle_seconds, self.default_keep_alive_s)
            if is_expired or not protocol.is_connected():
                reason = NewConnectionReason.EXPIRED if is_expired else NewConnectionReason.NONE_KEPT
                kept.pop()
                protocol.close()
                continue
            if call.may_use(idle_seconds):
                kept.pop()
                self._acquired.add(protocol)
                call.is_reused = True
                self.reused_count += 1
                self._forget_empty(key)
                return Connection(self, key, protocol, self._loop)
            is_reuse_forbidden = call.reuse is ConnectionReuse.NEVER
            reason = NewConnectionReason.NOT_ALLOWED if is_reuse_forbidden else NewConnectionReason.IDLE_TOO_LONG
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
            self.counts[ClosedConnectionReason.LIMIT_REACHED] += 1
            is_ending = True
        elif self.is_watching:
            protocol.set_watched(True)
        super()._release(key, protocol, should_close=is_ending)
        protocol.is_idle = True

    def describe(self) -> dict[str, int]:
        """Returns counts since the start: reused connections, and new or closed ones by reason."""
        return {"reused": self.reused_count, **{str(reason): count for reason, count in self.counts.items()}}
