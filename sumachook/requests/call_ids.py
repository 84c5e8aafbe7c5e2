"""Ids by which hosts and other parts of an edge name what a pipeline has under way."""

from typing import Any, NamedTuple

FORWARDING = "transit"  # a forwarded attempt; also the component of its lines in the program's log
INFERENCE = "ferry"  # the inference pipeline in the program's log
PROXY = "front"  # a request of a client at the proxy server


class ProxyCallId(NamedTuple):
    """One request of a client at the proxy server; `kind` is `PROXY`."""

    kind: str
    number: int


class AttemptId(NamedTuple):
    """One attempt of a request at a server; the id of a call that the host makes.

    `kind` is `FORWARDING`, or "prompt" or "lookup" of the inference pipeline.
    """

    kind: str
    request: int | str
    attempt: int

    def __repr__(self) -> str:
        """As the plain tuple that it is to hosts; what is printed of calls stays comparable over versions."""
        return tuple.__repr__(self)


def is_proxied(call_id: Any) -> bool:
    """Whether a call belongs to a forwarded request: that of its client, or an attempt at a server.

    >>> is_proxied(ProxyCallId(PROXY, 1)), is_proxied(AttemptId("lookup", 1, 1)), is_proxied(1)
    (True, False, False)
    """
    return isinstance(call_id, tuple) and call_id[0] in (PROXY, FORWARDING)
