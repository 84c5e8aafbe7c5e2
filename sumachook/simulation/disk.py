"""Simulated disk of a machine: the product's storage code over files in memory (docs/design/simulation.md)."""

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

MAX_OPERATIONS_PER_STEP = 12  # about as many file operations as one step has; a process may end after any of them


class Disk:
    """Executes writes as a host does; a write in progress when the process ends or the power fails may be lost.

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
        "synced_tags",
        "unfinished",
    )

    synced_tags: set[str]

    def __init__(self, seed: int = 0) -> None:
        self.random = Random(seed)
        self.file_system = SimulatedFileSystem(self.random)
        self.folder, self.queue = DataFolder(self.file_system), WriteQueue(LOG)
        self.stalled_until = self.refuses_until = timedelta(0)
        self.delay = timedelta(seconds=0.002)
        self.unfinished: list[WriteStep] = []  # requested writes, in order, until their step is finished
        self.synced_tags = set()  # tags of records that were synced in a ledger on this disk, for the invariant checker

    @property
    def files(self) -> dict[str, Any]:
        """Maps each file name to the records that reading the folder now would find."""
        found: dict[Any, Any] = {}
        for name in self.file_system.names():
            raw = self.file_system.read(name)
            if name.startswith("day-"):
                day = name[: len("day-2026-03-02")] + ".jsonl"  # all segments of a day are one file here
                found.setdefault(day, []).extend(as_tuples(msgspec.json.decode(line)) for line in complete_lines(raw))
            elif "." not in name:
                found[name] = list(read_file(name, raw).records)
        return found

    # process lifecycle -----------------------------------------------------------

    def open(self, now: timedelta) -> OpenResult:
        """Opens the folder for a process that starts now; raises `OSError` while the disk refuses operations."""
        self._update_refusal(now)
        self.folder, self.queue = DataFolder(self.file_system), WriteQueue(LOG)
        return self.folder.open(FILES, IDENTITY_FILES)

    def begin(self, write: Write, now: timedelta) -> None:
        """Queues a write of the process."""
        self.queue.put(write, now)
        self.unfinished.append(step_of(write, now))

    def finish(self, now: timedelta = timedelta(0)) -> Any:
        """Completes the current write step durably and returns the events for its writer.

        Returns None if the disk refuses the write.
        """
        step = self.queue.begin_step(now)
        assert step is not None, "no write is under way"
        self._update_refusal(now)
        try:
            self.folder.write(step)
        except OSError as error:
            self.queue.fail_step(str(error))
            return None
        if step.kind is WriteKind.APPEND and step.file == LEDGER:
            self.synced_tags.update(record[1]["tag"] for record in step.records)
        waiting = self.queue.waiting.get(step.file)
        left = waiting.count if waiting else 0  # writes of this file that were queued after the step began
        file_writes = [write for write in self.unfinished if write.file == step.file]
        done = set(map(id, file_writes[: len(file_writes) - left]))
        self.unfinished = [write for write in self.unfinished if id(write) not in done]
        return self.queue.finish_step()

    # faults ---------------------------------------------------------------------

    def end_process(self) -> None:
        """Ends the process: the current write step stops at a random point and the files stay as they are then."""
        step = self.queue.begin_step(timedelta(0))
        if step is not None and not self.file_system.is_refusing:
            self.file_system.steps_left = self.random.randint(0, MAX_OPERATIONS_PER_STEP)
            try:
                self.folder.write(step)
            except ProcessEndedError:
                pass
            self.file_system.steps_left = None
        self._discard_writes()

    def lose_power(self, writes_kept: int | None = None) -> None:
        """Ends the process and may lose everything that was not synced.

        With `writes_kept`, exactly that many of the oldest unfinished writes are kept.
        """
        if writes_kept is not None:
            for write in self.unfinished[:writes_kept] if not self.file_system.is_refusing else ():
                self.folder.write(write)
            self._discard_writes()
            return
        self.end_process()
        self.file_system.lose_power()

    def remove(self, name: str) -> None:
        """Removes a file while the node does not know of it, as an outside process might."""
        self.file_system.remove(name)
        self.file_system.sync_folder()

    def wipe(self) -> None:
        """Erases all files, as if the machine got an empty disk."""
        self.file_system.wipe()
        self._discard_writes()
        self.synced_tags.clear()

    def _discard_writes(self) -> None:
        self.queue, self.unfinished = WriteQueue(LOG), []

    def _update_refusal(self, now: timedelta) -> None:
        self.file_system.is_refusing = now < self.refuses_until
