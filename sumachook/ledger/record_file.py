"""The ledger file of a replica; its size is bounded by rewriting the file."""

from collections.abc import Iterable, Sequence
from typing import Any, NamedTuple

import msgspec

from sumachook.host.effects import AppendRecords, Effect, RewriteRecords
from sumachook.ledger.events import RecordsSynced, RewriteSynced
from sumachook.ledger.record_table import RecordTable
from sumachook.ledger.records import RecordCopy, stored_copy
from sumachook.storage.layout import LEDGER

# the file is rewritten once it exceeds either limit
MAX_STORED_RECORDS = 20000
MAX_STORED_BYTES = 12 << 20

# A rewrite keeps closed records up to 1/4 of each limit, so that the file can grow for long before the next rewrite.
CLOSED_LIMIT_DIVISOR = 4
GROWTH_FACTOR = 2  # if open records alone exceed a limit, the file is rewritten after growth by this factor


class FileSize(NamedTuple):
    """Size of the ledger file in lines and in bytes of JSON."""

    records: int
    bytes: int


class RecordFile:
    """Tracks the size of the ledger file and decides when to rewrite it."""

    __slots__ = ("stored_records", "stored_bytes", "rewrite_above", "is_rewriting")

    def __init__(self, lines: Iterable[Sequence[Any]]):
        self.stored_records = 0
        self.stored_bytes = 0
        self.rewrite_above = FileSize(MAX_STORED_RECORDS, MAX_STORED_BYTES)
        self.is_rewriting = False
        self._count(lines)

    def append(self, copies: Iterable[RecordCopy], acknowledgement: Effect) -> Effect:
        """Returns the effect that appends copies; `RecordsSynced` reports when `acknowledgement` may be sent."""
        lines = tuple(stored_copy(copy) for copy in copies)
        self._count(lines)
        return AppendRecords(LEDGER, lines, RecordsSynced(acknowledgement))

    def note_rewritten(self) -> None:
        """Notes that the rewritten file is durable, so that another rewrite may start."""
        self.is_rewriting = False

    def rewrite_if_large(self, table: RecordTable) -> list[Effect]:
        """Rewrites the file if it exceeds a limit, keeping all open records and the newest closed ones."""
        is_small = self.stored_records <= self.rewrite_above.records and self.stored_bytes <= self.rewrite_above.bytes
        if self.is_rewriting or is_small:
            return []
        self.is_rewriting = True
        self.stored_records = 0
        self.stored_bytes = 0
        open_lines = [stored_copy(table.copy_of(record)) for record in table.open.values()]
        self._count(open_lines)
        closed_lines = self._newest_closed(table)
        self.rewrite_above = FileSize(
            max(MAX_STORED_RECORDS, GROWTH_FACTOR * self.stored_records),
            max(MAX_STORED_BYTES, GROWTH_FACTOR * self.stored_bytes),
        )
        return [RewriteRecords(LEDGER, (*reversed(closed_lines), *open_lines), RewriteSynced())]

    def _newest_closed(self, table: RecordTable) -> list[Any]:
        max_records = self.stored_records + MAX_STORED_RECORDS // CLOSED_LIMIT_DIVISOR
        max_bytes = self.stored_bytes + MAX_STORED_BYTES // CLOSED_LIMIT_DIVISOR
        lines: list[Any] = []
        for record in table.newest_closed():
            if self.stored_records >= max_records or self.stored_bytes >= max_bytes:
                break
            line = stored_copy(table.copy_of(record))
            self._count((line,))
            lines.append(line)
        return lines

    def _count(self, lines: Iterable[Sequence[Any]]) -> None:
        for line in lines:
            self.stored_records += 1
            self.stored_bytes += len(msgspec.json.encode(line))
