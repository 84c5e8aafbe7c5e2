"""Size limits and timeouts of client connections."""

from dataclasses import dataclass

from aiohttp.web_request import BaseRequest

UNBOUNDED = float("inf")


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Limits of one client connection: sizes in bytes, times in seconds.

    `header_timeout` runs from the first byte of a request's head to its last. `idle_timeout` limits how long a
    connection may be idle between requests, and how long the transfer of a body may stall.
    """

    header_bytes: float = UNBOUNDED
    body_bytes: int = 1 << 20
    header_timeout: float = UNBOUNDED
    idle_timeout: float = 15.0


def header_size(request: BaseRequest) -> int:
    """Returns the size in bytes of all header fields with separators and line ends, or of the target if larger."""
    return max(len(request.raw_path), sum(len(name) + len(value) + 4 for name, value in request.raw_headers))
