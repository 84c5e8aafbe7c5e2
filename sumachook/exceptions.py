"""Base classes of the exceptions that Sumachook raises."""


class SumachookError(Exception):
    """Base of all exceptions of this package."""


class StorageError(SumachookError):
    """Raised when a data file can't be read or written."""


class ProtocolError(SumachookError):
    """Raised when another node or server sends bytes that violate the protocol."""
