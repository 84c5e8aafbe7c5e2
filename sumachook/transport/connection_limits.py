"""Bounds on what a client may send on a connection, and for how long it may take or rest."""

from dataclasses import dataclass

from aiohttp.web_request import BaseRequest

UNBOUNDED = float("inf")


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Sizes in bytes, times in seconds.

    `header_timeout` runs from the first byte of a request's head to its last; `idle_timeout` bounds how long a
    connection may rest between requests, and how long a body may stall.
    """

    header_bytes: float = UNBOUNDED
    body_bytes: int = 1 << 20
    header_timeout: float = UNBOUNDED
    idle_timeout: float = 15.0


def header_size(request: BaseRequest) -> int:
    """Bytes of a request's header fields, each with colon, blank and line end; or of its target, if longer."""
    return max(len(request.raw_path), sum(len(name) + len(value) + 4 for name, value in request.raw_headers))
