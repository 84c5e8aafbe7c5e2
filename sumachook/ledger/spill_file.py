"""The spill file of an edge: records that two replicas have failed to acknowledge for a while."""

from collections.abc import Iterable, Mapping
from datetime import timedelta

from sumachook.host.effects import AppendRecords, Effect, RewriteRecords
from sumachook.ledger.pending_record import PendingRecord
from sumachook.ledger.records import RecordKey, stored_undelivered
from sumachook.storage.layout import SPOOL

SPILL_AFTER = timedelta(seconds=0.3)  # a healthy quorum answers earlier, so the disk is used during failures only
MAX_LINES = 40000  # lines before a rewrite; twice the limit of pending records, so that rewrites are rare


class SpillFile:
    """Tracks which records the spill file contains, and empties it once all of them are delivered."""

    __slots__ = ("keys", "line_count")

    def __init__(self, line_count: int):
        self.keys: set[RecordKey] = set()
        self.line_count = line_count

    def save(self, pending: Mapping[RecordKey, PendingRecord], now: timedelta) -> list[Effect]:
        """Appends records pending for longer than `SPILL_AFTER`, or empties the file once all in it are delivered."""
        overdue = [
            each for key, each in pending.items() if key not in self.keys and now - each.started_at > SPILL_AFTER
        ]
        if overdue and self.line_count + len(overdue) > MAX_LINES:  # a rewrite drops delivered records
            return self._rewrite(pending)
        if overdue:
            self.keys.update(each.key for each in overdue)
            self.line_count += len(overdue)
            return [AppendRecords(SPOOL, _lines(overdue))]
        if self.keys and self.keys.isdisjoint(pending):
            self.keys.clear()
            self.line_count = 0
            return [RewriteRecords(SPOOL, ())]
        return []

    def _rewrite(self, pending: Mapping[RecordKey, PendingRecord]) -> list[Effect]:
        self.keys = set(pending)
        self.line_count = len(pending)
        return [RewriteRecords(SPOOL, _lines(pending.values()))]


def _lines(pending: Iterable[PendingRecord]) -> tuple[object, ...]:
    return tuple(stored_undelivered(each.undelivered()) for each in pending)
