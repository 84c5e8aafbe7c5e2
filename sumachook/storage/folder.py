"""The data folder of a node: how its files are written, and how they are recovered at startup."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Any

from sumachook.storage.batches import FileContent, Position, pack_batch, read_file
from sumachook.storage.day_logs import DayLogs
from sumachook.storage.file_system import FileSystem
from sumachook.storage.write_queue import WriteKind, WriteStep

TEMPORARY_SUFFIX = ".new"  # suffix of the replacement file during a rewrite
DAMAGED_SUFFIX = ".damaged"  # suffix of a damaged file that is kept for the operator


@dataclass(frozen=True, slots=True)
class DamagedFile:
    """A damaged file that was renamed to `kept_as`, and the reason."""

    name: str
    reason: str
    kept_as: str


@dataclass(frozen=True, slots=True)
class OpenResult:
    """Result of opening the folder: the records of each readable file, and the damaged files."""

    records: dict[str, tuple[Any, ...]]
    damages: tuple[DamagedFile, ...] = ()


class DataFolder:
    """The record files and day logs of one folder; a step is durable once `write` has returned.

    `open` must be called first. After an `OSError` the caller must retry the same step: the partially written bytes are
    truncated or rewritten before any further write to that file.
    """

    __slots__ = ("file_system", "day_logs", "positions", "generations", "unsynced", "damages")

    def __init__(self, file_system: FileSystem, day_logs: DayLogs | None = None) -> None:
        self.file_system = file_system
        self.day_logs = day_logs or DayLogs(file_system)
        self.positions: dict[str, Position] = {}
        self.generations: dict[str, int] = {}  # highest generation of each file that was written or read
        self.damages: dict[str, str] = {}
        self.unsynced: set[str] = set()  # files with undefined bytes after their position, since a write failed

    # startup --------------------------------------------------------------------

    def open(self, names: Iterable[str], identity_names: Sequence[str] = ()) -> OpenResult:
        """Reads the files `names`, and makes their content durable before the node acts on it.

        A file that lost more than an unsynced tail is renamed with the suffix ".damaged". If it is one of
        `identity_names`, all of these are renamed: the node then starts blank, since it may have lost its promises.
        """
        files = self.file_system
        files.prepare()
        self._remove_temporary_files()
        present = files.names()
        contents = {name: self._read(name) for name in names if name in present}
        damaged = {name: content.damage for name, content in contents.items() if content.damage}
        if lost := [name for name in identity_names if name in damaged]:
            discarded = [name for name in identity_names if name in contents]
            damaged = dict.fromkeys(discarded, f"set aside together with {lost[0]}") | damaged
        for name, reason in damaged.items():
            self._set_aside(name, reason)
        intact = {name: content for name, content in contents.items() if name not in damaged}
        for name, content in intact.items():
            self._make_durable(name, content.position)
        files.sync_folder()
        records = {name: content.records for name, content in intact.items()}
        damages = [DamagedFile(name, reason, name + DAMAGED_SUFFIX) for name, reason in self.damages.items()]
        return OpenResult(records, tuple(damages))

    def _remove_temporary_files(self) -> None:
        """Removes the temporary files of interrupted rewrites; the files that they would have replaced are intact."""
        for name in self.file_system.names():
            if name.endswith(TEMPORARY_SUFFIX):
                self.file_system.remove(name)

    def _set_aside(self, name: str, reason: str) -> None:
        """Renames a damaged file and syncs the folder.

        Files are renamed durably one by one: a crash must not lose a later file while an earlier one is still in use.
        """
        self.damages.setdefault(name, reason)
        self.file_system.rename(name, name + DAMAGED_SUFFIX)  # replaces the damaged file of an earlier start
        self.file_system.sync_folder()

    def _read(self, name: str) -> FileContent:
        return read_file(name, self.file_system.read(name))

    def _make_durable(self, name: str, position: Position) -> None:
        """Truncates an unsynced tail; syncs the file, which a killed process may have left unsynced."""
        if position.length == 0:
            self.file_system.remove(name)
            return
        if self.file_system.size(name) > position.length:
            self.file_system.truncate(name, position.length)
        else:
            self.file_system.sync(name)
        self.positions[name] = position
        self.generations[name] = position.generation

    # writing --------------------------------------------------------------------

    def write(self, step: WriteStep) -> None:
        """Writes one step and syncs it; raises OSError if the disk fails."""
        if step.kind is WriteKind.DAY_LOG:
            self.day_logs.append(step.file, step.records)
        elif step.kind is WriteKind.REWRITE or step.file not in self.positions:
            self._rewrite(step.file, step.records)
        else:
            self._append(step.file, step.records)

    def _append(self, name: str, records: Sequence[Any]) -> None:
        position = self.positions[name]
        if name in self.unsynced:
            self.file_system.truncate(name, position.length)
        self.unsynced.add(name)
        raw, next_position = pack_batch(name, position, records)
        self.file_system.append(name, raw)
        self.unsynced.discard(name)
        self.positions[name] = next_position

    def _rewrite(self, name: str, records: Sequence[Any]) -> None:
        """Writes and syncs a temporary file, then renames it, so that a renamed file has a complete first batch."""
        generation = self.generations[name] = self.generations.get(name, 0) + 1  # a retry uses yet another generation
        raw, next_position = pack_batch(name, Position(generation), records)
        temporary = name + TEMPORARY_SUFFIX
        self.file_system.write_new(temporary, raw)
        self.file_system.rename(temporary, name)
        self.file_system.sync_folder()
        self.unsynced.discard(name)
        self.positions[name] = next_position
