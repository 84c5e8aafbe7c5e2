"""In-memory table of the records that a replica stores."""

from collections.abc import Iterable, Iterator

from sumachook.ledger.records import LOST, OPEN, Record, RecordCopy
from sumachook.ledger.replica_selection import range_key

_FINAL_RANK = 2
_RANKS = {OPEN: 0, LOST: 1}


class RecordTable:
    """Records by request id, newest last, with their idempotency keys and pending hinted handoffs.

    `handoffs` maps a request to the voters that still have to receive its record; `open` is the subset of `by_request`
    with open records.
    """

    __slots__ = ("max_records", "by_request", "open", "handoffs", "request_by_key")

    def __init__(self, max_records: int):
        self.max_records = max_records
        self.by_request: dict[str, Record] = {}
        self.open: dict[str, Record] = {}
        self.handoffs: dict[str, set[str]] = {}
        self.request_by_key: dict[str, str] = {}

    def __len__(self) -> int:
        return len(self.by_request)

    def find(self, request: str) -> Record | None:
        """Returns the record of a request, or None if this replica does not store it."""
        return self.by_request.get(request)

    def first_with_key(self, record: Record) -> str | None:
        """Returns the first request with the record's idempotency key; None if there is no key or it is unused."""
        return self.request_by_key.get(range_key(record)) if record.get("key") else None

    def newest_closed(self) -> Iterator[Record]:
        """Iterates over all records that are not open, newest first."""
        return (record for record in reversed(self.by_request.values()) if record["state"] != OPEN)

    def merge(self, record: Record, owed_to: Iterable[str] | None = None) -> bool:
        """Merges a record and returns whether it changed: a final state supersedes "lost", which supersedes "open".

        `owed_to`, if not None, replaces the set of voters that still have to receive the record.
        """
        request = record["request"]
        previous = self.by_request.get(request)
        is_newer = previous is None or _rank(record) > _rank(previous)
        if is_newer:
            record = {**previous, **record} if previous else record
            self.by_request[request] = record
            if record["state"] == OPEN:
                self.open[request] = record
            else:
                self.open.pop(request, None)
        if owed_to is not None:
            self.handoffs[request] = set(owed_to)
        if record.get("key"):
            self._note_key(record)
        while len(self.by_request) > self.max_records:
            self.drop(next(iter(self.by_request)))
        return is_newer

    def _note_key(self, record: Record) -> None:
        request = record["request"]
        key = range_key(record)
        has_not_run = record.get("run") == "no" and record["state"] not in (OPEN, LOST)
        if not has_not_run:
            self.request_by_key.setdefault(key, request)
        elif self.request_by_key.get(key) == request:
            del self.request_by_key[key]  # the request did not run, so its key may be used again

    def drop(self, request: str) -> None:
        """Removes a record with its pending handoffs, and its idempotency key if it was the first to use it."""
        dropped = self.by_request.pop(request)
        self.handoffs.pop(request, None)
        self.open.pop(request, None)
        if self.first_with_key(dropped) == request:
            del self.request_by_key[range_key(dropped)]

    def copy_of(self, record: Record) -> RecordCopy:
        """Returns the record with the voters that still have to receive it."""
        return RecordCopy(record, tuple(self.handoffs.get(record["request"], ())))


def _rank(record: Record) -> int:
    return _RANKS.get(record["state"], _FINAL_RANK)
