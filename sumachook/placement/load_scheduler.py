"""Turns a chosen candidate into an order; shared by the request scheduler and the replica scheduler."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from datetime import timedelta

from sumachook.host.effects import Effect
from sumachook.placement.candidates import CandidateScoring
from sumachook.placement.demand import Demand
from sumachook.placement.engine_server import EngineServer, Verb
from sumachook.placement.free_capacity import FreeCapacity
from sumachook.placement.model_names import model_of, split_name
from sumachook.placement.order_executor import OrderExecutor
from sumachook.placement.server_registry import ServerRegistry


@dataclass(slots=True)
class ReplicaTargets:
    """Replica targets of each service, from the last evaluation of demand.

    Attributes
    ----------
    desired : {service: {model: target number of replicas}}
    overloaded : {service: models that need another replica at once, in descending order of request rate}
    predicted : {service: models that are likely to be requested next}
    """

    desired: dict[str, dict[str, int]] = field(default_factory=dict)
    overloaded: dict[str, tuple[str, ...]] = field(default_factory=dict)
    predicted: dict[str, frozenset[str]] = field(default_factory=dict)

    def retain(self, capacities: Mapping[str, FreeCapacity]) -> None:
        """Drops services and models that the configuration no longer lists, before the next evaluation would."""
        listed = {service: capacity.models for service, capacity in capacities.items()}
        self.desired = {
            service: {model: count for model, count in models.items() if model in listed[service]}
            for service, models in self.desired.items()
            if service in listed
        }
        self.overloaded = {
            service: tuple(model for model in models if model in listed[service])
            for service, models in self.overloaded.items()
            if service in listed
        }
        self.predicted = {
            service: models & listed[service].keys() for service, models in self.predicted.items() if service in listed
        }


class LoadScheduler:
    """Chooses a server and sends it one order: an unload if memory or a slot must be freed first, else the load."""

    __slots__ = ("registry", "executor", "demand", "targets")

    def __init__(self, registry: ServerRegistry, executor: OrderExecutor, demand: Demand, targets: ReplicaTargets):
        self.registry = registry
        self.executor = executor
        self.demand = demand
        self.targets = targets

    def scorings(self, pending: Iterable[tuple[str, str]], now: timedelta) -> dict[str, CandidateScoring]:
        """Returns {service: scoring}; `pending` is (service, name) of each model or adapter that requests wait for."""
        wanted: dict[str, set[str]] = {}
        for service, name in pending:
            wanted.setdefault(service, set()).update((name, model_of(name)))
        by_service: dict[str, list[EngineServer]] = {}
        for server in self.registry.servers.values():
            by_service.setdefault(server.service, []).append(server)
        return {
            service: CandidateScoring(
                service=service,
                capacity=capacity,
                servers=by_service.get(service, ()),
                demand=self.demand,
                wanted=wanted.get(service, set()),
                desired=self.targets.desired.get(service, {}),
                now=now,
                predicted=self.targets.predicted.get(service, ()),
                demand_age=now - self.demand.first_request_at(now),
                load_times=self.executor.load_times,
            )
            for service, capacity in self.registry.capacities.items()
        }

    def load_model(
        self,
        scoring: CandidateScoring,
        model: str,
        now: timedelta,
        is_optional: bool = False,
        max_cost: float = float("inf"),
    ) -> list[Effect]:
        """Starts another replica of a model on the cheapest server; returns no effects if no server is suitable now."""
        candidate = scoring.best_server(model, self.executor.store.tokens >= 1.0, is_optional, max_cost)
        if candidate is None:
            return []
        server = candidate.server
        if candidate.evictions:
            server.reserved_for = model
            evicted, adapter = split_name(candidate.evictions[0])
            return [self.executor.start(server, Verb.UNLOAD, evicted, adapter, now)]
        server.reserved_for = ""
        return [self.executor.start(server, Verb.LOAD, model, "", now)]

    def load_adapter(self, scoring: CandidateScoring, model: str, adapter: str, now: timedelta) -> list[Effect]:
        """Starts another replica of an adapter on a server that has its base model ready, or returns no effects."""
        candidate = scoring.best_server_for_adapter(model, adapter)
        if candidate is None:
            return []
        if candidate.evicted:
            evicted_model, evicted_adapter = split_name(candidate.evicted)
            return [self.executor.start(candidate.server, Verb.UNLOAD, evicted_model, evicted_adapter, now)]
        return [self.executor.start(candidate.server, Verb.LOAD, model, adapter, now)]
