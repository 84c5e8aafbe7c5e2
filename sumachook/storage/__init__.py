"""The append-only file of checksummed records."""

from sumachook.storage.folder import Folder

__all__ = ["Folder"]
