"""The replica of the ledger that each core runs."""

import re
from collections.abc import Iterable, Mapping, Sequence
from datetime import timedelta
from typing import Any

from sumachook.host.effects import AppendDayLog, Effect, Log, Send
from sumachook.host.events import Event, MessageReceived
from sumachook.ledger.events import RecordsSynced, RewriteSynced, StoreTick
from sumachook.ledger.messages import (
    Acknowledgement,
    AckOutcome,
    CloseRecords,
    HandOffRecords,
    OpenRecords,
    RecordBatch,
    RecordsClosed,
    RecordsHandedOff,
    RecordsOpened,
)
from sumachook.ledger.record_file import RecordFile
from sumachook.ledger.record_table import RecordTable
from sumachook.ledger.records import LOST, OPEN, Record, RecordCopy, copy_from_stored
from sumachook.ledger.replica_selection import OWNER_COUNT, range_key, replicas_of
from sumachook.runtime.cluster_clock import ClusterClock

LOST_AFTER = timedelta(seconds=3)  # an edge that is unreachable for this long does not return as the same process
SWEEP_INTERVAL = timedelta(seconds=0.5)
HANDOFF_INTERVAL = timedelta(seconds=0.5)
MAX_HANDOFFS_PER_ROUND = 2000
MAX_RECORDS_PER_HANDOFF = 200

DAY = re.compile(r"\d{4}-\d\d-\d\d")
UNKNOWN_DAY = "0000-00-00"

_ACK_TYPES = {OpenRecords: RecordsOpened, CloseRecords: RecordsClosed, HandOffRecords: RecordsHandedOff}


class ReplicaStore:
    """Stores the records of edges and acknowledges them once they are durable.

    Stores copies for unreachable voters until they return, and closes the open records of failed edges as lost.
    """

    __slots__ = (
        "voter",
        "cluster_clock",
        "records",
        "file",
        "voting_members",
        "away_since",
        "next_handoff_at",
        "next_sweep_at",
    )

    def __init__(
        self,
        voter: str,
        cluster_clock: ClusterClock,
        max_records: int,
        stored: Sequence[Sequence[Any]],
        now: timedelta,
    ):
        self.voter = voter
        self.cluster_clock = cluster_clock
        self.records = RecordTable(max_records)
        self.file = RecordFile(stored)
        self.voting_members: dict[str, str] = {}
        self.away_since: dict[tuple[str, int], timedelta] = {}  # by name and epoch of each absent edge
        self.next_handoff_at = now
        self.next_sweep_at = now
        for line in stored:
            self._merge(copy_from_stored(line))

    def take(self, event: Event, now: timedelta) -> list[Effect]:
        """Handles an event and returns its effects; `now` is monotonic time."""
        match event:
            case MessageReceived(message=RecordBatch()):
                return self._on_records(event.address, event.message)
            case MessageReceived(message=RecordsHandedOff()):
                self._on_records_handed_off(event.sender, event.message)
                return []
            case RecordsSynced(effect):
                return [effect, *self.file.rewrite_if_large(self.records)]
            case RewriteSynced():
                self.file.note_rewritten()
                return []
            case StoreTick():
                return self._handle_tick(event, now)
        raise TypeError(f"the replica store does not handle this event: {event!r}")

    def find(self, request: str) -> Record | None:
        """Returns the record of a request, or None if this replica does not store it."""
        return self.records.find(request)

    # storing -----------------------------------------------------------------------

    def _merge(self, copy: RecordCopy) -> bool:
        owed_to = set(copy.owed_to) - {self.voter} if copy.owed_to else None
        return self.records.merge(copy.record, owed_to)

    def _on_records(self, address: str, message: RecordBatch) -> list[Effect]:
        acks = []
        changed = []
        for copy in message.records:
            record = copy.record
            request = record["request"]
            first = self.records.first_with_key(record)
            if isinstance(message, OpenRecords) and first is not None and first != request:
                acks.append(Acknowledgement(request, AckOutcome.DUPLICATE, self._describe_first(first)))
                continue
            if self._merge(copy):
                changed.append(copy)
            acks.append(Acknowledgement(request, AckOutcome.STORED, {"state": record["state"]}))
        reply = Send(address, _ACK_TYPES[type(message)](tuple(acks)))
        return self._store(changed, reply) if changed else [reply]

    def _describe_first(self, request: str) -> dict[str, str]:
        """Describes the first request with an idempotency key, for the acknowledgement of a duplicate."""
        record = self.find(request) or {}
        return {"request": request, "state": record.get("state", OPEN), "run": record.get("run", "maybe")}

    def _store(self, copies: Sequence[RecordCopy], acknowledgement: Effect) -> list[Effect]:
        return [*self._append_day_logs(copies), self.file.append(copies, acknowledgement)]

    def _append_day_logs(self, copies: Iterable[RecordCopy]) -> list[Effect]:
        """Appends records, open or closed, to the log of the day of their request, before they are acknowledged."""
        lines_by_day: dict[str, list[Record]] = {}
        for copy in copies:
            record = self.find(copy.record["request"]) or copy.record
            day = record["openedAt"][:10]  # sent by another node and used in a file name, hence validated
            lines_by_day.setdefault(day if DAY.fullmatch(day) else UNKNOWN_DAY, []).append(record)
        return [AppendDayLog(f"day-{day}.jsonl", tuple(lines)) for day, lines in lines_by_day.items()]

    # lost records ------------------------------------------------------------------

    def _handle_tick(self, tick: StoreTick, now: timedelta) -> list[Effect]:
        if tick.voting_members != self.voting_members:
            self._update_voting_members(tick.voting_members)
        effects = []
        if now >= self.next_sweep_at:
            self.next_sweep_at = now + SWEEP_INTERVAL
            effects += self._close_lost(tick.live_restart_epochs, now)
        if now >= self.next_handoff_at:
            self.next_handoff_at = now + HANDOFF_INTERVAL
            effects += self._hand_off(tick.live_restart_epochs)
        return effects

    def _close_lost(self, live_restart_epochs: Mapping[str, int], now: timedelta) -> list[Effect]:
        """Closes the open records of failed edges as lost, which also writes them to the day log."""
        lost = [
            record for record in self.records.open.values() if self._is_writer_lost(record, live_restart_epochs, now)
        ]
        if not lost:
            return []
        ended_at = self.cluster_clock.time(now).isoformat()
        copies = []
        for record in lost:
            closed = {**record, "state": LOST, "class": LOST, "run": "maybe", "endedAt": ended_at}
            self.records.merge(closed)
            copies.append(RecordCopy(closed, ()))
        return self._store(copies, Log("warning", "ledger", "Closed records of lost edges.", {"rows": len(copies)}))

    def _is_writer_lost(self, record: Record, live_restart_epochs: Mapping[str, int], now: timedelta) -> bool:
        """Tells whether the edge process that wrote a record has been absent or replaced for longer than `LOST_AFTER`.

        Notes when the absence began.
        """
        writer = (record["edge"], record["incarnation"])
        if live_restart_epochs.get(writer[0]) == writer[1]:
            self.away_since.pop(writer, None)
            return False
        return now - self.away_since.setdefault(writer, now) > LOST_AFTER

    # hinted handoff ----------------------------------------------------------------

    def _owners(self, record: Record, voting_members: Iterable[str]) -> tuple[str, ...]:
        return replicas_of(range_key(record), tuple(sorted(voting_members)))[:OWNER_COUNT]

    def _update_voting_members(self, voting_members: Mapping[str, str]) -> None:
        """Applies a change of the voters, and schedules the handoff of records that a new voter owns."""
        joined = set(voting_members) - set(self.voting_members) - {self.voter}
        if self.voting_members and joined:
            for request, record in self.records.by_request.items():
                owed = joined.intersection(self._owners(record, voting_members))
                if owed:
                    self.records.handoffs[request] = self.records.handoffs.get(request, set()) | owed
        self.voting_members = dict(voting_members)

    def _hand_off(self, live_nodes: Mapping[str, int]) -> list[Effect]:
        batches: dict[str, list[RecordCopy]] = {}
        for request, owners in list(self.records.handoffs.items())[:MAX_HANDOFFS_PER_ROUND]:
            owners &= set(self.voting_members)
            if not owners:
                del self.records.handoffs[request]
            for owner in sorted(owners):
                if owner in live_nodes and len(batches.setdefault(owner, [])) < MAX_RECORDS_PER_HANDOFF:
                    batches[owner].append(RecordCopy(self.records.by_request[request], ()))
        return [
            Send(self.voting_members[owner], HandOffRecords(tuple(copies)))
            for owner, copies in batches.items()
            if copies
        ]

    def _on_records_handed_off(self, sender: str, message: RecordsHandedOff) -> None:
        handoffs = self.records.handoffs
        for ack in message.acks:
            record = self.find(ack.request)
            if record is None or sender not in handoffs.get(ack.request, ()) or record["state"] != ack.detail["state"]:
                continue
            handoffs[ack.request].discard(sender)
            if not handoffs[ack.request]:
                del handoffs[ack.request]
                self._drop_unless_owned(record)

    def _drop_unless_owned(self, record: Record) -> None:
        """Drops a record that was stored for another voter, which will also receive its closing record."""
        if self.voter not in self._owners(record, self.voting_members):
            self.records.drop(record["request"])
