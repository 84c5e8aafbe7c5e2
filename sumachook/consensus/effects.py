"""Effects that a replica returns to the embedding program, in addition to those of every host (`host.effects`)."""

from enum import StrEnum
from typing import Any

from sumachook.consensus.views import ViewId
from sumachook.host.effects import Effect


class Deliver(Effect, frozen=True):
    """Apply the committed log entry `number` to the state machine."""

    number: int
    entry: bytes


class Restore(Effect, frozen=True):
    """Replace the state machine's state with this snapshot."""

    number: int
    state: Any


class RefusalReason(StrEnum):
    """Why a replica rejected a proposed change."""

    NO_VIEW = "no working view"
    TOO_MANY = "too many changes waiting"


class Refuse(Effect, frozen=True):
    """The replica rejected a proposed change, which it has not appended to its log."""

    change: Any
    reason: RefusalReason


class ViewChanged(Effect, frozen=True):
    """This replica has become a member or the leader of another view."""

    view: ViewId
    members: tuple[str, ...]


class Compact(Effect, frozen=True):
    """The log exceeds its limit: send `LogCompacted` once the state has applied every delivered entry."""


class Readable(Effect, frozen=True):
    """The local state is recent enough to answer this read."""

    token: Any


class Unreadable(Effect, frozen=True):
    """The local state must not answer this read; `address` is the leader's, if known."""

    token: Any
    address: str | None


class Departed(Effect, frozen=True):
    """The process may exit: all data of this replica is stored on the members of the current view."""
