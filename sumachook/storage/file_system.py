"""The file operations that the storage needs, and their implementation on a real disk."""

import os
from pathlib import Path
from typing import Protocol

OWNER_ONLY = 0o600  # mode of new files, since the stored configuration contains the keys of clients


class FileSystem(Protocol):
    """One flat folder of files. Every operation that writes to a file syncs it before it returns.

    A name that was created, renamed or removed is durable only after `sync_folder`. Any operation may raise `OSError`;
    the content of the file that it was to change is undefined afterwards.
    """

    @property
    def location(self) -> str:
        """The location of the folder, for log and error messages."""

    def prepare(self) -> None:
        """Creates the folder durably if it does not exist."""

    def names(self) -> list[str]:
        """Returns the names of all files in the folder."""

    def size(self, name: str) -> int:
        """Returns the length of the file in bytes."""

    def read(self, name: str) -> bytes:
        """Returns the whole content of a file."""

    def write_new(self, name: str, raw: bytes) -> None:
        """Creates or empties the file, writes `raw` and syncs it."""

    def append(self, name: str, raw: bytes) -> None:
        """Appends `raw` to the file and syncs it."""

    def truncate(self, name: str, length: int) -> None:
        """Truncates the file to `length` bytes and syncs it."""

    def sync(self, name: str) -> None:
        """Syncs the file, since an earlier process may have written to it without a sync."""

    def rename(self, name: str, new_name: str) -> None:
        """Renames a file, replacing the file that had the new name."""

    def remove(self, name: str) -> None:
        """Removes a file from the folder."""

    def sync_folder(self) -> None:
        """Makes all created, renamed and removed names durable."""


class RealFileSystem:
    """A folder on a real disk."""

    __slots__ = ("path",)

    def __init__(self, path: Path) -> None:
        self.path = path

    @property
    def location(self) -> str:
        """The path of the folder."""
        return str(self.path)

    def prepare(self) -> None:
        """Creates the folder and each missing parent, and syncs the parent of each."""
        missing = []
        folder = self.path
        while not folder.exists():
            missing.append(folder)
            folder = folder.parent
        for folder in reversed(missing):
            folder.mkdir(exist_ok=True)
            _sync_folder(folder.parent)

    def names(self) -> list[str]:
        """Returns the names of all files in sorted order."""
        return sorted(entry.name for entry in os.scandir(self.path) if entry.is_file())

    def size(self, name: str) -> int:
        """Returns the length of the file in bytes."""
        return os.stat(self.path / name).st_size

    def read(self, name: str) -> bytes:
        """Returns the whole content of a file."""
        return (self.path / name).read_bytes()

    def write_new(self, name: str, raw: bytes) -> None:
        """Creates or empties the file, writes `raw` and syncs it."""
        self._write(name, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, raw)

    def append(self, name: str, raw: bytes) -> None:
        """Appends `raw` to the file and syncs it."""
        self._write(name, os.O_WRONLY | os.O_APPEND, raw)

    def truncate(self, name: str, length: int) -> None:
        """Truncates the file to `length` bytes and syncs it."""
        handle = os.open(self.path / name, os.O_WRONLY)
        try:
            os.ftruncate(handle, length)
            os.fsync(handle)
        finally:
            os.close(handle)

    def sync(self, name: str) -> None:
        """Syncs the file, which an earlier process may have left unsynced."""
        handle = os.open(self.path / name, os.O_RDWR)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)

    def rename(self, name: str, new_name: str) -> None:
        """Renames a file, replacing the file that had the new name."""
        os.replace(self.path / name, self.path / new_name)

    def remove(self, name: str) -> None:
        """Removes the file."""
        os.unlink(self.path / name)

    def sync_folder(self) -> None:
        """Syncs the entries of the folder."""
        _sync_folder(self.path)

    def _write(self, name: str, flags: int, raw: bytes) -> None:
        """Writes and syncs through one descriptor, so that fsync reports a failed write-back of these bytes."""
        handle = os.open(self.path / name, flags, OWNER_ONLY)
        try:
            rest = memoryview(raw)
            while rest:
                rest = rest[os.write(handle, rest) :]
            os.fsync(handle)
        finally:
            os.close(handle)


def _sync_folder(path: Path) -> None:
    handle = os.open(path, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)
