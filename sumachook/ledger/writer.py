"""The ledger writer of an edge, which delivers its records to the replicas."""

from collections.abc import Collection, Iterable, Mapping, Sequence
from datetime import timedelta
from typing import Any

from sumachook.host.effects import Effect, Send
from sumachook.host.events import Event, MessageReceived
from sumachook.ledger.effects import DuplicateKey, Recorded, RecordingOutcome, Unrecorded, UnrecordedReason
from sumachook.ledger.events import (
    DiskAvailabilityChanged,
    LeaveRequested,
    RecordDeferred,
    RequestClosed,
    RequestOpened,
    WriterTick,
)
from sumachook.ledger.messages import (
    AckOutcome,
    CloseRecords,
    OpenRecords,
    RecordAcks,
    RecordBatch,
    RecordsClosed,
    RelayRecords,
)
from sumachook.ledger.pending_record import PendingRecord
from sumachook.ledger.records import DONE, Record, RecordCopy, RecordKey, key_of, undelivered_from_stored
from sumachook.ledger.replica_selection import OWNER_COUNT, range_key, replicas_of
from sumachook.ledger.spill_file import SpillFile

Output = Effect | RecordingOutcome

QUORUM = 2  # acknowledgements that a record needs, or one from each voter if there are fewer voters

# limits of pending records and of messages
MAX_PENDING = 20000  # records in memory; beyond that the oldest one is dropped
MAX_RECORDS_PER_MESSAGE = 100
MAX_RELAYED_PER_MESSAGE = 100
RELAY_COUNT = 2  # edges that receive a relayed record

# timeouts of a record that is sent without deferral
HINT_AFTER = timedelta(seconds=0.15)  # time until the third replica gets the copy of an owner without acknowledgement
RESEND_AFTER = timedelta(seconds=0.3)
SAFE_WAIT = timedelta(seconds=0.4)  # after this time a request that may run twice proceeds without its record
UNSAFE_WAIT = timedelta(seconds=1.5)  # after this time any other request is refused; a change of leader takes less
RELAY_INTERVAL = timedelta(seconds=2)
NEVER = timedelta.max

# maximum time for which a deferred record waits to be batched
DEFER_UNFINISHED = timedelta(seconds=0.3)  # maximum for a request that runs for long, ended late or failed
DEFER_FINISHED = timedelta(seconds=1)  # maximum for a request that succeeded in time


class LedgerWriter:
    """Delivers each record of an edge to two replicas, and reports to the pipelines which requests may proceed.

    If the edge has a disk, records that remain unacknowledged for too long are also written to the spill file, which
    survives restarts.
    """

    __slots__ = ("pending", "voting_members", "live_voters", "dropped_count", "has_disk", "spill_file", "is_leaving")

    def __init__(self, has_disk: bool, spilled: Sequence[Sequence[Any]], now: timedelta):
        self.pending: dict[RecordKey, PendingRecord] = {}
        self.voting_members: Mapping[str, str] = {}
        self.live_voters: Collection[str] = set()
        self.dropped_count = 0
        self.has_disk = has_disk
        self.spill_file = SpillFile(len(spilled))
        self.is_leaving = False
        for line in spilled:  # records that an earlier run of this node could not deliver
            record, is_close = undelivered_from_stored(line)
            restored = PendingRecord(record, is_close, True, now)
            restored.is_settled = True
            self.pending[restored.key] = restored
            self.spill_file.keys.add(restored.key)

    def take(self, event: Event, now: timedelta) -> Sequence[Output]:
        """Handles an event and returns effects and recording outcomes; `now` is monotonic time."""
        match event:
            case RequestOpened(record, is_safe):
                return self._add_and_send(PendingRecord(record, False, is_safe, now))
            case RequestClosed(record):
                return self._add_and_send(PendingRecord(record, True, True, now))
            case RecordDeferred(record, is_close):
                self._defer(record, is_close, now)
                return []
            case WriterTick():
                return self._handle_tick(event, now)
            case MessageReceived(message=RecordAcks()):
                return self._on_acks(event.sender, event.message)
            case MessageReceived(message=RelayRecords()):
                return self._on_relay_records(event.message, now)
            case DiskAvailabilityChanged(is_available):
                self.has_disk = is_available
                return []
            case LeaveRequested():
                self._handle_leave(now)
                return []
        raise TypeError(f"the ledger writer does not handle this event: {event!r}")

    # new records -------------------------------------------------------------------

    def _add(self, pending: PendingRecord) -> None:
        self.pending[pending.key] = pending
        if len(self.pending) > MAX_PENDING:
            self.dropped_count += 1
            del self.pending[next(iter(self.pending))]

    def _add_and_send(self, pending: PendingRecord) -> list[Effect]:
        self._add(pending)
        return self._send(pending, self._replicas(pending.record)[:OWNER_COUNT])

    def _defer(self, record: Record, is_close: bool, now: timedelta) -> None:
        """Defers a record; once one deferred record is due, all are sent, in one batch per replica."""
        opening = self.pending.get(key_of(record, False))
        if is_close and opening is not None and opening.is_deferred:
            del self.pending[opening.key]  # the request ended before its opening record was sent
        deferred = PendingRecord(record, is_close, True, now + self._max_deferral(record))
        deferred.is_settled = True
        deferred.is_deferred = True
        self._add(deferred)

    def _max_deferral(self, record: Record) -> timedelta:
        if self.is_leaving:
            return timedelta(0)
        is_done_in_time = record["state"] == DONE and not record.get("late")
        return DEFER_FINISHED if is_done_in_time else DEFER_UNFINISHED

    def _handle_leave(self, now: timedelta) -> None:
        self.is_leaving = True
        for pending in self.pending.values():
            if pending.is_deferred:
                pending.started_at = min(pending.started_at, now)

    def _on_relay_records(self, message: RelayRecords, now: timedelta) -> list[Effect]:
        effects = []
        for record, is_close in message.records:
            if key_of(record, is_close) in self.pending:
                continue
            relayed = PendingRecord(record, is_close, True, now)
            relayed.is_settled = True
            relayed.relay_at = NEVER  # a record received from a relaying edge is not relayed again
            effects += self._add_and_send(relayed)
        return effects

    # delivery ----------------------------------------------------------------------

    def _replicas(self, record: Record) -> tuple[str, ...]:
        return replicas_of(range_key(record), tuple(sorted(self.voting_members)))

    def _send(self, pending: PendingRecord, voters: Sequence[str], owed_to: tuple[str, ...] = ()) -> list[Effect]:
        pending.sent_to.update(voters)
        batch = CloseRecords if pending.is_close else OpenRecords
        return [Send(self.voting_members[voter], batch((RecordCopy(pending.record, owed_to),))) for voter in voters]

    def _handle_tick(self, tick: WriterTick, now: timedelta) -> list[Output]:
        self.voting_members = tick.voting_members
        self.live_voters = tick.live_voters
        outputs: list[Output] = [*self._send_deferred(now)]
        for pending in self.pending.values():
            if pending.is_deferred:
                continue
            replicas = self._replicas(pending.record)
            outputs += self._send_hinted(pending, replicas, now)
            outputs += self._resend(pending, replicas, now)
            outputs += self._settle_overdue(pending, now)
        outputs = _batched(outputs)
        outputs += self._relay(tick.relays, now)
        if self.has_disk:
            outputs += self.spill_file.save(self.pending, now)
        return outputs

    def _send_deferred(self, now: timedelta) -> list[Effect]:
        """Sends all deferred records once the first of them is due."""
        deferred = [pending for pending in self.pending.values() if pending.is_deferred]
        if not any(now >= pending.started_at for pending in deferred):
            return []
        effects = []
        for pending in deferred:
            pending.begin_sending(now)
            effects += self._send(pending, self._replicas(pending.record)[:OWNER_COUNT])
        return effects

    def _send_hinted(self, pending: PendingRecord, replicas: tuple[str, ...], now: timedelta) -> list[Effect]:
        """Sends the copy of an owner that is slow or unreachable to the third of three replicas (hinted handoff)."""
        owners, fallbacks = replicas[:OWNER_COUNT], replicas[OWNER_COUNT : OWNER_COUNT + 1]
        if len(replicas) != OWNER_COUNT + 1 or fallbacks[0] in pending.sent_to:
            return []
        missing = [owner for owner in owners if owner not in pending.acked_by]
        is_late = now - pending.started_at > HINT_AFTER
        if missing and (is_late or any(owner not in self.live_voters for owner in missing)):
            return self._send(pending, fallbacks, owners)
        return []

    def _resend(self, pending: PendingRecord, replicas: tuple[str, ...], now: timedelta) -> list[Effect]:
        effects: list[Effect] = []
        if now - pending.sent_at > RESEND_AFTER:
            pending.sent_at = now
            effects = self._send(pending, [owner for owner in replicas[:OWNER_COUNT] if owner not in pending.acked_by])
            if len(replicas) == OWNER_COUNT + 1 and replicas[OWNER_COUNT] not in pending.acked_by:
                pending.sent_to.discard(replicas[OWNER_COUNT])
        return effects

    def _settle_overdue(self, pending: PendingRecord, now: timedelta) -> list[RecordingOutcome]:
        """Ends the wait of a request whose record is overdue; the delivery of the record continues."""
        max_wait = SAFE_WAIT if pending.is_safe else UNSAFE_WAIT
        if pending.is_settled or now - pending.started_at <= max_wait:
            return []
        pending.is_settled = True
        request: str = pending.record["request"]
        return [Recorded(request) if pending.is_safe else Unrecorded(request, UnrecordedReason.NO_QUORUM)]

    def _relay(self, relays: tuple[str, ...], now: timedelta) -> list[Effect]:
        """Sends overdue records to other edges, which deliver them if they can reach the replicas."""
        overdue = [each for each in self.pending.values() if now >= each.relay_at and not each.is_deferred]
        overdue = overdue[:MAX_RELAYED_PER_MESSAGE]
        for pending in overdue:
            pending.relay_at = now + RELAY_INTERVAL
        message = RelayRecords(tuple(pending.undelivered() for pending in overdue))
        return [Send(address, message) for address in relays[:RELAY_COUNT]] if overdue else []

    def _on_acks(self, voter: str, message: RecordAcks) -> list[RecordingOutcome]:
        is_close = isinstance(message, RecordsClosed)
        outcomes: list[RecordingOutcome] = []
        for ack in message.acks:
            pending = self.pending.get(RecordKey(ack.request, is_close))
            if pending is None:
                continue
            if ack.outcome == AckOutcome.DUPLICATE:
                if not pending.is_settled:
                    outcomes.append(DuplicateKey(ack.request, ack.detail))
                del self.pending[pending.key]
                continue
            pending.acked_by.add(voter)
            if len(pending.acked_by) >= min(QUORUM, len(self.voting_members)):
                del self.pending[pending.key]
                if not pending.is_settled:
                    outcomes.append(Recorded(ack.request))
        return outcomes


def _batched(outputs: Iterable[Output]) -> list[Output]:
    """Merges all records for one replica into as few messages as the limit allows, after all other outputs.

    >>> one, other = (RecordCopy({"request": request}, ()) for request in "ab")
    >>> first, _, second = [Send("k:1", OpenRecords((one,))), Recorded("r"), Send("k:1", OpenRecords((other,)))]
    >>> _batched([first, Recorded("r"), second]) == [Recorded("r"), Send("k:1", OpenRecords((one, other)))]
    True
    """
    batches: dict[tuple[str, type[RecordBatch]], list[RecordCopy]] = {}
    batched: list[Output] = []
    for output in outputs:
        if isinstance(output, Send):
            batches.setdefault((output.address, type(output.message)), []).extend(output.message.records)
        else:
            batched.append(output)
    for (address, message_type), copies in batches.items():
        for first in range(0, len(copies), MAX_RECORDS_PER_MESSAGE):
            batched.append(Send(address, message_type(tuple(copies[first : first + MAX_RECORDS_PER_MESSAGE]))))
    return batched
