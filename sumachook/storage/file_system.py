"""The few operations on files that the storage needs, and their real implementation."""

import os
from pathlib import Path
from typing import Protocol

OWNER_ONLY = 0o600  # mode of new files: the stored configuration has clients' keys in it


class FileSystem(Protocol):
    """One flat folder. Every operation that writes comes back only after its own sync.

    A name that was made, renamed or removed is durable only after `sync_folder`. Any operation may raise `OSError`; the
    content of the file that it was to change is unknown from then on.
    """

    @property
    def location(self) -> str:
        """Where the folder is, for messages."""

    def prepare(self) -> None:
        """Makes the folder itself durable, if it is missing."""

    def names(self) -> list[str]:
        """The names of all files in the folder."""

    def size(self, name: str) -> int:
        """The file's length in bytes."""

    def read(self, name: str) -> bytes:
        """The whole content of a file."""

    def write_new(self, name: str, raw: bytes) -> None:
        """Makes the file, or empties it, writes `raw` and syncs it."""

    def append(self, name: str, raw: bytes) -> None:
        """Writes `raw` behind the file's end and syncs it."""

    def truncate(self, name: str, length: int) -> None:
        """Sets the file's length and syncs it."""

    def sync(self, name: str) -> None:
        """Makes durable what an earlier process may have written without a sync."""

    def rename(self, name: str, new_name: str) -> None:
        """Gives a file another name, in place of the file that had it."""

    def remove(self, name: str) -> None:
        """Takes a name out of the folder."""

    def sync_folder(self) -> None:
        """Makes all made, renamed and removed names durable."""


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
        """Makes the folder and each missing parent, and syncs each in its own parent."""
        missing = []
        folder = self.path
        while not folder.exists():
            missing.append(folder)
            folder = folder.parent
        for folder in reversed(missing):
            folder.mkdir(exist_ok=True)
            _sync_folder(folder.parent)

    def names(self) -> list[str]:
        """The names of all files, in order."""
        return sorted(entry.name for entry in os.scandir(self.path) if entry.is_file())

    def size(self, name: str) -> int:
        """The file's length in bytes."""
        return os.stat(self.path / name).st_size

    def read(self, name: str) -> bytes:
        """The whole content of a file."""
        return (self.path / name).read_bytes()

    def write_new(self, name: str, raw: bytes) -> None:
        """Makes or empties the file, writes and syncs it."""
        self._write(name, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, raw)

    def append(self, name: str, raw: bytes) -> None:
        """Writes behind the end and syncs."""
        self._write(name, os.O_WRONLY | os.O_APPEND, raw)

    def truncate(self, name: str, length: int) -> None:
        """Sets the length and syncs."""
        handle = os.open(self.path / name, os.O_WRONLY)
        try:
            os.ftruncate(handle, length)
            os.fsync(handle)
        finally:
            os.close(handle)

    def sync(self, name: str) -> None:
        """Syncs what an earlier process may have left."""
        handle = os.open(self.path / name, os.O_RDWR)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)

    def rename(self, name: str, new_name: str) -> None:
        """Renames, in place of the file of that name."""
        os.replace(self.path / name, self.path / new_name)

    def remove(self, name: str) -> None:
        """Removes the name."""
        os.unlink(self.path / name)

    def sync_folder(self) -> None:
        """Syncs the folder itself."""
        _sync_folder(self.path)

    def _write(self, name: str, flags: int, raw: bytes) -> None:
        """One descriptor for write and sync, so that an error of the write-back is reported here."""
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
