"""Computes the placer's next orders from the plan and the contents of the servers, without side effects."""

from collections.abc import Collection, Iterable, Mapping
from math import fsum
from typing import Any, NamedTuple

from sumachook.placement.plan import Pair, plan_adapters
from sumachook.policies.policy import compile_policy

LOAD = "load"
UNLOAD = "unload"
MODEL = "model"
ADAPTER = "adapter"
READY = "ready"

ItemAtServer = tuple[str, str]  # (server, model or adapter)


class ServerOrder(NamedTuple):
    """An order to a model server; a load uses up `gigabytes` of the weight store's budget."""

    server: str
    verb: str
    kind: str
    item: str
    gigabytes: float


class PlannedOrders(NamedTuple):
    """Orders to send, and the total size of the loads among them in gigabytes."""

    orders: list[ServerOrder]
    gigabytes: float


def plan_orders(
    catalogue: Any,
    servers: Mapping[str, Mapping[str, Any]],
    pairs: Mapping[str, Pair],
    demand: Mapping[str, float],
    actual: Mapping[str, Mapping[str, str]],
    in_flight: Mapping[ItemAtServer, str],
    budget: float,
    backing_off: Collection[ItemAtServer] = frozenset(),
) -> PlannedOrders:
    """Returns the orders that bring the contents of the servers closer to the plan.

    Parameters
    ----------
    pairs : {model: its servers}, the plan
    actual : {server: {item: status}} as last polled from the servers
    in_flight : {(server, item): verb} of orders sent since; memory is counted for both loads and unloads
    budget : gigabytes that may be loaded from the weight store now
    backing_off : (server, item) whose last order was refused and whose backoff has not expired
    """
    planner = _OrderPlanner(catalogue, servers, pairs, demand, actual, in_flight, budget, backing_off)
    planner.unload_unknown()
    planner.load_models()
    planner.load_adapters()
    return PlannedOrders(planner.orders, planner.gigabytes)


class _OrderPlanner:
    """Collects orders; `held` is what each server will hold once they and those in flight are complete."""

    def __init__(
        self,
        catalogue: Any,
        servers: Mapping[str, Mapping[str, Any]],
        pairs: Mapping[str, Pair],
        demand: Mapping[str, float],
        actual: Mapping[str, Mapping[str, str]],
        in_flight: Mapping[ItemAtServer, str],
        budget: float,
        backing_off: Collection[ItemAtServer],
    ):
        self.servers = servers
        self.pairs = pairs
        self.demand = demand
        self.actual = actual
        self.in_flight = dict(in_flight)
        self.budget = budget
        self.backing_off = backing_off
        self.sizes: dict[str, float] = {model.name: model.memory for model in catalogue.models}
        self.adapters = {adapter.name: adapter for adapter in catalogue.adapters}
        self.evict: Any = compile_policy("evict", catalogue.policies.evict)
        self.wanted_adapters = plan_adapters(catalogue, servers, pairs, demand)
        self.wanted_models: dict[str, set[str]] = {server: set() for server in actual}
        for model, pair in pairs.items():
            for server in pair:
                if server in self.wanted_models:
                    self.wanted_models[server].add(model)
        self.held = self._held_with_orders()
        self.replicas = self._ready_replicas()
        self.orders: list[ServerOrder] = []
        self.gigabytes = 0.0
        self.waiting_demand: dict[str, float] = {}  # {server: demand of the busiest planned model that lacks memory}

    def _held_with_orders(self) -> dict[str, set[str]]:
        held = {
            server: {item for item in items if not self._is_unloading(server, item)}
            for server, items in self.actual.items()
        }
        for (server, item), verb in self.in_flight.items():
            if server in held and verb == LOAD:
                held[server].add(item)
        return held

    def _ready_replicas(self) -> dict[str, int]:
        replicas: dict[str, int] = {}
        for server, items in self.actual.items():
            for item, status in items.items():
                if status == READY and not self._is_unloading(server, item):
                    replicas[item] = replicas.get(item, 0) + 1
        return replicas

    def _is_unloading(self, server: str, item: str) -> bool:
        return self.in_flight.get((server, item)) == UNLOAD

    def _unloading(self, server: str) -> set[str]:
        """Returns the items that a server still holds but was ordered to unload."""
        return {item for item in self.actual[server] if self._is_unloading(server, item)}

    def _is_ready(self, server: str, item: str) -> bool:
        return self.actual[server].get(item) == READY

    def _demand_of(self, item: str) -> float:
        return self.demand.get(item, 0.0)

    def _free_memory(self, server: str) -> float:
        items = self.held[server] | self._unloading(server)
        return float(self.servers[server]["memory"] - fsum(self._size(item) for item in items))

    def _size(self, item: str) -> float:
        if item in self.sizes:
            return self.sizes[item]
        return float(self.adapters[item].memory) if item in self.adapters else 0.0

    def _load(self, server: str, kind: str, item: str, gigabytes: float) -> None:
        self.orders.append(ServerOrder(server, LOAD, kind, item, gigabytes))
        self.held[server].add(item)
        self.gigabytes += gigabytes

    def _unload(self, server: str, kind: str, item: str, gigabytes: float) -> None:
        self.orders.append(ServerOrder(server, UNLOAD, kind, item, gigabytes))
        self.in_flight[(server, item)] = UNLOAD
        self.held[server].discard(item)

    # planning steps ------------------------------------------------------------------

    def unload_unknown(self) -> None:
        """Unloads items that the catalogue lacks, and excludes their servers from loads: the items' size is unknown."""
        for server, items in self.actual.items():
            unknown = [item for item in items if item not in self.sizes and item not in self.adapters]
            if not unknown:
                continue
            self.orders += [
                ServerOrder(server, UNLOAD, MODEL, item, 0.0)
                for item in unknown
                if (server, item) not in self.in_flight
            ]
            del self.held[server]

    def load_models(self) -> None:
        """Orders the loads of planned models that are missing: primary replicas first, then by demand."""
        for server, model in self._missing_models():
            size = self.sizes[model]
            if self._free_memory(server) >= size:
                if size > self.budget - self.gigabytes:
                    break  # the first load waits for the store's budget; smaller ones must not overtake it
                self._load(server, MODEL, model, size)
            else:
                self.waiting_demand[server] = max(self._demand_of(model), self.waiting_demand.get(server, 0.0))
                self._make_room(server, model)

    def _missing_models(self) -> list[ItemAtServer]:
        missing = [
            (position, -self._demand_of(model), model, server)
            for model, pair in self.pairs.items()
            for position, server in enumerate(pair)
            if server in self.held and model not in self.held[server] and (server, model) not in self.backing_off
        ]
        return [(server, model) for _, _, model, server in sorted(missing)]

    def _make_room(self, server: str, model: str) -> None:
        """Evicts one model for a planned one, or else one adapter, unless the server is unloading something already."""
        if any(verb == UNLOAD and other == server for (other, _), verb in self.in_flight.items()):
            return
        scores = self._eviction_scores(server, model)
        if not scores:
            self._evict_adapter_with_less_demand(server, model)
            return
        evicted = min(scores, key=lambda item: (-scores[item], self._demand_of(item), -self.sizes[item], item))
        self._unload(server, MODEL, evicted, self.sizes[evicted])
        self.replicas[evicted] = self.replicas.get(evicted, 1) - 1

    def _evict_adapter_with_less_demand(self, server: str, model: str) -> None:
        """Evicts an adapter with less demand than `model`: adapters may occupy memory that the plan counts on."""
        demand = self._demand_of(model)
        adapters = [
            item
            for item in self.held[server]
            if item in self.adapters and self._is_ready(server, item) and self._demand_of(item) < demand
        ]
        if adapters:
            self._unload(server, ADAPTER, min(adapters, key=lambda item: (self._demand_of(item), item)), 0.0)

    def _eviction_scores(self, server: str, model: str) -> dict[str, float]:
        """Returns {model: score} of models to evict: with other replicas or no demand, or else with less demand."""
        unplanned = [
            item
            for item in self.held[server]
            if item in self.sizes and item not in self.wanted_models[server] and self._is_ready(server, item)
        ]
        spare = [item for item in unplanned if self.replicas.get(item, 0) > 1 or not self.demand.get(item)]
        if spare:
            return {item: self._score_by_policy(server, item) for item in spare}
        return {item: 0.0 for item in unplanned if self._demand_of(item) < self._demand_of(model)}

    def _score_by_policy(self, server: str, item: str) -> float:
        return float(
            self.evict(
                {
                    "model": item,
                    "server": server,
                    "demand": self._demand_of(item),
                    "memory": self.sizes[item],
                    "paired": item in self.pairs,
                }
            )
        )

    def load_adapters(self) -> None:
        """Orders the loads of planned adapters whose base model is ready, and evicts unplanned ones for them."""
        for server, names in self.wanted_adapters.items():
            if server not in self.held:
                continue
            present = [item for item in self.held[server] if item in self.adapters]
            for name in names:
                if self._may_load_adapter(server, name):
                    self._load_adapter(server, name, names, present)

    def _may_load_adapter(self, server: str, name: str) -> bool:
        base = self.adapters[name].model
        return (
            name not in self.held[server]
            and (server, name) not in self.backing_off
            and self._is_ready(server, base)
            and not self._is_unloading(server, base)
            and self._demand_of(name) >= self.waiting_demand.get(server, 0.0)
        )

    def _load_adapter(self, server: str, name: str, wanted: Iterable[str], present: list[str]) -> None:
        """Loads an adapter if a slot is free, else evicts one that is not planned; updates `present`."""
        unloading = [item for item in self._unloading(server) if item in self.adapters]
        if len(present) + len(unloading) < self.servers[server]["places"]:
            size = self.adapters[name].memory
            if size <= min(self.budget - self.gigabytes, self._free_memory(server)):
                self._load(server, ADAPTER, name, size)
                present.append(name)
        elif not unloading:
            spare = [item for item in present if item not in wanted and self._is_ready(server, item)]
            if spare:
                evicted = min(spare, key=lambda item: (self._demand_of(item), item))
                self._unload(server, ADAPTER, evicted, 0.0)
                present.remove(evicted)
