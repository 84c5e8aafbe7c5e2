"""Tracks the models and adapters that requests at the edges wait for because no known server holds them."""

from datetime import timedelta
from typing import NamedTuple

from sumachook.placement.messages import RequestsByService

Key = tuple[str, str]  # (service, "model" or "model/adapter")


class WaitingAtEdge(NamedTuple):
    """The number of requests waiting at one edge, their earliest deadline, and the time of the edge's report."""

    requests: int
    deadline: timedelta
    reported_at: timedelta


class PlacementRequests:
    """Collects the placement requests of the edges, which expire unless repeated while client requests wait.

    >>> requests, ms = PlacementRequests(), timedelta(milliseconds=1)
    >>> requests.record("edge-1", {"llm": {"m": (2, 1500.0), "n/a1": (1, 400.0)}}, ms * 0)
    True
    >>> requests.record("edge-2", {"llm": {"m": (1, 900.0)}}, ms * 100)
    False
    >>> requests.pending(ms * 200)  # three requests wait for m
    [('llm', 'm'), ('llm', 'n/a1')]
    >>> requests.pending(ms * 450), requests.pending(ms * 900)
    ([('llm', 'm')], [])
    """

    __slots__ = ("by_key", "first_seen")

    EDGE_TIMEOUT = timedelta(seconds=0.8)  # edges repeat their placement requests several times within this period
    ADVANCE_PER_REQUEST = timedelta(seconds=0.3)  # priority per waiting request, as one load serves all of them

    def __init__(self) -> None:
        self.by_key: dict[Key, dict[str, WaitingAtEdge]] = {}
        self.first_seen: dict[Key, timedelta] = {}

    def record(self, edge: str, waiting: RequestsByService, now: timedelta) -> bool:
        """Records the placement requests of an edge; returns whether any model or adapter is newly requested."""
        known = len(self.first_seen)
        for service, names in waiting.items():
            for name, (requests, deadline_ms) in names.items():
                key = (service, name)
                self.first_seen.setdefault(key, now)
                deadline = now + timedelta(milliseconds=deadline_ms)
                self.by_key.setdefault(key, {})[edge] = WaitingAtEdge(requests, deadline, now)
        return len(self.first_seen) > known

    def pending(self, now: timedelta) -> list[Key]:
        """Returns the models and adapters that requests wait for, most urgent first, and drops expired entries."""
        found = []
        for key, edges in list(self.by_key.items()):
            waiting = {edge: item for edge, item in edges.items() if self._is_waiting(item, now)}
            if not waiting:
                self.forget(*key)
                continue
            self.by_key[key] = waiting
            soonest = min(item.deadline for item in waiting.values())
            found.append((soonest - self.ADVANCE_PER_REQUEST * self.count(key), key))
        return [key for _, key in sorted(found)]

    def _is_waiting(self, item: WaitingAtEdge, now: timedelta) -> bool:
        return item.requests > 0 and item.deadline > now and now - item.reported_at < self.EDGE_TIMEOUT

    def count(self, key: Key) -> int:
        """Returns the number of requests that wait for a model or adapter, at all edges."""
        return sum(item.requests for item in self.by_key.get(key, {}).values())

    def age(self, key: Key, now: timedelta) -> timedelta:
        """Returns how long requests have been waiting for a model or adapter; zero if none do."""
        return now - self.first_seen.get(key, now)

    def forget(self, service: str, name: str) -> None:
        """Removes a model or adapter until an edge requests it again."""
        self.by_key.pop((service, name), None)
        self.first_seen.pop((service, name), None)
