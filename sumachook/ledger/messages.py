"""The messages between edges and replicas of the ledger."""

from collections.abc import Sequence
from enum import StrEnum
from typing import Any, NamedTuple, Self

from sumachook.ledger.records import Record, RecordCopy, UndeliveredRecord
from sumachook.transport.node_message import NodeMessage


class AckOutcome(StrEnum):
    """What became of a record at a replica."""

    STORED = "ok"
    DUPLICATE = "duplicate"  # its idempotency key belongs to another request


class Acknowledgement(NamedTuple):
    """A replica's answer for one record.

    `detail` has the record's "state"; of a duplicate it describes the first request with the key, by "request", "state"
    and "run".
    """

    request: str
    outcome: str  # an `AckOutcome`
    detail: dict[str, str]


class RecordBatch(NodeMessage, frozen=True):
    """Base of the messages that carry records to a replica."""

    records: tuple[RecordCopy, ...]

    @classmethod
    def from_values(cls, values: Sequence[Any]) -> Self:
        """The message from the decoded values of its fields."""
        (records,) = values
        return cls(tuple([RecordCopy(*pair) for pair in records]))


class OpenRecords(RecordBatch, frozen=True, tag="open"):
    """Requests have begun; nothing is sent to a server for them before two replicas have acknowledged."""


class CloseRecords(RecordBatch, frozen=True, tag="close"):
    """Requests have ended."""


class HandOffRecords(RecordBatch, frozen=True, tag="hand"):
    """Records that the sender kept for the receiver while that was away."""


class RecordAcks(NodeMessage, frozen=True):
    """Base of a replica's answers to a `RecordBatch`."""

    acks: tuple[Acknowledgement, ...]

    @classmethod
    def from_values(cls, values: Sequence[Any]) -> Self:
        """The message from the decoded values of its fields."""
        (acks,) = values
        return cls(tuple([Acknowledgement(*ack) for ack in acks]))


class RecordsOpened(RecordAcks, frozen=True, tag="opened"):
    """Answer to `OpenRecords`, once they are durable."""


class RecordsClosed(RecordAcks, frozen=True, tag="closed"):
    """Answer to `CloseRecords`, once they are durable."""


class RecordsHandedOff(RecordAcks, frozen=True, tag="handed"):
    """Answer to `HandOffRecords`, once they are durable."""


class RelayRecords(NodeMessage, frozen=True, tag="carry"):
    """Records that an edge cannot bring to two replicas; the edge that receives them tries as well."""

    records: tuple[UndeliveredRecord, ...]

    @classmethod
    def from_values(cls, values: Sequence[Any]) -> Self:
        """The message from the decoded values of its fields."""
        (records,) = values
        return cls(tuple([UndeliveredRecord(*pair) for pair in records]))


class FindRecord(NodeMessage, frozen=True, tag="find"):
    """Asks another core for the record of a request; `asker` names the search and is repeated in the answer."""

    asker: str
    request: str


class RecordFound(NodeMessage, frozen=True, tag="found"):
    """Answer to `FindRecord`; `record` is None where the sender has none."""

    asker: str
    record: Record | None


# What a core's `ReplicaStore` takes, and what an edge's `LedgerWriter` does.
STORE_MESSAGES: tuple[type[NodeMessage], ...] = (OpenRecords, CloseRecords, HandOffRecords, RecordsHandedOff)
WRITER_MESSAGES: tuple[type[NodeMessage], ...] = (RecordsOpened, RecordsClosed, RelayRecords)
