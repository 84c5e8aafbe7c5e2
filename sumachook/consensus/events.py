"""What a replica is told by its host."""

from typing import Any

import msgspec

from sumachook.consensus.messages import Message
from sumachook.consensus.views import ViewId


class Event(msgspec.Struct, frozen=True):
    """Base of all events."""


class Tick(Event, frozen=True):
    """Time has passed; `cores` are the addresses at which other replicas may be found."""

    cores: tuple[str, ...]


class Received(Event, frozen=True):
    """A message from another replica."""

    sender: str
    address: str
    message: Message


class ProposalMade(Event, frozen=True):
    """The embedding program wants this change ordered."""

    change: Any


class LogCompacted(Event, frozen=True):
    """The state has taken everything that was delivered, so a snapshot may be made of it."""


class ReadRequested(Event, frozen=True):
    """The embedding program wants to answer a read from its state."""

    token: Any


class StepBackRequested(Event, frozen=True):
    """The host's disk takes nothing just now; a leader lets another lead."""


class LeaveRequested(Event, frozen=True):
    """The process will end soon."""


class PromiseSynced(Event, frozen=True):
    """The promise of `view` is durable and may be told to `address`."""

    view: ViewId
    address: str


class ViewSynced(Event, frozen=True):
    """The view of another leader and its log up to `end` are durable."""

    view: ViewId
    address: str
    end: int


class EntriesSynced(Event, frozen=True):
    """Entries of the leader at `address` are durable up to `end`."""

    view: ViewId
    address: str
    end: int


class CandidacySynced(Event, frozen=True):
    """This replica's own promise is durable."""

    view: ViewId


class OwnViewSynced(Event, frozen=True):
    """The view that this replica will lead is durable here."""

    view: ViewId


class OwnEntriesSynced(Event, frozen=True):
    """The leader's own disk holds its log up to `end`."""

    view: ViewId
    end: int
