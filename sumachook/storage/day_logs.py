"""Day logs: request records as JSON lines for operators, in segments whose total size is bounded."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import msgspec

from sumachook.storage.file_system import FileSystem

PREFIX, SUFFIX = "day-", ".jsonl"
SEGMENT_BYTES = 4 << 20  # limit of one segment, small enough to open in a log viewer
MAX_TOTAL_BYTES = 32 << 20  # limit of all day logs; keeps the files of a core far below the size of its disk
MAX_INHERITED_LINES = 2000  # lines of an earlier process that may be unacknowledged, hence resubmitted


@dataclass(slots=True)
class _Segment:
    """The open segment of a day, to which its lines are appended."""

    length: int
    is_unsynced: bool = False  # whether a write failed, so that bytes beyond `length` are undefined
    inherited: frozenset[bytes] = frozenset()  # last lines that an earlier process wrote


class DayLogs:
    """Appends lines to `day-DATE.jsonl`; renames a full file to `day-DATE.NUMBER.jsonl`, removes the oldest files."""

    __slots__ = ("file_system", "segment_bytes", "max_bytes", "segments", "removed")

    def __init__(
        self, file_system: FileSystem, segment_bytes: int = SEGMENT_BYTES, max_bytes: int = MAX_TOTAL_BYTES
    ) -> None:
        self.file_system = file_system
        self.segment_bytes = segment_bytes
        self.max_bytes = max_bytes
        self.segments: dict[str, _Segment] = {}
        self.removed: list[str] = []  # names of removed segments that have not been logged yet

    def append(self, name: str, records: Iterable[Any]) -> None:
        """Appends the records as lines to the log of a day and syncs it."""
        is_first_write = name not in self.segments
        if is_first_write:
            self._open(name)
        inherited = self.segments[name].inherited  # lines written without acknowledgement are submitted again
        lines = [line for record in records if (line := msgspec.json.encode(record)) not in inherited]
        raw = b"".join(line + b"\n" for line in lines)
        if not is_first_write and self.segments[name].length + len(raw) > self.segment_bytes:
            self._rotate(name)
        segment = self.segments[name]
        if segment.is_unsynced:
            self.file_system.truncate(name, segment.length)
        segment.is_unsynced = True
        self.file_system.append(name, raw)
        segment.is_unsynced = False
        segment.length += len(raw)

    def _open(self, name: str) -> None:
        """Opens the file that an earlier process left and drops its torn lines, or creates the file."""
        if name not in self.file_system.names():
            self._create(name)
            return
        raw = self.file_system.read(name)
        lines = complete_lines(raw)
        complete = b"".join(line + b"\n" for line in lines)
        if complete != raw:  # a torn line was never acknowledged; a line appended to it would be lost
            self.file_system.write_new(name + ".new", complete)
            self.file_system.rename(name + ".new", name)
        else:
            self.file_system.sync(name)
        self.file_system.sync_folder()
        self.segments[name] = _Segment(len(complete), inherited=frozenset(lines[-MAX_INHERITED_LINES:]))

    def _create(self, name: str) -> None:
        self.file_system.sync_folder()  # without it, a power loss could keep the new name but lose the previous rename
        self._remove_oldest_segments()
        self.file_system.write_new(name, b"")
        self.file_system.sync_folder()
        self.segments = dict(list(self.segments.items())[-1:]) | {name: _Segment(0)}

    def _rotate(self, name: str) -> None:
        day = name.removesuffix(SUFFIX)
        numbers = [
            int(number) for other in self.file_system.names() if (number := _segment_number(other, day)).isdigit()
        ]
        if self.segments[name].is_unsynced:
            self.file_system.truncate(name, self.segments[name].length)
        del self.segments[name]
        self.file_system.rename(name, f"{day}.{max(numbers, default=0) + 1:04d}{SUFFIX}")
        self._create(name)

    def _remove_oldest_segments(self) -> None:
        """Removes the oldest segments until another full segment fits below the limit."""
        sizes = {name: self.file_system.size(name) for name in self.file_system.names() if name.startswith(PREFIX)}
        for name in sorted(sizes, key=_age_key):
            if sum(sizes.values()) + self.segment_bytes <= self.max_bytes:
                return
            self.file_system.remove(name)
            del sizes[name]
            self.removed.append(name)


def complete_lines(raw: bytes) -> list[bytes]:
    """Returns the complete lines of a log; a power loss can leave a torn line, which was never acknowledged.

    >>> complete_lines(b'{"a":1}\\n{"b":')
    [b'{"a":1}']
    """
    return [line for line in raw.split(b"\n") if _is_complete(line)]


def _segment_number(name: str, day: str) -> str:
    return name.removeprefix(day + ".").removesuffix(SUFFIX) if name.startswith(day + ".") else ""


def _age_key(name: str) -> tuple[str, int]:
    """Sort key: by day, and within a day by segment number with the open segment last."""
    day, _, number = name.removesuffix(SUFFIX).partition(".")
    return (day, int(number) if number.isdigit() else 1 << 30)


def _is_complete(line: bytes) -> bool:
    try:
        return isinstance(msgspec.json.decode(line), dict)
    except msgspec.DecodeError:
        return False
