"""The request attributes that an edge reads from the headers before forwarding."""

from typing import NamedTuple

from sumachook.forwarding.credential import Credential


class RequestMetadata(NamedTuple):
    """Holds the parsed attributes of a request, independent of the header names."""

    host: str
    request_id: str
    deadline_ms: float | None = None  # milliseconds from now that the client waits for a response
    model: str = ""
    adapter: str = ""
    prompt_tokens: int = 0
    max_tokens: int = 0  # maximum number of tokens of the response
    parts: tuple[
        tuple[str, int], ...
    ] = ()  # (id, tokens) of each part of the prompt, in order; only the last part is unique to the request
    last_event_id: str = ""
    credentials: tuple[Credential, ...] = ()  # every API key sent; more than one is refused
    repeated_headers: tuple[str, ...] = ()  # names of routing headers that occur more than once
    unread_headers: tuple[str, ...] = ()  # unknown header names in the port's namespace; forwarded unchanged
