"""Records of requests, and their forms in memory, on the wire and on disk.

A record is a document: its keys ("request", "edge", "incarnation", "state", "openedAt", ...) are the same on the wire,
in the data files and in the day logs, and external tools read them.
"""

from collections.abc import Sequence
from typing import Any, NamedTuple

Record = dict[str, Any]

# states of a record; all states other than these two are final
OPEN = "open"
LOST = "lost"  # the edge that wrote the record has disappeared, so the outcome of the request is unknown

DONE = "done"  # final state of a request that was answered

_STORED_TAG = "row"  # first value of each line in the ledger file and the spill file


class RecordKey(NamedTuple):
    """Identifies an undelivered record: each request has an opening record and a closing one (`is_close`)."""

    request: str
    is_close: bool


class RecordCopy(NamedTuple):
    """A record for a replica, with the voters for which that replica stores it (hinted handoff)."""

    record: Record
    owed_to: tuple[str, ...]


class UndeliveredRecord(NamedTuple):
    """An opening or closing record that two replicas have not acknowledged yet."""

    record: Record
    is_close: bool


def key_of(record: Record, is_close: bool) -> RecordKey:
    """Returns the key that identifies an undelivered record."""
    return RecordKey(record["request"], is_close)


def stored_copy(copy: RecordCopy) -> tuple[str, Record, tuple[str, ...]]:
    """Returns the line that stores a copy in the ledger file of a replica.

    >>> copy = RecordCopy({"request": "r1"}, ("core-2",))
    >>> stored_copy(copy), copy_from_stored(stored_copy(copy)) == copy
    (('row', {'request': 'r1'}, ('core-2',)), True)
    """
    return (_STORED_TAG, copy.record, copy.owed_to)


def copy_from_stored(line: Sequence[Any]) -> RecordCopy:
    """Decodes a line of a replica's ledger file."""
    _, record, owed_to = line
    return RecordCopy(record, owed_to)


def stored_undelivered(undelivered: UndeliveredRecord) -> tuple[str, Record, bool]:
    """Returns the line that stores an undelivered record in the spill file of an edge.

    >>> undelivered = UndeliveredRecord({"request": "r1"}, True)
    >>> stored_undelivered(undelivered), undelivered_from_stored(stored_undelivered(undelivered)) == undelivered
    (('row', {'request': 'r1'}, True), True)
    """
    return (_STORED_TAG, undelivered.record, undelivered.is_close)


def undelivered_from_stored(line: Sequence[Any]) -> UndeliveredRecord:
    """Decodes a line of an edge's spill file."""
    _, record, is_close = line
    return UndeliveredRecord(record, is_close)
