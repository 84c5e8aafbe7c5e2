"""Effects: the actions that a state machine requests from its host."""

from datetime import timedelta
from enum import StrEnum
from typing import Any

import msgspec

from sumachook.host.events import Body, CallId


class Effect(msgspec.Struct, frozen=True):
    """Base class of all effects, executed by the host (`HOST_EFFECTS`) or by another component of the node."""


class Send(Effect, frozen=True):
    """Send a message to the node at this address over a connection: in order, and lost only if the connection fails."""

    address: str
    message: Any


class SendDatagram(Effect, frozen=True):
    """Send a message to the node at this address as one datagram, which may be lost."""

    address: str
    message: Any


class ReadBody(Effect, frozen=True):
    """Read the body of the request whose head was received (`ProxyHeadReceived`), and deliver the whole request."""

    call_id: CallId


class Reply(Effect, frozen=True):
    """Send a complete response to a request."""

    call_id: CallId
    status: int
    headers: Any
    body: Body


class BeginResponse(Effect, frozen=True):
    """Send the status and headers of a response now; the body follows in chunks."""

    call_id: CallId
    status: int
    headers: Any


class SendChunk(Effect, frozen=True):
    """Send a chunk of the body of a response that `BeginResponse` started."""

    call_id: CallId
    data: bytes


class EndResponse(Effect, frozen=True):
    """Complete a response that `BeginResponse` started."""

    call_id: CallId


class AbortResponse(Effect, frozen=True):
    """Close the connection of a response, so that the client cannot mistake the partial body for a complete one."""

    call_id: CallId


class ConnectionReuse(StrEnum):
    """Policy for sending a call over a connection that was used before.

    `WHEN_ALIVE` allows only a connection that the server is known to keep open, as for a call that may not run twice.
    """

    NEVER = "never"
    WHEN_ALIVE = "when alive"
    ALWAYS = "always"


class Fetch(Effect, frozen=True):
    """Call an HTTP server; `mode` "events" reads a stream of server-sent events, any other mode the complete body.

    `reuse` applies to calls for which the host keeps connections; all others always get a new one.
    """

    call_id: CallId
    method: str
    url: str
    headers: dict[str, str]
    body: bytes
    connect_timeout: timedelta
    total_timeout: timedelta
    mode: str
    reuse: ConnectionReuse = ConnectionReuse.ALWAYS


class ForwardRequest(Effect, frozen=True):
    """Forward a client's request to a server unchanged.

    Afterwards the host keeps at most `max_kept_connections` idle connections to that server. While the
    client whose call is `reader` reads a streamed answer slowly, the host reads no more of it from the server.
    """

    call_id: CallId
    method: str
    url: str
    headers: tuple[tuple[str, str], ...]
    body: Body
    connect_timeout: timedelta
    total_timeout: timedelta
    reuse: ConnectionReuse
    max_kept_connections: int
    reader: CallId = None


class CancelCall(Effect, frozen=True):
    """Cancel a call that `Fetch` or `ForwardRequest` started; no further event of this call is delivered."""

    call_id: CallId


class AppendRecords(Effect, frozen=True):
    """Append records to a file of the data folder; `done` is passed to the state machine once they are durable."""

    file: str
    records: tuple[Any, ...]
    done: Any = None


class RewriteRecords(Effect, frozen=True):
    """Replace a file of the data folder by these records; `done` is passed to the machine once they are durable."""

    file: str
    records: tuple[Any, ...]
    done: Any = None


class AppendDayLog(Effect, frozen=True):
    """Append lines to the day log `day` ("day-YYYY-MM-DD.jsonl"), durable before the ledger records for them."""

    day: str
    lines: tuple[Any, ...]


class Log(Effect, frozen=True):
    """Write a line to the log of the process: level ("info", "warning", "error"), source component, text and fields."""

    level: str
    component: str
    text: str
    fields: dict[str, Any]


class ApplyClientLimits(Effect, frozen=True):
    """Apply the client limits of the configuration (`configuration/limits.py`) to the proxy server."""

    limits: Any


class CloseProxyServer(Effect, frozen=True):
    """Accept no new client connections; requests in flight are still answered."""


class WakeAfter(Effect, frozen=True):
    """Deliver a `DelayElapsed` event after this delay."""

    delay: timedelta


class Exit(Effect, frozen=True):
    """Exit the process with this code once the last messages and responses have been written.

    Response bytes that clients have not read within `write_within` of this effect are lost.
    """

    code: int
    write_within: timedelta = timedelta(seconds=2)


# Effects that a host executes; all others are for another component of the same node.
HOST_EFFECTS: frozenset[type[Effect]] = frozenset(
    {
        Send,
        SendDatagram,
        ReadBody,
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
