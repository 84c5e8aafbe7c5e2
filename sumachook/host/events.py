"""Events: the inputs that a host delivers to a state machine."""

from enum import StrEnum
from typing import Any

import msgspec

from sumachook.calls.run_status import CallFailure

CallId = Any  # identifies a call within one node; opaque to hosts
Body = bytes | bytearray  # long bodies are passed on as they were gathered, since a copy would double their memory


class Event(msgspec.Struct, frozen=True):
    """Base class of all events."""


class Tick(Event, frozen=True):
    """The periodic timer fired; all timeouts are checked on a tick."""


class StopRequested(Event, frozen=True):
    """The process received SIGTERM: drain, then exit within the grace period."""


class SettingsReloadRequested(Event, frozen=True):
    """The process received SIGHUP and must reload its settings file."""


class SeedsChanged(Event, frozen=True):
    """The reloaded settings contain a different list of seed addresses ("IP:PORT")."""

    addresses: tuple[str, ...]


class DelayElapsed(Event, frozen=True):
    """The delay of a `WakeAfter` effect has elapsed."""


class MessageReceived(Event, frozen=True):
    """A message from another node arrived; replies to that node go to `address`."""

    sender: str
    address: str
    message: Any


class UnreadableMessageReceived(Event, frozen=True):
    """Received bytes were dropped, since they are not a valid message of this cluster."""


class HttpRequestReceived(Event, frozen=True):
    """A request arrived at the node's own HTTP address; header names are in lower case."""

    call_id: CallId
    method: str
    path: str
    headers: dict[str, str]
    body: Body


class ProxyRequestReceived(Event, frozen=True):
    """A client's request to forward arrived; path, header pairs and body are unchanged."""

    call_id: CallId
    method: str
    raw_path: str
    headers: tuple[tuple[str, str], ...]
    body: Body


class ProxyHeadReceived(Event, frozen=True):
    """The head of a client's request with a long body arrived; the effect `ReadBody` lets the body be read."""

    call_id: CallId
    method: str
    raw_path: str
    headers: tuple[tuple[str, str], ...]


class MemoryMeasured(Event, frozen=True):
    """The figures of the process's memory budget, in bytes and counts (`memory/budget.py`)."""

    figures: dict[str, Any]


class ConnectionEnd(StrEnum):
    """Reason why a client's connection ended; the value is the text in log lines."""

    CLIENT = "the client left, or the way to it broke"
    NOT_READ = "closed here: the client does not read"
    ABORTED = "closed here: its answer was cut off"
    IDLE = "closed here: it rested for too long"
    SLOW_HEAD = "closed here: a head did not come whole"
    LEAVING = "closed here: the node takes no more clients"
    STOPPED = "closed here: the server has ended"
    NO_ROOM = "closed here: memory or connections are short"


class ClientDisconnected(Event, frozen=True):
    """The client connection of a request ended before the response was complete."""

    call_id: CallId
    ended_by: ConnectionEnd = ConnectionEnd.CLIENT


class CallEvent(Event, frozen=True):
    """Base class of the events of an outgoing call, which the node itself made."""

    call_id: CallId


class RequestSent(CallEvent, frozen=True):
    """The connection is established and the first byte is about to be sent: from now on the call may have run."""

    is_reused: bool = False  # whether an earlier call used the same connection


class ResponseHeadReceived(CallEvent, frozen=True):
    """The head of a streamed response arrived; `headers` contains pairs for a forwarded request, else a mapping."""

    status: int
    headers: Any


class ResponseChunkReceived(CallEvent, frozen=True):
    """A chunk of the response body of a forwarded request arrived."""

    data: bytes


class ServerEventReceived(CallEvent, frozen=True):
    """One event of a server-sent event stream arrived."""

    event_id: str | None
    data: str


class ResponseEnded(CallEvent, frozen=True):
    """A streamed response is complete."""


class ResponseReceived(CallEvent, frozen=True):
    """A complete response arrived that was not streamed; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class CallFailed(CallEvent, frozen=True):
    """An outgoing call failed before its response was complete."""

    failure: CallFailure
