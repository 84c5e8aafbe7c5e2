"""A folder in memory that loses with the power what a real one may lose (docs/design/simulation.md)."""

import errno
from random import Random

from sumachook.storage.file_system import FileSystem

LOSE_ALL = 0.25  # so often a loss of power removes every change that was not synced


class ProcessEndedError(Exception):
    """The process ends in the middle of an operation."""


class SimulatedFile:
    """A file's durable content, and the changes since its last sync."""

    __slots__ = ("durable", "current", "changes")

    def __init__(self):
        self.durable, self.current = b"", bytearray()
        self.changes: list[tuple] = []  # ("write", place, bytes) or ("length", length)

    def write(self, raw: bytes):
        self.change("write", len(self.current), raw)

    def change(self, *change):
        self.changes.append(change)
        _carry_out(self.current, change)

    def sync(self):
        self.durable, self.changes = bytes(self.current), []

    def lose_power(self, random: Random, loses_all: bool):
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
    """Holds to `FileSystem`; `is_refusing` makes every change fail, `steps_left` ends the process in the middle of one."""

    __slots__ = ("random", "durable_names", "files", "name_changes", "is_refusing", "steps_left")

    def __init__(self, random: Random):
        self.random = random
        self.durable_names: dict[str, SimulatedFile] = {}
        self.files: dict[str, SimulatedFile] = {}
        self.name_changes: list[
            dict
        ] = []  # name -> file, or None for one that is gone; each change is kept or lost as a whole
        self.is_refusing, self.steps_left = False, None

    @property
    def location(self) -> str:
        """No path: the files are in memory."""
        return "memory"

    # the operations -------------------------------------------------------------

    def prepare(self):
        pass

    def names(self):
        return sorted(self.files)

    def size(self, name):
        return len(self._file(name).current)

    def read(self, name):
        return bytes(self._file(name).current)

    def write_new(self, name, raw):
        self._step()
        if name in self.files:
            self.files[name].change("length", 0)
        else:
            self._change_names({name: SimulatedFile()})
        self._write(name, raw)

    def append(self, name, raw):
        self._step()
        self._write(name, raw)

    def truncate(self, name, length):
        self._step()
        self._file(name).change("length", length)
        self._step()
        self._file(name).sync()

    def sync(self, name):
        self._step()
        self._file(name).sync()

    def rename(self, name, new_name):
        self._step()
        self._change_names({name: None, new_name: self._file(name)})

    def remove(self, name):
        self._step()
        self._file(name)
        self._change_names({name: None})

    def sync_folder(self):
        self._step()
        self.durable_names, self.name_changes = dict(self.files), []

    # faults ---------------------------------------------------------------------

    def lose_power(self):
        """What was not synced is kept or lost, each change by itself; at times all of it is lost."""
        loses_all = self.random.random() < LOSE_ALL
        files = dict(self.durable_names)
        for change in [] if loses_all else self.name_changes:
            if self.random.random() < 0.5:
                _rename_in(files, change)
        self.files, self.durable_names, self.name_changes = files, dict(files), []
        for file in set(files.values()):
            file.lose_power(self.random, loses_all)

    def wipe(self):
        self.files, self.durable_names, self.name_changes = {}, {}, []

    def _write(self, name, raw):
        """In two halves, so that a process may end between them."""
        file, half = self._file(name), self.random.randint(0, len(raw))
        for part in (raw[:half], raw[half:]):
            file.write(part)
            self._step()
        file.sync()

    def _step(self):
        if self.is_refusing:
            raise OSError(errno.ENOSPC, "No space left on device")
        if self.steps_left is not None:
            if self.steps_left == 0:
                raise ProcessEndedError
            self.steps_left -= 1

    def _file(self, name) -> SimulatedFile:
        if name not in self.files:
            raise FileNotFoundError(errno.ENOENT, "No such file", name)
        return self.files[name]

    def _change_names(self, change: dict):
        self.name_changes.append(change)
        _rename_in(self.files, change)


def _carry_out(content: bytearray, change: tuple):
    if change[0] == "length":
        del content[change[1] :]
        content.extend(bytes(change[1] - len(content)))
        return
    _, place, raw = change
    content.extend(bytes(max(0, place - len(content))))
    content[place : place + len(raw)] = raw


def _torn(change: tuple, random: Random) -> tuple:
    """The write without a part of it: its head, its body or its end; now and then the length is set and there are only zeros."""
    _, place, raw = change
    first, last = sorted((random.randint(0, len(raw)), random.randint(0, len(raw))))
    kept = random.choice(("head", "end", "zeros"))
    if kept == "head":
        return ("write", place, raw[:last])
    if kept == "end":
        return ("write", place + first, raw[first:])
    return ("write", place, raw[:first] + bytes(last - first) + raw[last:])


def _rename_in(files: dict, change: dict):
    for name, file in change.items():
        if file is None:
            files.pop(name, None)
        else:
            files[name] = file
