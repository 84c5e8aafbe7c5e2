"""What an edge reads off a request before it forwards it."""

from typing import NamedTuple


class Request(NamedTuple):
    """The facts of a request in neutral words (§14.4); tokens are counts, `deadlineMs` what the client will still wait."""

    host: str
    request_id: str
    deadline_ms: float | None = None
    model: str = ""
    adapter: str = ""
    prompt_tokens: int = 0
    most_tokens: int = 0
    parts: tuple = ()  # (id, tokens) of the prompt's parts in order; the last is the request's own
    last_event_id: str = ""
