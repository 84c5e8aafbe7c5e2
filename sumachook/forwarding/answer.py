"""What an edge reads off the head of a server's answer."""

from typing import NamedTuple


class Answer(NamedTuple):
    """`isNotRun`: the server promises that it did not run the request and never will; `isSealed`: it vouches for the body (§14.4)."""

    is_not_run: bool
    request_id: str
    is_sealed: bool
    retry_after: float | None
    cold_ms: float
