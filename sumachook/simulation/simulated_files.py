"""A folder in memory that loses with the power what a real one may lose (docs/design/simulation.md)."""

import errno
from random import Random
from typing import Any

from sumachook.storage.file_system import FileSystem

LOSE_ALL = 0.25  # so often a loss of power removes every change that was not synced


class ProcessEndedError(Exception):
    """The process ends in the middle of an operation."""


class SimulatedFile:
    """A file's durable content, and the changes since its last sync."""

    __slots__ = ("durable", "current", "changes")

    def __init__(self) -> None:
        self.durable, self.current = b"", bytearray()
        self.changes: list[tuple[Any, ...]] = []  # ("write", place, bytes) or ("length", length)

    def write(self, raw: bytes) -> None:
        """Appends; not durable before the next sync."""
        self.change("write", len(self.current), raw)

    def change(self, *change: Any) -> None:
        """One change of the content, kept until the next sync."""
        self.changes.append(change)
        _carry_out(self.current, change)

    def sync(self) -> None:
        """All changes are durable."""
        self.durable, self.changes = bytes(self.current), []

    def lose_power(self, random: Random, loses_all: bool) -> None:
        """Each change may be present, absent or torn, whatever becomes of the others."""
        content = bytearray(self.durable)
        for change in [] if loses_all else self.changes:
            fate = random.choice(("present", "absent", "torn"))
            if fate == "torn" and change[0] == "write":
                change = _torn(change, random)
            if fate != "absent":
                _carry_out(content, change)
        self.current = content
        self.sync()


class SimulatedFileSystem(FileSystem):
    """A `FileSystem` in memory.

    `is_refusing` makes every change fail, `steps_left` ends the process in the middle of one.
    """

    __slots__ = ("random", "durable_names", "files", "name_changes", "is_refusing", "steps_left")

    def __init__(self, random: Random) -> None:
        self.random = random
        self.durable_names: dict[str, SimulatedFile] = {}
        self.files: dict[str, SimulatedFile] = {}
        self.name_changes: list[
            dict[str, Any]
        ] = []  # name -> file, or None for one that is gone; each change is kept or lost as a whole
        self.is_refusing = False
        self.steps_left: int | None = None

    @property
    def location(self) -> str:
        """No path: the files are in memory."""
        return "memory"

    # the operations -------------------------------------------------------------

    def prepare(self) -> None:
        """Nothing to do: a folder in memory is there."""

    def names(self) -> Any:
        """The names of the files, in order."""
        return sorted(self.files)

    def size(self, name: str) -> Any:
        """How many bytes a file has."""
        return len(self._file(name).current)

    def read(self, name: str) -> Any:
        """The content of a file."""
        return bytes(self._file(name).current)

    def write_new(self, name: str, raw: bytes) -> None:
        """Writes a file anew, and syncs it."""
        self._step()
        if name in self.files:
            self.files[name].change("length", 0)
        else:
            self._change_names({name: SimulatedFile()})
        self._write(name, raw)

    def append(self, name: str, raw: bytes) -> None:
        """Adds to the end of a file, and syncs it."""
        self._step()
        self._write(name, raw)

    def truncate(self, name: str, length: int) -> None:
        """Cuts a file to a length, and syncs it."""
        self._step()
        self._file(name).change("length", length)
        self._step()
        self._file(name).sync()

    def sync(self, name: str) -> None:
        """What was written to a file is durable."""
        self._step()
        self._file(name).sync()

    def rename(self, name: str, new_name: str) -> None:
        """A file has another name, durable with the next sync of the folder."""
        self._step()
        self._change_names({name: None, new_name: self._file(name)})

    def remove(self, name: str) -> None:
        """A file is gone, durably with the next sync of the folder."""
        self._step()
        self._file(name)
        self._change_names({name: None})

    def sync_folder(self) -> None:
        """The names of the files are durable."""
        self._step()
        self.durable_names, self.name_changes = dict(self.files), []

    # faults ---------------------------------------------------------------------

    def lose_power(self) -> None:
        """What was not synced is kept or lost, each change by itself; at times all of it is lost."""
        loses_all = self.random.random() < LOSE_ALL
        files = dict(self.durable_names)
        for change in [] if loses_all else self.name_changes:
            if self.random.random() < 0.5:
                _rename_in(files, change)
        self.files, self.durable_names, self.name_changes = files, dict(files), []
        for file in set(files.values()):
            file.lose_power(self.random, loses_all)

    def wipe(self) -> None:
        """All files are gone, durable or not."""
        self.files, self.durable_names, self.name_changes = {}, {}, []

    def _write(self, name: str, raw: bytes) -> None:
        """In two halves, so that a process may end between them."""
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


def _carry_out(content: bytearray, change: tuple[Any, ...]) -> None:
    if change[0] == "length":
        del content[change[1] :]
        content.extend(bytes(change[1] - len(content)))
        return
    _, place, raw = change
    content.extend(bytes(max(0, place - len(content))))
    content[place : place + len(raw)] = raw


def _torn(change: tuple[Any, ...], random: Random) -> tuple[Any, ...]:
    """The write without a part of it: its head, its body or its end.

    Now and then the length is set and there are only zeros.
    """
    _, place, raw = change
    first, last = sorted((random.randint(0, len(raw)), random.randint(0, len(raw))))
    kept = random.choice(("head", "end", "zeros"))
    if kept == "head":
        return ("write", place, raw[:last])
    if kept == "end":
        return ("write", place + first, raw[first:])
    return ("write", place, raw[:first] + bytes(last - first) + raw[last:])


def _rename_in(files: dict[str, Any], change: dict[str, Any]) -> None:
    for name, file in change.items():
        if file is None:
            files.pop(name, None)
        else:
            files[name] = file
