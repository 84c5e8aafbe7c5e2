"""Messages between the edges and the replicas of the ledger."""

from collections.abc import Sequence
from enum import StrEnum
from typing import Any, NamedTuple, Self

from sumachook.ledger.records import Record, RecordCopy, UndeliveredRecord
from sumachook.transport.node_message import NodeMessage


class AckOutcome(StrEnum):
    """Result of storing a record at a replica."""

    STORED = "ok"
    DUPLICATE = "duplicate"  # another request already uses its idempotency key


class Acknowledgement(NamedTuple):
    """A replica's acknowledgement of one record.

    `detail` contains the record's "state"; for a duplicate it describes the first request with the same idempotency key
    by "request", "state" and "run".
    """

    request: str
    outcome: str  # value of an `AckOutcome`
    detail: dict[str, str]


class RecordBatch(NodeMessage, frozen=True):
    """Base class of the messages that send records to a replica."""

    records: tuple[RecordCopy, ...]

    @classmethod
    def from_values(cls, values: Sequence[Any]) -> Self:
        """Builds the message from the decoded values of its fields."""
        (records,) = values
        return cls(tuple([RecordCopy(*pair) for pair in records]))


class OpenRecords(RecordBatch, frozen=True, tag="open"):
    """Opening records of requests; a request is not sent to a server before two replicas acknowledge its record."""


class CloseRecords(RecordBatch, frozen=True, tag="close"):
    """Closing records of requests that have ended."""


class HandOffRecords(RecordBatch, frozen=True, tag="hand"):
    """Records that the sender stored for the receiver while the receiver was unreachable (hinted handoff)."""


class RecordAcks(NodeMessage, frozen=True):
    """Base class of the replies of a replica to a `RecordBatch`."""

    acks: tuple[Acknowledgement, ...]

    @classmethod
    def from_values(cls, values: Sequence[Any]) -> Self:
        """Builds the message from the decoded values of its fields."""
        (acks,) = values
        return cls(tuple([Acknowledgement(*ack) for ack in acks]))


class RecordsOpened(RecordAcks, frozen=True, tag="opened"):
    """Acknowledges `OpenRecords` once the records are durable."""


class RecordsClosed(RecordAcks, frozen=True, tag="closed"):
    """Acknowledges `CloseRecords` once the records are durable."""


class RecordsHandedOff(RecordAcks, frozen=True, tag="handed"):
    """Acknowledges `HandOffRecords` once the records are durable."""


class RelayRecords(NodeMessage, frozen=True, tag="carry"):
    """Records that an edge cannot deliver to two replicas; the receiving edge also tries to deliver them."""

    records: tuple[UndeliveredRecord, ...]

    @classmethod
    def from_values(cls, values: Sequence[Any]) -> Self:
        """Builds the message from the decoded values of its fields."""
        (records,) = values
        return cls(tuple([UndeliveredRecord(*pair) for pair in records]))


class FindRecord(NodeMessage, frozen=True, tag="find"):
    """Asks another core for the record of a request; the response repeats `asker`, the id of the search."""

    asker: str
    request: str


class RecordFound(NodeMessage, frozen=True, tag="found"):
    """Response to `FindRecord`; `record` is None if the sender does not store the record."""

    asker: str
    record: Record | None


# Messages handled by the `ReplicaStore` of a core and by the `LedgerWriter` of an edge.
STORE_MESSAGES: tuple[type[NodeMessage], ...] = (OpenRecords, CloseRecords, HandOffRecords, RecordsHandedOff)
WRITER_MESSAGES: tuple[type[NodeMessage], ...] = (RecordsOpened, RecordsClosed, RelayRecords)
