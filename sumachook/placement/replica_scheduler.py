"""Adds replicas of busy models and adapters, evicting idle ones for them."""

from datetime import timedelta

from sumachook.host.effects import Effect
from sumachook.placement.candidates import CandidateScoring
from sumachook.placement.demand_prediction import DemandPrediction
from sumachook.placement.engine_server import EngineServer
from sumachook.placement.load_scheduler import LoadScheduler
from sumachook.placement.model_names import split_name
from sumachook.placement.placement_requests import Key
from sumachook.placement.policy import REPLICAS
from sumachook.placement.replica_counts import desired_replicas, overloaded_models, popular_models


class ReplicaScheduler:
    """Updates the replica targets, and orders at most one load per service and run while no request waits."""

    __slots__ = ("scheduler", "predictions")

    def __init__(self, scheduler: LoadScheduler):
        self.scheduler = scheduler
        self.predictions: dict[str, DemandPrediction] = {}

    def adjust(self, pending: list[Key], now: timedelta) -> list[Effect]:
        """Re-evaluates demand and orders missing replicas; `pending` lists models and adapters that requests await."""
        effects: list[Effect] = []
        has_waiting = any(not self._is_under_way(service, name) for service, name in pending)
        for scoring in self.scheduler.scorings(pending, now).values():
            self._update_targets(scoring, now)
            if has_waiting or self._is_busy(scoring):
                continue
            effects += self._add_model_replica(scoring, now) or self._add_adapter_replica(scoring, now)
        return effects

    def _update_targets(self, scoring: CandidateScoring, now: timedelta) -> None:
        targets, service = self.scheduler.targets, scoring.service
        scoring.desired = desired_replicas(scoring)
        targets.desired[service] = scoring.desired
        prediction = self.predictions.setdefault(service, DemandPrediction())
        predicted = prediction.predict(tuple(scoring.capacity.models), popular_models(scoring), now)
        scoring.predicted = frozenset(predicted)
        targets.predicted[service] = scoring.predicted
        missing = tuple(model for model in predicted if not scoring.replicas.get(model))
        targets.overloaded[service] = overloaded_models(scoring) + missing

    @staticmethod
    def _is_busy(scoring: CandidateScoring) -> bool:
        """Returns whether over a quarter of the servers are carrying out orders, so that no replica is added now."""
        busy = sum(1 for server in scoring.servers if server.order is not None or server.reserved_for)
        return busy > len(scoring.servers) // 4

    def _add_model_replica(self, scoring: CandidateScoring, now: timedelta) -> list[Effect]:
        for model, desired in sorted(scoring.desired.items(), key=lambda item: -scoring.rate(item[0])):
            planned = scoring.planned_replicas(model)
            # an additional replica of a loaded model leaves one store token for a model without replicas
            if planned < desired and (self.scheduler.executor.store.tokens >= 2.0 or not planned):
                effects = self.scheduler.load_model(scoring, model, now, is_optional=True)
                if effects:
                    return effects
        return []

    def _add_adapter_replica(self, scoring: CandidateScoring, now: timedelta) -> list[Effect]:
        demand = self.scheduler.demand
        names = [key[1] for key in demand.last_started if key[0] == scoring.service and "/" in key[1]]
        names.sort(key=lambda name: -scoring.rate(name))
        for name in names[: REPLICAS.adapters_considered]:
            model, adapter = split_name(name)
            if not self._needs_adapter_replica(scoring, name):
                continue
            candidate = scoring.best_server_for_adapter(model, adapter)
            if candidate is None:
                continue
            evicted_rate = scoring.rate(candidate.evicted) if candidate.evicted else 0.0
            if candidate.evicted and evicted_rate * REPLICAS.adapter_eviction_ratio > scoring.rate(name):
                continue
            return self.scheduler.load_adapter(scoring, model, adapter, now)
        return []

    @staticmethod
    def _needs_adapter_replica(scoring: CandidateScoring, name: str) -> bool:
        """Returns whether a loaded adapter should get another replica on one of its base model's servers."""
        model, adapter = split_name(name)
        holders = [server for server in scoring.servers if server.is_open and model in server.ready]
        replicas = sum(1 for server in holders if adapter in server.models[model])
        by_rate = 1 if scoring.rate(name) >= REPLICAS.adapter_rate else 0
        by_running = scoring.running(name) // REPLICAS.running_per_adapter_replica
        return 0 < replicas < min(len(holders), 1 + by_rate + by_running)

    def _is_under_way(self, service: str, name: str) -> bool:
        """Returns whether a model or adapter is ready or loading on an open server, or a server is reserved for it."""
        model, adapter = split_name(name)
        return any(
            server.service == service and server.is_open and _holds_or_loads(server, model, adapter)
            for server in self.scheduler.registry.servers.values()
        )


def _holds_or_loads(server: EngineServer, model: str, adapter: str) -> bool:
    if server.reserved_for == model or server.is_loading(model):
        return True
    if adapter and server.is_loading(model, adapter):
        return True
    return model in server.ready and (not adapter or adapter in server.ready[model])
