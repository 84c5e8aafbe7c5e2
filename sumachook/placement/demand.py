"""How often each model and adapter is asked for, and how many of its requests run (§14.5)."""

from datetime import timedelta
from math import log

FAST, SLOW = timedelta(seconds=2), timedelta(seconds=7)


class Demand:
    """Rates by two half-lives, from the edges' usage {service: {name: (begun, running, {server: running})}}; what is asked for under "model/adapter" counts for the model too.

    >>> demand, second = Demand(), timedelta(seconds=1)
    >>> for turn in range(40):
    ...     demand.take("edge-1", {"llm": {"m/a1": (5, 2)}}, second * turn / 2)
    >>> round(demand.rate("llm", "m", second * 20)), demand.running[("llm", "m")], demand.rate("llm", "n", second)
    (9, 2, 0.0)
    >>> round(demand.rate("llm", "m", second * 30))  # fell silent
    1
    """

    __slots__ = ("rates", "running", "edges", "last_begun", "is_by_server", "first_at")

    AHEAD = 1.5  # of what the fast mean is over the slow one
    EDGE_SILENT = timedelta(seconds=2)

    def __init__(self):
        self.rates, self.running, self.edges, self.last_begun, self.is_by_server, self.first_at = (
            {},
            {},
            {},
            {},
            False,
            None,
        )

    def take(self, edge: str, usage: dict, now):
        self._drop(edge)
        self.first_at = now if self.first_at is None and usage else self.first_at
        runs = {}
        for service, names in usage.items():
            for name, (begun, running, *where) in names.items():
                model = name.partition("/")[0]
                self.is_by_server = self.is_by_server or bool(where)
                for server, count in (where[0] if where else {}).items():
                    runs[(service, model, server)] = runs.get((service, model, server), 0) + count
                for key in {(service, name), (service, model)}:
                    if running:
                        runs[key] = runs.get(key, 0) + running
                    if begun:
                        self.last_begun[key] = now
                        self.rates[key] = self._decayed(key, now, begun)
        for key, running in runs.items():
            self.running[key] = self.running.get(key, 0) + running
        self.edges[edge] = (now, runs)

    def _drop(self, edge):
        _, runs = self.edges.pop(edge, (None, {}))
        for key, running in runs.items():
            self.running[key] -= running
            if self.running[key] <= 0:
                del self.running[key]

    def runs_at(self, service: str, model: str, server: str):
        """How many requests of a model run at one server, or None where the edges don't say it by server."""
        if (service, model) not in self.running:
            return 0
        return self.running.get((service, model, server), 0) if self.is_by_server else None

    def sweep(self, now):
        """Forgets silent edges and what nobody asks for any more."""
        for edge in [edge for edge, (at, _) in self.edges.items() if now - at > self.EDGE_SILENT]:
            self._drop(edge)
        self.rates = {key: item for key, item in self.rates.items() if now - item[2] < SLOW * 12}
        self.last_begun = {key: at for key, at in self.last_begun.items() if now - at < SLOW * 12}

    def _decayed(self, key, now, begun=0):
        fast, slow, at = self.rates.get(key, (0.0, 0.0, now))
        span = now - at
        return (
            fast * 0.5 ** (span / FAST) + begun * log(2) / FAST.total_seconds(),
            slow * 0.5 ** (span / SLOW) + begun * log(2) / SLOW.total_seconds(),
            now,
        )

    def rate(self, service: str, name: str, now) -> float:
        """A second. Who is asked for far less than a while ago has fallen silent: what is left of the slow mean counts little."""
        if (service, name) not in self.rates:
            return 0.0
        fast, slow, _ = self._decayed((service, name), now)
        return max(fast, slow) if fast * 4 >= slow else fast + slow / 4

    def since(self, now):
        """When anything was first asked for."""
        return now if self.first_at is None else self.first_at

    def ahead(self, service: str, name: str, now) -> float:
        """The rate as it will be by the time a load is done, where it rises: on the way from the slow mean over the fast one."""
        if (service, name) not in self.rates:
            return 0.0
        fast, slow, _ = self._decayed((service, name), now)
        return max(self.rate(service, name, now), fast + self.AHEAD * (fast - slow))
