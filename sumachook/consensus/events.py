"""Events that a replica handles, in addition to messages of other nodes (`host.events.MessageReceived`)."""

from typing import Any

from sumachook.consensus.views import ViewId
from sumachook.host.events import Event


class Tick(Event, frozen=True):
    """The periodic timer fired; `cores` are the addresses of nodes that may run a replica."""

    cores: tuple[str, ...]


class ProposalMade(Event, frozen=True):
    """The embedding program proposes a change to be appended to the log."""

    change: Any


class LogCompacted(Event, frozen=True):
    """The state has applied every delivered entry, so the replica may take a snapshot of it."""


class ReadRequested(Event, frozen=True):
    """The embedding program asks whether it may answer a read from its local state."""

    token: Any


class StepBackRequested(Event, frozen=True):
    """The host's disk cannot be written at present, so a leader must step down."""


class LeaveRequested(Event, frozen=True):
    """The process is shutting down, so the replica must hand over its duties."""


class DiskSynced(Event, frozen=True):
    """Base of the events that report records as durable; each is the `done` event of the write that it confirms."""


class PromiseSynced(DiskSynced, frozen=True):
    """The promise for `view` is durable and may be sent to the candidate at `address`."""

    view: ViewId
    address: str


class ViewSynced(DiskSynced, frozen=True):
    """A view installed by another leader, and its log up to entry `end`, are durable."""

    view: ViewId
    address: str
    end: int


class EntriesSynced(DiskSynced, frozen=True):
    """Entries received from the leader at `address` are durable up to number `end`."""

    view: ViewId
    address: str
    end: int


class CandidacySynced(DiskSynced, frozen=True):
    """The promise that a candidate makes for its own view is durable."""

    view: ViewId


class OwnViewSynced(DiskSynced, frozen=True):
    """The view that this replica is installing as its leader is durable on its own disk."""

    view: ViewId


class OwnEntriesSynced(DiskSynced, frozen=True):
    """The leader's log is durable on its own disk up to entry `end`."""

    view: ViewId
    end: int
