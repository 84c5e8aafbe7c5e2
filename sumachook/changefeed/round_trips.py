"""Matches the answers that a follower receives to its requests, and remembers when each request was sent."""

from datetime import timedelta
from typing import NamedTuple

MAX_OPEN_REQUESTS = 64  # far more than are sent between two heartbeats; bounds the memory if no core answers


class SentRequest(NamedTuple):
    """The time when a request was sent, and the number of the last change that the sender had applied then."""

    sent_at: timedelta
    number: int


class RoundTrips:
    """Tracks open requests by nonce; an answer proves freshness as of when its request was sent, not of its arrival.

    >>> trips, second = RoundTrips(7), timedelta(seconds=1)
    >>> first = trips.start(second, number=5)
    >>> trips.request(first), trips.request(first + 1)
    (SentRequest(sent_at=datetime.timedelta(seconds=1), number=5), None)
    >>> trips.clear(); trips.request(first) is None, trips.start(second, number=6) > first
    (True, True)
    """

    __slots__ = ("last_nonce", "open_requests")

    def __init__(self, first_nonce: int) -> None:
        self.last_nonce = first_nonce
        self.open_requests: dict[int, SentRequest] = {}

    def start(self, now: timedelta, number: int) -> int:
        """Registers a request sent now by a follower that has applied change `number`; returns the nonce for it."""
        self.last_nonce += 1
        self.open_requests[self.last_nonce] = SentRequest(now, number)
        while len(self.open_requests) > MAX_OPEN_REQUESTS:
            del self.open_requests[next(iter(self.open_requests))]
        return self.last_nonce

    def request(self, nonce: int) -> SentRequest | None:
        """Returns the open request with this nonce, or None."""
        return self.open_requests.get(nonce)

    def clear(self) -> None:
        """Discards all open requests, so that late answers to them prove nothing."""
        self.open_requests.clear()
