"""What an edge reads off a request before it forwards it."""

from typing import NamedTuple

from sumachook.forwarding.credential import Credential


class RequestMetadata(NamedTuple):
    """The facts of a request, whatever its headers are called."""

    host: str
    request_id: str
    deadline_ms: float | None = None  # what the client will still wait
    model: str = ""
    adapter: str = ""
    prompt_tokens: int = 0
    max_tokens: int = 0  # of the answer
    parts: tuple[
        tuple[str, int], ...
    ] = ()  # (id, tokens) of the prompt's parts in order; the last is the request's own
    last_event_id: str = ""
    credentials: tuple[Credential, ...] = ()  # each API key that it bears; more than one is not to be believed
    repeated_headers: tuple[str, ...] = ()  # names of headers that decide and are stated more than once
    unread_headers: tuple[str, ...] = ()  # names of the port's own namespace that it does not know; passed on
