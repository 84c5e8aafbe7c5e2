"""What a state machine asks its host to do."""

from datetime import timedelta
from enum import StrEnum
from typing import Any

import msgspec

from sumachook.host.events import CallId


class Effect(msgspec.Struct, frozen=True):
    """Base of all effects that a host carries out."""


class Send(Effect, frozen=True):
    """Send a message to the node at this address over a connection: in order, lost only with the connection."""

    address: str
    message: Any


class SendDatagram(Effect, frozen=True):
    """Send a message to the node at this address in one datagram, which may be lost."""

    address: str
    message: Any


class Reply(Effect, frozen=True):
    """Answer a request with a complete response."""

    call_id: CallId
    status: int
    headers: Any
    body: bytes


class BeginResponse(Effect, frozen=True):
    """Answer a request with status and headers now; the body follows in chunks."""

    call_id: CallId
    status: int
    headers: Any


class SendChunk(Effect, frozen=True):
    """Send a part of the body of a response that was begun."""

    call_id: CallId
    data: bytes


class EndResponse(Effect, frozen=True):
    """End a response that was begun, in good order."""

    call_id: CallId


class AbortResponse(Effect, frozen=True):
    """Close the connection of a response, so that what was sent cannot pass for complete."""

    call_id: CallId


class Fetch(Effect, frozen=True):
    """Call an HTTP server; `mode` "events" reads a stream of server-sent events, anything else the complete body."""

    call_id: CallId
    method: str
    url: str
    headers: dict[str, str]
    body: bytes
    connect_timeout: timedelta
    total_timeout: timedelta
    mode: str


class ConnectionReuse(StrEnum):
    """Which connections that were used before may carry a call.

    `WHEN_ALIVE`: one of which it is known that the server has not forgotten it, as for a call that may not run twice.
    """

    NEVER = "never"
    WHEN_ALIVE = "when alive"
    ALWAYS = "always"


class ForwardRequest(Effect, frozen=True):
    """Forward a client's request to a server unchanged.

    After it so many idle connections to that server may be kept.
    """

    call_id: CallId
    method: str
    url: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    connect_timeout: timedelta
    total_timeout: timedelta
    reuse: ConnectionReuse
    max_kept_connections: int


class CancelCall(Effect, frozen=True):
    """Give up a call that was begun by `Fetch` or `ForwardRequest`; nothing more is told of it."""

    call_id: CallId


class AppendRecords(Effect, frozen=True):
    """Append records to a file of the data folder; `done` is given back to the machine once they are durable."""

    file: str
    records: tuple[Any, ...]
    done: Any = None


class RewriteRecords(Effect, frozen=True):
    """Replace a file of the data folder by these records; `done` is given back once they are durable."""

    file: str
    records: tuple[Any, ...]
    done: Any = None


class AppendDayLog(Effect, frozen=True):
    """Append lines to the log of one day ("YYYY-MM-DD"), durable before anything that depends on them."""

    day: str
    lines: tuple[Any, ...]


class Log(Effect, frozen=True):
    """Write a line to the program's log: level ("info", "warning", "error"), the part that speaks, text and fields."""

    level: str
    component: str
    text: str
    fields: dict[str, Any]


class ApplyClientLimits(Effect, frozen=True):
    """The configuration's limits of clients (`configuration/limits.py`) hold at the proxy server from now on."""

    limits: Any


class CloseProxyServer(Effect, frozen=True):
    """Take no more connections of clients; answer what is in flight."""


class WakeAfter(Effect, frozen=True):
    """Give a `DelayElapsed` after this delay."""

    delay: timedelta


class Exit(Effect, frozen=True):
    """End the process with this exit code once the last messages are out, and answers written.

    What clients have not taken within `write_within` of this effect is lost.
    """

    code: int
    write_within: timedelta = timedelta(seconds=2)


# What a host carries out; other effects are for another part of the same node.
HOST_EFFECTS: frozenset[type[Effect]] = frozenset(
    {
        Send,
        SendDatagram,
        Reply,
        BeginResponse,
        SendChunk,
        EndResponse,
        AbortResponse,
        Fetch,
        ForwardRequest,
        CancelCall,
        AppendRecords,
        RewriteRecords,
        AppendDayLog,
        Log,
        ApplyClientLimits,
        CloseProxyServer,
        WakeAfter,
        Exit,
    }
)
