"""Identifiers of the client requests and upstream calls of a pipeline."""

from typing import Any, NamedTuple

FORWARDING = "transit"  # an attempt of a forwarded request; also the component of the forwarding pipeline in the log
INFERENCE = "ferry"  # the component of the inference pipeline in the log
PROXY = "front"  # kind of the call ids of client requests at the proxy server


class ProxyCallId(NamedTuple):
    """Identifies one client request at the proxy server; `kind` is always `PROXY`."""

    kind: str
    number: int


class AttemptId(NamedTuple):
    """Identifies one attempt of a request at a server, and the HTTP call that the host makes for it.

    `kind` is `FORWARDING`, or "prompt" or "lookup" for the inference pipeline.
    """

    kind: str
    request: int | str
    attempt: int

    def __repr__(self) -> str:
        """Formats the id as a plain tuple, so that the printed calls of different versions stay comparable."""
        return tuple.__repr__(self)


def is_proxied(call_id: Any) -> bool:
    """Returns whether a call id belongs to a forwarded request: to its client or to an attempt at a server.

    >>> is_proxied(ProxyCallId(PROXY, 1)), is_proxied(AttemptId("lookup", 1, 1)), is_proxied(1)
    (True, False, False)
    """
    return isinstance(call_id, tuple) and call_id[0] in (PROXY, FORWARDING)
