"""Tracks the request rate and the number of running requests of each model and adapter."""

from datetime import timedelta
from math import log
from typing import NamedTuple

from sumachook.placement.messages import UsageByService
from sumachook.placement.model_names import model_of

FAST_HALF_LIFE = timedelta(seconds=2)  # half-life of a rate that follows a change of demand within a few load times
SLOW_HALF_LIFE = timedelta(seconds=7)  # half-life of a rate that is smooth for rarely requested models
FORGET_AFTER = SLOW_HALF_LIFE * 12  # after 12 half-lives a rate has decayed to about 0

Key = tuple[str, ...]  # (service, name), or (service, model, server) for the running requests at one server


class Rates(NamedTuple):
    """Exponentially decaying request rates (per second) with a short and a long half-life, as computed at time `at`."""

    fast: float
    slow: float
    at: timedelta


class Demand:
    """Aggregates the usage reports of the edges; an adapter's requests count for its base model too.

    >>> demand, second = Demand(), timedelta(seconds=1)
    >>> for turn in range(40):
    ...     demand.record("edge-1", {"llm": {"m/a1": (5, 2)}}, second * turn / 2)
    >>> round(demand.rate("llm", "m", second * 20)), demand.running[("llm", "m")], demand.rate("llm", "n", second)
    (9, 2, 0.0)
    >>> round(demand.rate("llm", "m", second * 30))  # no requests for ten seconds
    1
    """

    __slots__ = ("rates", "running", "edges", "last_started", "has_server_counts", "first_at")

    TREND_WEIGHT = 1.5  # weight of the fast minus the slow rate: about the change during one load
    EDGE_TIMEOUT = timedelta(seconds=2)  # an edge without a report for so long is dropped; edges report more often

    def __init__(self) -> None:
        self.rates: dict[Key, Rates] = {}
        self.running: dict[Key, int] = {}
        self.edges: dict[str, tuple[timedelta, dict[Key, int]]] = {}
        self.last_started: dict[Key, timedelta] = {}
        self.has_server_counts = False  # whether any edge reports running requests per server
        self.first_at: timedelta | None = None

    def record(self, edge: str, usage: UsageByService, now: timedelta) -> None:
        """Records the usage report of an edge, which replaces its previous one."""
        self._drop(edge)
        if self.first_at is None and usage:
            self.first_at = now
        running_here: dict[Key, int] = {}
        for service, names in usage.items():
            for name, (begun, running, *by_server) in names.items():
                if by_server:
                    self.has_server_counts = True
                    self._add_by_server(running_here, service, name, by_server[0])
                keys: set[Key] = {(service, name), (service, model_of(name))}
                for key in keys:
                    if running:
                        running_here[key] = running_here.get(key, 0) + running
                    if begun:
                        self.last_started[key] = now
                        self.rates[key] = self._decayed(key, now, begun)
        for key, count in running_here.items():
            self.running[key] = self.running.get(key, 0) + count
        self.edges[edge] = (now, running_here)

    @staticmethod
    def _add_by_server(running: dict[Key, int], service: str, name: str, by_server: dict[str, int]) -> None:
        for server, count in by_server.items():
            key = (service, model_of(name), server)
            running[key] = running.get(key, 0) + count

    def _drop(self, edge: str) -> None:
        _, running = self.edges.pop(edge, (None, {}))
        for key, count in running.items():
            self.running[key] -= count
            if self.running[key] <= 0:
                del self.running[key]

    def running_at(self, service: str, model: str, server: str) -> int | None:
        """Returns how many requests of a model run at a server, or None if no edge reports counts per server."""
        if (service, model) not in self.running:
            return 0
        return self.running.get((service, model, server), 0) if self.has_server_counts else None

    def expire(self, now: timedelta) -> None:
        """Drops edges that stopped reporting, and rates of models without recent requests."""
        for edge in [edge for edge, (at, _) in self.edges.items() if now - at > self.EDGE_TIMEOUT]:
            self._drop(edge)
        self.rates = {key: rates for key, rates in self.rates.items() if now - rates.at < FORGET_AFTER}
        self.last_started = {key: at for key, at in self.last_started.items() if now - at < FORGET_AFTER}

    def _decayed(self, key: Key, now: timedelta, begun: int = 0) -> Rates:
        fast, slow, at = self.rates.get(key, (0.0, 0.0, now))
        elapsed = now - at
        return Rates(
            fast * 0.5 ** (elapsed / FAST_HALF_LIFE) + begun * log(2) / FAST_HALF_LIFE.total_seconds(),
            slow * 0.5 ** (elapsed / SLOW_HALF_LIFE) + begun * log(2) / SLOW_HALF_LIFE.total_seconds(),
            now,
        )

    def rate(self, service: str, name: str, now: timedelta) -> float:
        """Returns the request rate of a model or adapter, per second.

        A fast rate below a quarter of the slow one means that demand has stopped: then the slow rate counts little.
        """
        if (service, name) not in self.rates:
            return 0.0
        fast, slow, _ = self._decayed((service, name), now)
        return max(fast, slow) if fast * 4 >= slow else fast + slow / 4

    def first_request_at(self, now: timedelta) -> timedelta:
        """Returns when the first request for any model was reported, or `now` if none was."""
        return now if self.first_at is None else self.first_at

    def predicted_rate(self, service: str, name: str, now: timedelta) -> float:
        """Extrapolates a rising rate to the end of a load that starts now; else returns the present rate."""
        if (service, name) not in self.rates:
            return 0.0
        fast, slow, _ = self._decayed((service, name), now)
        return max(self.rate(service, name, now), fast + self.TREND_WEIGHT * (fast - slow))
