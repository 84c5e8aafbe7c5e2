"""In-memory file system that loses unsynced changes on a power failure, as a real one may.

docs/design/simulation.md describes the failures.
"""

import errno
from random import Random
from typing import Any

from sumachook.storage.file_system import FileSystem

LOSE_ALL_PROBABILITY = 0.25  # probability that a power failure loses every unsynced change


class ProcessEndedError(Exception):
    """Raised where the simulated process ends in the middle of a file operation."""


class SimulatedFile:
    """The durable content of a file and the changes since its last sync."""

    __slots__ = ("durable", "current", "changes")

    def __init__(self) -> None:
        self.durable, self.current = b"", bytearray()
        self.changes: list[tuple[Any, ...]] = []  # ("write", position, bytes) or ("length", length)

    def write(self, raw: bytes) -> None:
        """Appends bytes, which are not durable before the next sync."""
        self.change("write", len(self.current), raw)

    def change(self, *change: Any) -> None:
        """Applies a change to the content and records it as unsynced until the next sync."""
        self.changes.append(change)
        _apply_change(self.current, change)

    def sync(self) -> None:
        """Makes all changes of the content durable."""
        self.durable, self.changes = bytes(self.current), []

    def lose_power(self, random: Random, loses_all: bool) -> None:
        """Keeps, drops or tears each unsynced change independently; with `loses_all`, drops all of them."""
        content = bytearray(self.durable)
        for change in [] if loses_all else self.changes:
            fate = random.choice(("present", "absent", "torn"))
            if fate == "torn" and change[0] == "write":
                change = _torn(change, random)
            if fate != "absent":
                _apply_change(content, change)
        self.current = content
        self.sync()


class SimulatedFileSystem(FileSystem):
    """A `FileSystem` in memory.

    `is_refusing` makes every change fail with ENOSPC. `steps_left` counts the steps until the process ends in the
    middle of a change.
    """

    __slots__ = ("random", "durable_names", "files", "name_changes", "is_refusing", "steps_left")

    def __init__(self, random: Random) -> None:
        self.random = random
        self.durable_names: dict[str, SimulatedFile] = {}
        self.files: dict[str, SimulatedFile] = {}
        self.name_changes: list[
            dict[str, Any]
        ] = []  # name -> file, or None for a removed one; each change is kept or lost as a whole
        self.is_refusing = False
        self.steps_left: int | None = None

    @property
    def location(self) -> str:
        """Returns `memory`, since the files have no path."""
        return "memory"

    # file operations -------------------------------------------------------------

    def prepare(self) -> None:
        """Does nothing, because a folder in memory always exists."""

    def names(self) -> Any:
        """Returns the names of the files, sorted."""
        return sorted(self.files)

    def size(self, name: str) -> Any:
        """Returns the size of a file in bytes, including unsynced changes."""
        return len(self._file(name).current)

    def read(self, name: str) -> Any:
        """Returns the content of a file, including unsynced changes."""
        return bytes(self._file(name).current)

    def write_new(self, name: str, raw: bytes) -> None:
        """Creates or overwrites a file, and syncs its content."""
        self._step()
        if name in self.files:
            self.files[name].change("length", 0)
        else:
            self._change_names({name: SimulatedFile()})
        self._write(name, raw)

    def append(self, name: str, raw: bytes) -> None:
        """Appends to a file, and syncs it."""
        self._step()
        self._write(name, raw)

    def truncate(self, name: str, length: int) -> None:
        """Truncates a file to `length` bytes, and syncs it."""
        self._step()
        self._file(name).change("length", length)
        self._step()
        self._file(name).sync()

    def sync(self, name: str) -> None:
        """Makes the content of a file durable."""
        self._step()
        self._file(name).sync()

    def rename(self, name: str, new_name: str) -> None:
        """Renames a file; the new name is durable after the next sync of the folder."""
        self._step()
        self._change_names({name: None, new_name: self._file(name)})

    def remove(self, name: str) -> None:
        """Removes a file; the removal is durable after the next sync of the folder."""
        self._step()
        self._file(name)
        self._change_names({name: None})

    def sync_folder(self) -> None:
        """Makes creations, renames and removals of files durable."""
        self._step()
        self.durable_names, self.name_changes = dict(self.files), []

    # faults ---------------------------------------------------------------------

    def lose_power(self) -> None:
        """Keeps or loses each unsynced change independently; with a probability of 0.25 loses all of them."""
        loses_all = self.random.random() < LOSE_ALL_PROBABILITY
        files = dict(self.durable_names)
        for change in [] if loses_all else self.name_changes:
            if self.random.random() < 0.5:
                _rename_in(files, change)
        self.files, self.durable_names, self.name_changes = files, dict(files), []
        for file in set(files.values()):
            file.lose_power(self.random, loses_all)

    def wipe(self) -> None:
        """Erases all files, durable or not."""
        self.files, self.durable_names, self.name_changes = {}, {}, []

    def _write(self, name: str, raw: bytes) -> None:
        """Writes and syncs in two parts split at random, so that a process may end between them."""
        file, half = self._file(name), self.random.randint(0, len(raw))
        for part in (raw[:half], raw[half:]):
            file.write(part)
            self._step()
        file.sync()

    def _step(self) -> None:
        if self.is_refusing:
            raise OSError(errno.ENOSPC, "No space left on device")
        if self.steps_left is not None:
            if self.steps_left == 0:
                raise ProcessEndedError
            self.steps_left -= 1

    def _file(self, name: str) -> SimulatedFile:
        if name not in self.files:
            raise FileNotFoundError(errno.ENOENT, "No such file", name)
        return self.files[name]

    def _change_names(self, change: dict[str, Any]) -> None:
        self.name_changes.append(change)
        _rename_in(self.files, change)


def _apply_change(content: bytearray, change: tuple[Any, ...]) -> None:
    if change[0] == "length":
        del content[change[1] :]
        content.extend(bytes(change[1] - len(content)))
        return
    _, position, raw = change
    content.extend(bytes(max(0, position - len(content))))
    content[position : position + len(raw)] = raw


def _torn(change: tuple[Any, ...], random: Random) -> tuple[Any, ...]:
    """Returns a torn write: only its head, only its end, or the whole with a range of zeros.

    Zeros stand for a file whose length was updated but not its data.
    """
    _, position, raw = change
    first, last = sorted((random.randint(0, len(raw)), random.randint(0, len(raw))))
    kept = random.choice(("head", "end", "zeros"))
    if kept == "head":
        return ("write", position, raw[:last])
    if kept == "end":
        return ("write", position + first, raw[first:])
    return ("write", position, raw[:first] + bytes(last - first) + raw[last:])


def _rename_in(files: dict[str, Any], change: dict[str, Any]) -> None:
    for name, file in change.items():
        if file is None:
            files.pop(name, None)
        else:
            files[name] = file
