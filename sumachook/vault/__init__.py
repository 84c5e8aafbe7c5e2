"""The append-only file of checksummed records."""

from sumachook.vault.folder import Folder

__all__ = ["Folder"]
