"""What a replica wants done by its host."""

from typing import Any

import msgspec

from sumachook.consensus.events import Event
from sumachook.consensus.messages import Message
from sumachook.consensus.views import ViewId
from sumachook.fault import Fault


class Effect(msgspec.Struct, frozen=True):
    """Base of all effects."""


class Send(Effect, frozen=True):
    """Send a message to the replica at this address; it may be lost."""

    address: str
    message: Message


class Store(Effect, frozen=True):
    """Append records to the log file; `done` is to be given back once they are durable."""

    records: tuple[Any, ...]
    done: Event | None


class Replace(Effect, frozen=True):
    """Write the log file anew."""

    records: tuple[Any, ...]
    done: Event | None


class Deliver(Effect, frozen=True):
    """Apply the committed entry of this number."""

    number: int
    entry: bytes


class Restore(Effect, frozen=True):
    """Put this snapshot in the place of the state."""

    number: int
    state: Any


class Refuse(Effect, frozen=True):
    """The change was not ordered by this replica."""

    change: Any
    fault: Fault


class ViewChanged(Effect, frozen=True):
    """This replica belongs to another view now."""

    view: ViewId
    members: tuple[str, ...]


class Note(Effect, frozen=True):
    """A line for the program's log."""

    level: str
    text: str
    details: dict[str, Any]


class Compact(Effect, frozen=True):
    """The log is long: give `LogCompacted` once the state has taken all that was delivered."""


class Readable(Effect, frozen=True):
    """The state may answer this read."""

    token: Any


class Unreadable(Effect, frozen=True):
    """The state may not answer this read; `address` is that of the leader, if known."""

    token: Any
    address: str | None


class Departed(Effect, frozen=True):
    """The process may end: what this replica holds is safe without it."""
