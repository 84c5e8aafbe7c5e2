"""A machine's disk in memory: the product's own storage over simulated files (docs/design/simulation.md)."""

from datetime import timedelta
from random import Random
from typing import Any

import msgspec

from sumachook.simulation.simulated_files import ProcessEndedError, SimulatedFileSystem
from sumachook.storage.batches import read_file
from sumachook.storage.day_logs import complete_lines
from sumachook.storage.folder import DataFolder, OpenResult
from sumachook.storage.layout import FILES, IDENTITY_FILES, LEDGER, LOG
from sumachook.storage.write_queue import Write, WriteKind, WriteQueue, WriteStep, step_of
from sumachook.transport.codec import as_tuples

MOST_OPERATIONS = 12  # of one step, about; a process may end after any of them


class Disk:
    """Takes writes as a host does; what is on its way when the process ends or the power is lost may be there or not.

    >>> from sumachook.host.effects import AppendRecords
    >>> disk, zero = Disk(), timedelta(0)
    >>> disk.begin(AppendRecords("log", (("a",),), "a is synced"), zero); disk.finish()
    ('a is synced',)
    >>> disk.files
    {'log': [('a',)]}
    """

    __slots__ = (
        "random",
        "file_system",
        "folder",
        "queue",
        "stalled_until",
        "refuses_until",
        "delay",
        "opened",
        "unfinished",
    )

    opened: set[str]

    def __init__(self, seed: int = 0) -> None:
        self.random = Random(seed)
        self.file_system = SimulatedFileSystem(self.random)
        self.folder, self.queue = DataFolder(self.file_system), WriteQueue(LOG)
        self.stalled_until = self.refuses_until = timedelta(0)
        self.delay = timedelta(seconds=0.002)
        self.unfinished: list[WriteStep] = []  # each write that was asked for, in order, until its step is finished
        self.opened = set()  # tags whose record was ever synced in a ledger here, noted for the invariant checker

    @property
    def files(self) -> dict[str, Any]:
        """{name: records} as a reader of the folder finds them now."""
        found: dict[Any, Any] = {}
        for name in self.file_system.names():
            raw = self.file_system.read(name)
            if name.startswith("day-"):
                day = name[: len("day-2026-03-02")] + ".jsonl"  # of all its segments
                found.setdefault(day, []).extend(as_tuples(msgspec.json.decode(line)) for line in complete_lines(raw))
            elif "." not in name:
                found[name] = list(read_file(name, raw).records)
        return found

    # a process's life -----------------------------------------------------------

    def open(self, now: timedelta) -> OpenResult:
        """What a process that starts now finds; raises `OSError` while the disk refuses."""
        self._obey(now)
        self.folder, self.queue = DataFolder(self.file_system), WriteQueue(LOG)
        return self.folder.open(FILES, IDENTITY_FILES)

    def begin(self, write: Write, now: timedelta) -> None:
        """The process asks for a write."""
        self.queue.put(write, now)
        self.unfinished.append(step_of(write, now))

    def finish(self, now: timedelta = timedelta(0)) -> Any:
        """The step under way is durable now: gives what its writer is to be told, or None if the disk refuses it."""
        step = self.queue.begin_step(now)
        assert step is not None, "no write is under way"
        self._obey(now)
        try:
            self.folder.write(step)
        except OSError as error:
            self.queue.fail_step(str(error))
            return None
        if step.kind is WriteKind.APPEND and step.file == LEDGER:
            self.opened.update(record[1]["tag"] for record in step.records)
        waiting = self.queue.waiting.get(step.file)
        left = waiting.count if waiting else 0  # of this file's writes, those that came after the step was begun
        mine = [write for write in self.unfinished if write.file == step.file]
        done = set(map(id, mine[: len(mine) - left]))
        self.unfinished = [write for write in self.unfinished if id(write) not in done]
        return self.queue.finish_step()

    # faults ---------------------------------------------------------------------

    def end_process(self) -> None:
        """The process ends: the step under way got to any point; files stay as they are."""
        step = self.queue.begin_step(timedelta(0))
        if step is not None and not self.file_system.is_refusing:
            self.file_system.steps_left = self.random.randint(0, MOST_OPERATIONS)
            try:
                self.folder.write(step)
            except ProcessEndedError:
                pass
            self.file_system.steps_left = None
        self._drop()

    def lose_power(self, writes_kept: int | None = None) -> None:
        """The process ends, and what no sync covered may be lost; or just all but the first so many writes."""
        if writes_kept is not None:
            for write in self.unfinished[:writes_kept] if not self.file_system.is_refusing else ():
                self.folder.write(write)
            self._drop()
            return
        self.end_process()
        self.file_system.lose_power()

    def remove(self, name: str) -> None:
        """Somebody removes a file behind the node's back."""
        self.file_system.remove(name)
        self.file_system.sync_folder()

    def wipe(self) -> None:
        """The machine gets an empty disk."""
        self.file_system.wipe()
        self._drop()
        self.opened.clear()

    def _drop(self) -> None:
        self.queue, self.unfinished = WriteQueue(LOG), []

    def _obey(self, now: timedelta) -> None:
        self.file_system.is_refusing = now < self.refuses_until
