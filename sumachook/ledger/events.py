"""Input events of the ledger writer and the replica store, in addition to the events of the host.

The first three are emitted as effects by the request pipelines of an edge.
"""

from collections.abc import Collection, Mapping

from sumachook.host.effects import Effect
from sumachook.host.events import Event
from sumachook.ledger.records import Record


class RequestOpened(Event, frozen=True):
    """A request was admitted and waits for a `Recorded` outcome.

    `is_safe` tells whether it may run twice: such a request proceeds without its record if no quorum answers in time.
    """

    record: Record
    is_safe: bool


class RequestClosed(Event, frozen=True):
    """A request has ended; its closing record is sent at once, and no client waits for the acknowledgement."""

    record: Record


class RecordDeferred(Event, frozen=True):
    """A record for which no request waits, so that it may be delayed and sent in one batch with others."""

    record: Record
    is_close: bool


class WriterTick(Event, frozen=True):
    """Periodic tick of an edge.

    `voting_members` maps the name of each voter to its address, `live_voters` names the nodes that respond, and
    `relays` lists the addresses of other edges, best first.
    """

    voting_members: Mapping[str, str]
    live_voters: Collection[str]
    relays: tuple[str, ...]


class DiskAvailabilityChanged(Event, frozen=True):
    """The edge's disk started or stopped accepting writes."""

    is_available: bool


class LeaveRequested(Event, frozen=True):
    """The process is shutting down: deferred records are due at once, and no further record is deferred."""


class StoreTick(Event, frozen=True):
    """Periodic tick of a core, with the restart epochs of live nodes and the addresses of voters, both by node name."""

    live_restart_epochs: Mapping[str, int]
    voting_members: Mapping[str, str]


class RecordsSynced(Event, frozen=True):
    """A batch of records is durable, so `effect` (their acknowledgement) may be sent."""

    effect: Effect


class RewriteSynced(Event, frozen=True):
    """The rewritten ledger file is durable."""
