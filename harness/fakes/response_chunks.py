"""The events of a response stream.

Every server produces the same events for the same request, so that a client can check a resumed stream.
"""

from hashlib import sha256

STRIDE = 6


def digest_of(body: bytes) -> str:
    return sha256(body).hexdigest()[:16]


def event_count(tokens_out: int) -> int:
    """Returns the number of events of a complete stream."""
    return max(1, -(-tokens_out // STRIDE))


def event_data(digest: str, number: int) -> str:
    """Returns the data of the event with this number, counted from 1.

    >>> event_data("5c1e", 3)
    '5c1e.3'
    """
    return f"{digest}.{number}"
