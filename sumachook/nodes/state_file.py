"""An edge's copy of the state on its own disk, so that it can start while no core is reachable."""

from collections.abc import Iterable, Sequence
from datetime import timedelta
from typing import Any, Protocol

from sumachook.changefeed.state import ReplicatedState
from sumachook.host.effects import AppendRecords, RewriteRecords
from sumachook.transport.codec import read_entry

FILE = "image"
SNAPSHOT = "image"  # kind of the record of a snapshot; `ENTRIES` is that of the entries after it
ENTRIES = "entries"
MAX_ENTRIES = 64  # maximum number of entries after the snapshot, which a start must apply
MAX_ENTRY_BYTES = 256 << 10
SAVE_INTERVAL = timedelta(seconds=2)  # interval of saving changes other than configurations, to limit the syncs


class StoredState(ReplicatedState, Protocol):
    """The part of the control state's interface that its file needs."""

    generation: int  # counts the configurations that were accepted


class StateFile:
    """Stores a snapshot and the entries after it: configuration changes at once, all else within two seconds.

    `add(first, entries)` and `replace()` record changes of the state; `save(now)` returns the write that is due.
    """

    __slots__ = (
        "state",
        "has_disk",
        "saved_at",
        "saved_number",
        "saved_generation",
        "unsaved_entries",
        "unsaved_bytes",
        "saved_entry_count",
        "saved_bytes",
        "needs_snapshot",
    )

    def __init__(self, state: StoredState, has_disk: bool, records: Iterable[tuple[Any, ...]], now: timedelta) -> None:
        self.state = state
        self.has_disk = has_disk
        self.saved_at = now
        self.unsaved_entries: list[bytes] = []
        self.unsaved_bytes = 0
        self.saved_entry_count = 0
        self.saved_bytes = 0
        self.needs_snapshot = True
        for record in records:
            self._load(record)
        self.saved_number = state.number
        self.saved_generation = state.generation

    def _load(self, record: tuple[Any, ...]) -> None:
        if record[0] == SNAPSHOT:
            self.state.restore(record[1])
            self._note_rewritten()
            return
        _, first, entries = record
        self.saved_entry_count += len(entries)
        self.saved_bytes += sum(map(len, entries))
        for number, entry in enumerate(entries, first):
            if number == self.state.number + 1:
                self.state.apply(number, read_entry(entry))

    def add(self, first: int, entries: Sequence[bytes]) -> None:
        """Records entries applied to the state; raises `ValueError` if they do not end at the state's number."""
        if first + len(entries) - 1 != self.state.number:
            self.needs_snapshot = True
            raise ValueError(f"entries from number {first} do not end at state number {self.state.number}")
        if self.has_disk and not self.needs_snapshot:
            self.unsaved_entries += entries
            self.unsaved_bytes += sum(map(len, entries))

    def replace(self) -> None:
        """Records that the state was replaced by a snapshot, so that the file must be rewritten."""
        self.needs_snapshot = True

    def save(self, now: timedelta) -> list[AppendRecords | RewriteRecords]:
        """Returns the write that is due now, if any."""
        is_new = self.saved_generation != self.state.generation  # an accepted configuration is saved at once
        is_due = self.saved_number != self.state.number and now - self.saved_at > SAVE_INTERVAL
        if not self.has_disk or not (is_new or is_due):
            return []
        first = self.saved_number + 1
        entries = tuple(entry.decode() for entry in self.unsaved_entries)
        self._note_saved(now)
        has_all_entries = first + len(entries) - 1 == self.saved_number
        is_long = self.saved_entry_count > MAX_ENTRIES or self.saved_bytes > MAX_ENTRY_BYTES
        if has_all_entries and not self.needs_snapshot and not is_long:
            return [AppendRecords(FILE, ((ENTRIES, first, entries),))]
        self._note_rewritten()
        return [RewriteRecords(FILE, ((SNAPSHOT, self.state.snapshot()),))]

    def _note_saved(self, now: timedelta) -> None:
        self.saved_entry_count += len(self.unsaved_entries)
        self.saved_bytes += self.unsaved_bytes
        self.unsaved_entries = []
        self.unsaved_bytes = 0
        self.saved_at = now
        self.saved_number = self.state.number
        self.saved_generation = self.state.generation

    def _note_rewritten(self) -> None:
        self.needs_snapshot = False
        self.saved_entry_count = 0
        self.saved_bytes = 0
