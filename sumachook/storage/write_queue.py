"""The queue of pending disk writes, ordered so that a record is acknowledged only after its day log line is durable."""

from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum
from typing import Any

from sumachook.host.effects import AppendDayLog, AppendRecords, RewriteRecords
from sumachook.storage.events import DiskStateChanged

STALLED_AFTER = timedelta(seconds=1)  # the disk counts as unavailable if a write step takes longer than this
MAX_QUEUED_WRITES = 4096  # the disk also counts as unavailable if more writes than this are queued

Write = AppendRecords | RewriteRecords | AppendDayLog


class WriteKind(Enum):
    """The way in which a step changes its file."""

    APPEND = "append"
    REWRITE = "rewrite"
    DAY_LOG = "day log"


@dataclass(frozen=True, slots=True)
class WriteStep:
    """The records that one sync writes to one file; afterwards the state machine receives `followups`."""

    kind: WriteKind
    file: str
    records: tuple[Any, ...]
    followups: tuple[Any, ...]
    started_at: timedelta


def step_of(write: Write, now: timedelta) -> WriteStep:
    """Returns the step for a single write."""
    match write:
        case AppendRecords(file, records, done):
            kind = WriteKind.APPEND
        case RewriteRecords(file, records, done):
            kind = WriteKind.REWRITE
        case AppendDayLog(file, records):
            kind, done = WriteKind.DAY_LOG, None
    return WriteStep(kind, file, records, () if done is None else (done,), now)


@dataclass(slots=True)
class _QueuedWrites:
    """The queued writes of one file."""

    queued_at: timedelta
    kind: WriteKind = WriteKind.APPEND
    records: list[Any] = field(default_factory=list)
    followups: list[Any] = field(default_factory=list)
    count: int = 0


class WriteQueue:
    """Queues the writes of the state machine and returns them one step at a time.

    A step contains all queued writes of one file. `first_file` has priority, since other nodes wait for its writes. Day
    logs come next, since a record is acknowledged only after its line is durable, then all other files, oldest first.
    A rewrite replaces the queued writes of its file, so that the queue holds at most one rewrite per file.

    >>> queue, zero = WriteQueue("log"), timedelta(0)
    >>> queue.put(AppendRecords("ledger", (["row"],), "row is safe"), zero)
    >>> queue.put(AppendRecords("log", (["old"],), "old is safe"), zero)
    >>> queue.put(RewriteRecords("log", (["all"],)), zero)
    >>> queue.begin_step(zero).records
    (['all'],)
    >>> queue.finish_step(), queue.begin_step(zero).file
    (('old is safe',), 'ledger')
    """

    __slots__ = ("first_file", "waiting", "step", "error", "was_available")

    def __init__(self, first_file: str = "") -> None:
        self.first_file = first_file
        self.waiting: dict[str, _QueuedWrites] = {}
        self.step: WriteStep | None = None
        self.error = ""
        self.was_available = True

    def put(self, write: Write, now: timedelta) -> None:
        """Queues a write; its `done` value, if any, is returned by `finish_step` once the write is durable."""
        step = step_of(write, now)
        waiting = self.waiting.setdefault(step.file, _QueuedWrites(now))
        if step.kind is not WriteKind.APPEND:
            waiting.kind = step.kind
        if step.kind is WriteKind.REWRITE:
            waiting.records = []
        waiting.records.extend(step.records)
        waiting.followups.extend(step.followups)
        waiting.count += 1

    @property
    def is_empty(self) -> bool:
        """Whether no write is queued or in progress."""
        return self.step is None and not self.waiting

    def begin_step(self, now: timedelta) -> WriteStep | None:
        """Returns the step to write now, the same one until it is finished; None if the queue is empty."""
        if self.step is None and self.waiting:
            file = min(self.waiting, key=self._rank)
            waiting = self.waiting.pop(file)
            self.step = WriteStep(waiting.kind, file, tuple(waiting.records), tuple(waiting.followups), now)
        return self.step

    def finish_step(self) -> tuple[Any, ...]:
        """Marks the current step as durable and returns its followups."""
        step = self.step
        self.step = None
        self.error = ""
        return step.followups if step is not None else ()

    def fail_step(self, error: str) -> None:
        """Records the error of the current step, which remains current and is retried."""
        self.error = error

    def state_change(self, now: timedelta) -> DiskStateChanged | None:
        """Returns the availability of the disk if it changed since the last call, else None."""
        reason = self.error or self._stall_reason(now)
        is_available = not reason
        if is_available == self.was_available:
            return None
        self.was_available = is_available
        return DiskStateChanged(is_available, reason)

    def _rank(self, file: str) -> tuple[bool, bool, timedelta]:
        waiting = self.waiting[file]
        return (file != self.first_file, waiting.kind is not WriteKind.DAY_LOG, waiting.queued_at)

    def _stall_reason(self, now: timedelta) -> str:
        if self.step is not None and now - self.step.started_at > STALLED_AFTER:
            return "a write takes longer than 1 s"
        if sum(waiting.count for waiting in self.waiting.values()) > MAX_QUEUED_WRITES:
            return "too many writes are queued"
        return ""
