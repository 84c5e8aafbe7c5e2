"""Weighted fair queues in which prompts wait for a server."""

from collections.abc import Iterator
from typing import Any

# Upper bound on the turns (of weight one) that a queue accumulates while it is idle.
MAX_SAVED_TURNS = 2.0
REBASE_AT = 1e6  # counters are rebased at this many turns, far below the limit up to which a float counts exactly


class Queues:
    """Weighted fair queueing; requests within one queue stay in FIFO order.

    >>> queues = Queues()
    >>> for request in "abcdef": queues.push("counter" if request < "d" else "audit", request)
    >>> weights = {"counter": 4, "audit": 1}
    >>> [request for _, request in queues.turns(weights)]
    ['d', 'a', 'b', 'c', 'e', 'f']
    """

    __slots__ = ("requests", "served")

    def __init__(self) -> None:
        self.requests: dict[str, list[Any]] = {}  # waiting requests by queue
        self.served: dict[str, float] = {}  # number of turns served, divided by the queue's weight, by queue

    def push(self, queue: str, request: Any) -> None:
        """Appends a request to its queue."""
        self.requests.setdefault(queue, []).append(request)

    def remove(self, queue: str, request: Any) -> None:
        """Removes a request from its queue; does nothing if it is not queued."""
        if request in self.requests.get(queue, ()):
            self.requests[queue].remove(request)

    def length(self, queue: str) -> int:
        """Returns the number of requests that wait in a queue."""
        return len(self.requests.get(queue, ()))

    def turns(self, weights: dict[str, int]) -> Iterator[tuple[str, Any]]:
        """Yields every waiting request once, with the queues interleaved by weight.

        Charges nothing: the caller reports each request that it sends with `charge_turn`.
        """
        positions = {queue: 0 for queue, requests in self.requests.items() if requests}
        requests = {queue: list(self.requests[queue]) for queue in positions}
        served = {queue: self.served.get(queue, 0.0) for queue in positions}
        while positions:
            queue = min(positions, key=lambda name: (served[name], name))
            yield queue, requests[queue][positions[queue]]
            served[queue] += 1 / weights.get(queue, 1)
            positions[queue] += 1
            if positions[queue] >= len(requests[queue]):
                del positions[queue]

    def charge_turn(self, queue: str, weights: dict[str, int]) -> None:
        """Counts a served turn; a queue that was idle lags behind the most served one by at most `MAX_SAVED_TURNS`."""
        max_served = max(self.served.values(), default=0.0)
        floor = max_served - MAX_SAVED_TURNS
        self.served[queue] = max(self.served.get(queue, 0.0), floor) + 1 / weights.get(queue, 1)
        if max_served > REBASE_AT:
            self.served = {name: value - max_served for name, value in self.served.items()}
