"""Writes that wait for the disk, in an order that keeps every promise."""

from dataclasses import dataclass, field
from datetime import timedelta

from sumachook.storage.messages import DiskState

APPEND, REWRITE, LINES = "disk", "rewrite", "journal"
STALLED_AFTER = timedelta(seconds=1)  # a step that takes so long means that the disk does not take records
MOST_WAITING = 4096  # so do that many writes


@dataclass(frozen=True, slots=True)
class WriteStep:
    """What goes to one file with one sync; afterwards the machine hears the `followups`."""

    verb: str
    name: str
    records: tuple
    followups: tuple
    begun_at: timedelta


@dataclass(slots=True)
class _Waiting:
    """What waits for one file."""

    since: timedelta
    verb: str = APPEND
    records: list = field(default_factory=list)
    followups: list = field(default_factory=list)
    count: int = 0


class WriteQueue:
    """Takes writes from the machine and gives them out one step at a time.

    All that waits for one file goes out in one step. `first_name` goes before all else: what others wait for most. Then
    come the day logs, since a record is acknowledged only after its line is durable (§11.3),
    then the rest, oldest first.
    A rewrite replaces what waited for its file before it, so that no file's part of the queue holds more than one.

    >>> queue, zero = WriteQueue("log"), timedelta(0)
    >>> queue.put(APPEND, "ledger", (["row"],), "row is safe", zero)
    >>> queue.put(APPEND, "log", (["old"],), "old is safe", zero)
    >>> queue.put(REWRITE, "log", (["all"],), None, zero)
    >>> queue.begin_step(zero).records
    (['all'],)
    >>> queue.finish_step(), queue.begin_step(zero).name
    (('old is safe',), 'ledger')
    """

    __slots__ = ("first_name", "waiting", "step", "error", "was_taking")

    def __init__(self, first_name: str = ""):
        self.first_name = first_name
        self.waiting: dict[str, _Waiting] = {}
        self.step: WriteStep | None = None
        self.error = ""
        self.was_taking = True

    def put(self, verb: str, name: str, records, followup, now: timedelta) -> None:
        """Takes a write; `followup` is what the machine is to hear once it is durable."""
        file = self.waiting.setdefault(name, _Waiting(now))
        if verb != APPEND:
            file.verb = verb
        if verb == REWRITE:
            file.records = []
        file.records.extend(records)
        file.count += 1
        if followup is not None:
            file.followups.append(followup)

    @property
    def is_empty(self) -> bool:
        """Whether nothing waits and nothing is under way."""
        return self.step is None and not self.waiting

    def begin_step(self, now: timedelta) -> WriteStep | None:
        """The step that is to be written now, the same until it is finished; None if nothing waits."""
        if self.step is None and self.waiting:
            name = min(self.waiting, key=self._rank)
            file = self.waiting.pop(name)
            self.step = WriteStep(file.verb, name, tuple(file.records), tuple(file.followups), now)
        return self.step

    def finish_step(self) -> tuple:
        """The step is durable; gives what the machine is to hear."""
        step, self.step, self.error = self.step, None, ""
        return step.followups if step is not None else ()

    def fail_step(self, error: str) -> None:
        """The step was refused; it is begun again."""
        self.error = error

    def state_change(self, now: timedelta) -> DiskState | None:
        """The disk's state, if it is another than was last given."""
        reason = self.error or self._delay(now)
        if (not reason) == self.was_taking:
            return None
        self.was_taking = not reason
        return DiskState(is_taking=not reason, reason=reason)

    def _rank(self, name: str):
        file = self.waiting[name]
        return (name != self.first_name, file.verb != LINES, file.since)

    def _delay(self, now: timedelta) -> str:
        if self.step is not None and now - self.step.begun_at > STALLED_AFTER:
            return "a write takes more than a second"
        if sum(file.count for file in self.waiting.values()) > MOST_WAITING:
            return "too many writes wait"
        return ""
