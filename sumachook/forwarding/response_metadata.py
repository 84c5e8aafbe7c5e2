"""The response attributes that an edge reads from the status and headers of a server's response."""

from typing import NamedTuple


class ResponseMetadata(NamedTuple):
    """Holds the parsed attributes of a response, independent of the header names."""

    is_not_run: bool  # the server states that it did not run the request and never will
    request_id: str
    is_sealed: bool  # the seal header marks the response as the server's own
    retry_after: float | None  # seconds that the server asks the client to wait before a retry
    cold_ms: float  # milliseconds of slow start that the server has left
