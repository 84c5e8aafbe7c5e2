"""Chooses the server for a load and the evictions that it needs, from server contents and demand; changes no state."""

from collections.abc import Collection, Sequence
from datetime import timedelta
from typing import NamedTuple

from sumachook.placement.demand import Demand
from sumachook.placement.engine_server import EngineServer, Verb
from sumachook.placement.free_capacity import FreeCapacity
from sumachook.placement.load_times import LoadTimeEstimates, OrderKind
from sumachook.placement.model_names import full_name, model_of
from sumachook.placement.policy import SCORING

UNUSED_GRACE = timedelta(seconds=2)  # protects a new load from eviction until requests use it
RECENT_USE = timedelta(seconds=1)
MAX_BLOCKED_RATE = 20.0  # requests per second; caps the cost of blocking a busy server


class Eviction(NamedTuple):
    """The models and adapters to unload ("model" or "model/adapter"), and the cost in seconds of waiting time."""

    cost: float
    names: tuple[str, ...]


class Candidate(NamedTuple):
    """A server to load a model on, and the models and adapters to unload there first."""

    server: EngineServer
    evictions: tuple[str, ...]


class AdapterCandidate(NamedTuple):
    """A server to load an adapter on, and the adapter ("model/adapter" or "") to unload there first."""

    server: EngineServer
    evicted: str


class CandidateScoring:
    """Scores the servers of one service at one moment; costs are seconds of request waiting time.

    Parameters
    ----------
    wanted : models and adapters that pending requests wait for
    desired : {model: target number of replicas}
    predicted : models that are likely to be requested next
    demand_age : time since the first request for any model
    """

    __slots__ = (
        "service",
        "capacity",
        "servers",
        "demand",
        "wanted",
        "desired",
        "now",
        "predicted",
        "demand_age",
        "load_times",
        "replicas",
        "_rates",
        "_positions",
    )

    def __init__(
        self,
        service: str,
        capacity: FreeCapacity,
        servers: Sequence[EngineServer],
        demand: Demand,
        wanted: Collection[str],
        desired: dict[str, int],
        now: timedelta,
        predicted: Collection[str],
        demand_age: timedelta,
        load_times: LoadTimeEstimates,
    ):
        self.service = service
        self.capacity = capacity
        self.servers = servers
        self.demand = demand
        self.wanted = wanted
        self.desired = desired
        self.now = now
        self.predicted = frozenset(predicted)
        self.demand_age = demand_age
        self.load_times = load_times
        self.replicas: dict[str, int] = {}
        for server in servers:
            for model in server.ready if server.is_open else ():
                self.replicas[model] = self.replicas.get(model, 0) + 1
        self._rates: dict[str, float] = {}
        self._positions: dict[str, int] = {}

    # request rates and replicas ------------------------------------------------------

    def rate(self, name: str) -> float:
        """Returns the request rate of a model or adapter, in requests per second."""
        if name not in self._rates:
            self._rates[name] = self.demand.rate(self.service, name, self.now)
        return self._rates[name]

    def predicted_rate(self, name: str) -> float:
        """Returns the request rate that is expected when a load started now completes, in requests per second."""
        return self.demand.predicted_rate(self.service, name, self.now)

    def running(self, name: str) -> int:
        """Returns the number of running requests of a model or adapter."""
        return self.demand.running.get((self.service, name), 0)

    def planned_replicas(self, model: str) -> int:
        """Counts the open servers that hold the model, load it, or evict others for it."""
        return sum(1 for server in self.servers if server.is_open and server.will_hold(model))

    def load_on(self, server: EngineServer) -> float:
        """Returns the request rate of a server, assuming that requests are spread evenly over a model's replicas."""
        return sum(self._rate_per_replica(model) for model in server.ready)

    def adapter_load_on(self, server: EngineServer) -> float:
        """Returns the part of `load_on` that belongs to models with adapters."""
        models = self.capacity.models
        return sum(
            self._rate_per_replica(model) for model in server.ready if model in models and models[model].adapters
        )

    def _rate_per_replica(self, model: str) -> float:
        return self.rate(model) / max(1, self.replicas.get(model, 1))

    # costs ---------------------------------------------------------------------------

    def load_seconds(self, model: str, is_on_disk: bool = False) -> float:
        """Returns the expected load time: as configured, or as observed for loads from the server's own disk."""
        load_ms = self.capacity.models[model].load_ms
        duration = timedelta(milliseconds=load_ms)
        if is_on_disk:
            kind = OrderKind(self.service, Verb.LOAD, False, False, load_ms)
            duration = self.load_times.estimate_or(kind, duration * SCORING.disk_load_fraction)
        return duration.total_seconds()

    def acceptable_cost(self, model: str, waiting: int, age: timedelta) -> float:
        """Returns the highest eviction cost that is acceptable for loading this model.

        A replica of a busy model is evicted for a rarely requested one only after a long wait.

        Parameters
        ----------
        waiting : number of requests that wait for the model
        age : how long the first of them has waited
        """
        load = self.load_seconds(model)
        loads_waited = age.total_seconds() / max(load, 0.001)
        return (
            SCORING.acceptable_cost
            + SCORING.acceptable_cost_per_load * loads_waited
            + SCORING.acceptable_cost_per_load_squared * loads_waited**2
            + load * SCORING.only_replica_loads * (self.rate(model) + SCORING.waiting_rate * waiting)
        )

    def eviction_cost(self, server: EngineServer, model: str) -> float | None:
        """Returns the cost of evicting `model` from a server, in seconds of waiting; None if it must not be evicted."""
        if model not in self.capacity.models:
            return 0.0
        if model in self.wanted or self._is_protected_load(server, model):
            return None
        replicas = max(1, self.replicas.get(model, 1))
        rate = self.rate(model)
        load = self.load_seconds(model)
        worth = SCORING.only_replica_loads if replicas == 1 else SCORING.shared_replica_loads / replicas
        cost = load * rate * worth
        if 1 < replicas <= self.desired.get(model, 1):
            cost += load * rate * SCORING.shared_replica_loads
        running_here = self._running_at(server, model, replicas)
        if running_here:  # the server finishes running requests before it unloads
            cost += SCORING.eviction_of_running + running_here
        if replicas == 1:
            cost += self._catalogue_order_cost(model)
        if model in self.predicted and replicas == 1:
            cost += load * SCORING.predicted_loads
        last_started = self.demand.last_started.get((self.service, model))
        if last_started is not None and self.now - last_started < RECENT_USE:
            cost += SCORING.eviction_of_recently_used
        return cost

    def _is_protected_load(self, server: EngineServer, model: str) -> bool:
        """Returns whether the model or an adapter of it was loaded within `UNUSED_GRACE` and not used since."""
        return any(model_of(name) == model and self.now - at < UNUSED_GRACE for name, at in server.unused_since.items())

    def _running_at(self, server: EngineServer, model: str, replicas: int) -> float:
        running_here = self.demand.running_at(self.service, model, server.name)
        return self.running(model) / replicas if running_here is None else running_here

    def _catalogue_order_cost(self, model: str) -> float:
        """Returns a cost that favours models early in the catalogue, and fades as demand data accumulate."""
        if self.demand_age >= SCORING.catalogue_order_decay:
            return 0.0
        if not self._positions:
            self._positions = {name: position for position, name in enumerate(self.capacity.models)}
        return (
            SCORING.catalogue_order_loads
            * self.load_seconds(model)
            * (1 - self._positions[model] / len(self._positions))
            * (1 - self.demand_age / SCORING.catalogue_order_decay)
        )

    # evictions -----------------------------------------------------------------------

    def cheapest_eviction(self, server: EngineServer, model: str) -> Eviction | None:
        """Returns the evictions that make `model` fit: adapters if they free enough, else one model, else several."""
        free_mb = self.capacity.free_mb(server.models)
        size_mb = self.capacity.models[model].size_mb
        if free_mb >= size_mb:
            return Eviction(0.0, ())
        adapters = self._evict_adapters(server, free_mb, size_mb)
        return adapters if adapters is not None else self._evict_models(server, size_mb)

    def _evict_adapters(self, server: EngineServer, free_mb: float, size_mb: float) -> Eviction | None:
        evictable = self.evictable_adapters(server)
        for count in range(1, len(evictable) + 1):
            names = evictable[:count]
            if free_mb + sum(self.capacity.models[model_of(name)].adapter_mb for name in names) >= size_mb:
                return Eviction(SCORING.adapter_eviction * count, tuple(names))
        return None

    def _evict_models(self, server: EngineServer, size_mb: float) -> Eviction | None:
        choices = [(cost, held) for held in server.ready if (cost := self.eviction_cost(server, held)) is not None]
        choices.sort()
        for cost, held in choices:
            if self._free_mb_without(server, (held,)) >= size_mb:
                return Eviction(cost, (held,))
        names: tuple[str, ...] = ()
        total_cost = 0.0
        for cost, held in choices:
            names = (*names, held)
            total_cost += cost
            if self._free_mb_without(server, names) >= size_mb:
                return Eviction(total_cost, names)
        return None

    def _free_mb_without(self, server: EngineServer, names: Collection[str]) -> float:
        return self.capacity.free_mb({held: adapters for held, adapters in server.models.items() if held not in names})

    def evictable_adapters(self, server: EngineServer) -> list[str]:
        """Returns the adapters ("model/adapter") that may be evicted, least recently used first.

        Adapters with running requests come last; those just loaded or with waiting requests are left out.
        """
        found = []
        for model, adapters in server.ready.items():
            for adapter in adapters if model in self.capacity.models else ():
                name = full_name(model, adapter)
                if (
                    name in self.wanted
                    or self.now - server.unused_since.get(name, self.now - UNUSED_GRACE) < UNUSED_GRACE
                ):
                    continue
                last_started = self.demand.last_started.get((self.service, name), timedelta(0))
                loaded_at = server.loaded_at.get(name, timedelta(0))
                found.append((bool(self.running(name)), max(last_started, loaded_at), name))
        return [name for _, _, name in sorted(found)]

    # choice of a server --------------------------------------------------------------

    def best_server(
        self, model: str, may_use_store: bool, is_optional: bool = False, max_cost: float = float("inf")
    ) -> Candidate | None:
        """Returns the server with the lowest cost for another replica of `model`, or None if no server is suitable now.

        Parameters
        ----------
        may_use_store : whether the weight store's rate limit admits a load now
        is_optional : whether the replica is optional, so that no replica in use may be evicted for it
        max_cost : highest acceptable eviction cost
        """
        per_zone: dict[str, int] = {}
        for server in self.servers:
            if server.is_open and (model in server.ready or model in server.models):
                per_zone[server.zone] = per_zone.get(server.zone, 0) + 1
        best: tuple[float, str] | None = None
        chosen: Candidate | None = None
        for server in self.servers:
            if not server.is_idle or model in server.models or server.reserved_for not in ("", model):
                continue
            is_on_disk = model in server.on_disk
            if not is_on_disk and not may_use_store:
                continue
            eviction = self.cheapest_eviction(server, model)
            if eviction is None or not self._is_acceptable(model, eviction, is_optional, max_cost):
                continue
            cost = self._total_cost(server, model, eviction, is_optional, per_zone.get(server.zone, 0))
            if best is None or (cost, server.name) < best:
                best = (cost, server.name)
                chosen = Candidate(server, eviction.names)
        return chosen

    def _is_acceptable(self, model: str, eviction: Eviction, is_optional: bool, max_cost: float) -> bool:
        if eviction.cost > max_cost:
            return False
        return not is_optional or not any(self._is_needed(name, self.rate(model)) for name in eviction.names)

    def _total_cost(
        self, server: EngineServer, model: str, eviction: Eviction, is_optional: bool, replicas_in_zone: int
    ) -> float:
        cost, names = eviction
        rate = self.rate(model)
        if not is_optional:
            cost += sum(
                SCORING.eviction_of_busier
                for name in names
                if self.replicas.get(name, 0) == 1 and self.rate(name) > rate
            )
        cost += self.load_seconds(model, model in server.on_disk) + SCORING.per_eviction * len(names)
        cost += SCORING.replica_in_same_zone * replicas_in_zone * min(1.0, rate)
        cost += SCORING.load_on_server * self.load_on(server) + SCORING.blocked_adapters * min(
            MAX_BLOCKED_RATE, self.adapter_load_on(server)
        )
        return cost

    def _is_needed(self, name: str, rate: float) -> bool:
        """Returns whether a replica is too valuable to evict for an optional one of a model with this request rate."""
        replicas = self.replicas.get(name, 0)
        if self.running(name):
            return replicas <= self.desired.get(name, 1)
        if replicas > max(1, self.desired.get(name, 1)):
            return False
        return self.rate(name) > 0.02 * rate

    def best_server_for_adapter(self, model: str, adapter: str) -> AdapterCandidate | None:
        """Returns the least loaded server for a replica of `adapter`, or None; avoids evictions if possible."""
        best: tuple[bool, float, str] | None = None
        chosen: AdapterCandidate | None = None
        for server in self.servers:
            if not server.is_idle or server.reserved_for:
                continue
            if model not in server.ready or adapter in server.ready[model]:
                continue
            evicted = ""
            if not self.capacity.fits_adapter(server.models, model):
                evictable = self.evictable_adapters(server)
                if not evictable:
                    continue
                evicted = evictable[0]
            key = (bool(evicted), self.load_on(server), server.name)
            if best is None or key < best:
                best = key
                chosen = AdapterCandidate(server, evicted)
        return chosen
