"""What a replica asks of the program around it, beside what every host does (`host.effects`)."""

from enum import StrEnum
from typing import Any

from sumachook.consensus.views import ViewId
from sumachook.host.effects import Effect


class Deliver(Effect, frozen=True):
    """Apply the committed entry of this number."""

    number: int
    entry: bytes


class Restore(Effect, frozen=True):
    """Put this snapshot in the place of the state."""

    number: int
    state: Any


class RefusalReason(StrEnum):
    """Why a change was not ordered."""

    NO_VIEW = "no working view"
    TOO_MANY = "too many changes waiting"


class Refuse(Effect, frozen=True):
    """The change was not ordered by this replica."""

    change: Any
    reason: RefusalReason


class ViewChanged(Effect, frozen=True):
    """This replica belongs to another view now."""

    view: ViewId
    members: tuple[str, ...]


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
