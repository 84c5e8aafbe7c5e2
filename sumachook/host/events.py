"""What a host tells a state machine."""

from enum import StrEnum
from typing import Any

import msgspec

from sumachook.calls.run_status import CallFailure

CallId = Any  # names a call within one node; opaque to hosts


class Event(msgspec.Struct, frozen=True):
    """Base of all events of a host."""


class Tick(Event, frozen=True):
    """The timer fired; every time-out is looked at on a tick."""


class StopRequested(Event, frozen=True):
    """The process was told to end (SIGTERM): drain, then exit within the grace period."""


class SettingsReloadRequested(Event, frozen=True):
    """The process was told to read its settings file again (SIGHUP)."""


class SeedsChanged(Event, frozen=True):
    """The settings name other seed addresses ("IP:PORT")."""

    addresses: tuple[str, ...]


class DelayElapsed(Event, frozen=True):
    """The delay of a `WakeAfter` effect is over."""


class MessageReceived(Event, frozen=True):
    """A message of another node, with the address at which that node is answered."""

    sender: str
    address: str
    message: Any


class UnreadableMessageReceived(Event, frozen=True):
    """Bytes that are no message of this cluster; they were dropped."""


class HttpRequestReceived(Event, frozen=True):
    """A request at the node's own HTTP address; header names are in lower case."""

    call_id: CallId
    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class ProxyRequestReceived(Event, frozen=True):
    """A client's request to be forwarded; path, header pairs and body are as they came."""

    call_id: CallId
    method: str
    raw_path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


class ConnectionEnd(StrEnum):
    """What ended a client's connection; the value is what logs say."""

    CLIENT = "the client left, or the way to it broke"
    NOT_READ = "closed here: the client does not read"
    ABORTED = "closed here: its answer was cut off"
    IDLE = "closed here: it rested for too long"
    SLOW_HEAD = "closed here: a head did not come whole"
    LEAVING = "closed here: the node takes no more clients"
    STOPPED = "closed here: the server has ended"


class ClientDisconnected(Event, frozen=True):
    """The connection of a request's client ended before its answer was complete."""

    call_id: CallId
    ended_by: ConnectionEnd = ConnectionEnd.CLIENT


class CallEvent(Event, frozen=True):
    """Base of what a host tells of a call that the node makes itself."""

    call_id: CallId


class RequestSent(CallEvent, frozen=True):
    """The connection stands and the first byte is about to go out: from here on the call may have run."""

    is_reused: bool = False  # whether the connection carried an earlier call


class ResponseHeadReceived(CallEvent, frozen=True):
    """Status and headers of an answer that is passed on while it comes: a mapping, or pairs of a forwarded request."""

    status: int
    headers: Any


class ResponseChunkReceived(CallEvent, frozen=True):
    """Bytes of the answer to a forwarded request."""

    data: bytes


class ServerEventReceived(CallEvent, frozen=True):
    """One event of a server-sent event stream."""

    event_id: str | None
    data: str


class ResponseEnded(CallEvent, frozen=True):
    """An answer that was passed on while it came is complete."""


class ResponseReceived(CallEvent, frozen=True):
    """A complete answer that was not passed on while it came; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class CallFailed(CallEvent, frozen=True):
    """A call ended without a complete answer."""

    failure: CallFailure
