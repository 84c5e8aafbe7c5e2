"""Loads the models and adapters that requests wait for, most urgent first."""

from datetime import timedelta

from sumachook.host.effects import Effect
from sumachook.placement.candidates import CandidateScoring
from sumachook.placement.engine_server import EngineServer
from sumachook.placement.load_scheduler import LoadScheduler
from sumachook.placement.model_names import full_name, split_name
from sumachook.placement.placement_requests import Key, PlacementRequests
from sumachook.placement.policy import CALLS, REPLICAS


class RequestScheduler:
    """Orders loads for placement requests; a request that finds no suitable server is retried when one becomes idle."""

    __slots__ = ("scheduler", "requests")

    def __init__(self, scheduler: LoadScheduler, requests: PlacementRequests):
        self.scheduler = scheduler
        self.requests = requests

    def serve(self, now: timedelta) -> list[Effect]:
        """Returns orders for overloaded models, then for the models and adapters that requests wait for."""
        pending = self.requests.pending(now)
        self._release_reservations(pending)
        overloaded = [
            (service, model) for service, models in self.scheduler.targets.overloaded.items() for model in models
        ]
        if not pending and not overloaded:
            return []
        scorings = self.scheduler.scorings(pending, now)
        effects: list[Effect] = []
        for service, model in overloaded:
            if service in scorings:
                effects += self._serve_overloaded(scorings[service], model, now)
        for service, name in pending:
            model, adapter = split_name(name)
            scoring = scorings.get(service)
            if scoring is None or model not in scoring.capacity.models:
                self.requests.forget(service, name)
                continue
            effects += self._serve_one(scoring, model, adapter, now)
        return effects

    def _release_reservations(self, pending: list[Key]) -> None:
        """Releases reservations for models that no request waits for any longer."""
        for server in self.scheduler.registry.servers.values():
            is_free = server.order is None and not server.pending_call
            if server.reserved_for and is_free and not self._is_still_needed(server, pending):
                server.reserved_for = ""

    def _is_still_needed(self, server: EngineServer, pending: list[Key]) -> bool:
        model = server.reserved_for
        if model in self.scheduler.targets.overloaded.get(server.service, ()):
            return True
        return any(
            service == server.service and (name == model or name.startswith(f"{model}/")) for service, name in pending
        )

    def _serve_one(self, scoring: CandidateScoring, model: str, adapter: str, now: timedelta) -> list[Effect]:
        replicas = [server for server in scoring.servers if server.is_open and model in server.ready]
        if not replicas:
            return self._serve_model(scoring, model, adapter, now)
        if not adapter or any(adapter in server.ready[model] for server in replicas):
            return self._check_replicas(scoring.service, replicas, model, adapter, now)
        if any(server.is_loading(model, adapter) for server in scoring.servers):
            return []
        return self.scheduler.load_adapter(scoring, model, adapter, now)

    def _serve_model(self, scoring: CandidateScoring, model: str, adapter: str, now: timedelta) -> list[Effect]:
        """Loads a model without replicas unless a load is in progress; `adapter` is the requested one, or ""."""
        if any(_is_preparing(server, model) for server in scoring.servers):
            return []
        key = (scoring.service, full_name(model, adapter))
        max_cost = scoring.acceptable_cost(model, self.requests.count(key), self.requests.age(key, now))
        return self.scheduler.load_model(scoring, model, now, max_cost=max_cost)

    def _serve_overloaded(self, scoring: CandidateScoring, model: str, now: timedelta) -> list[Effect]:
        """Orders another replica of an overloaded or predicted model, ahead of rarely requested models."""
        is_predicted = model in scoring.predicted
        has_room_now = any(server.reserved_for == model and server.is_idle for server in scoring.servers)
        if scoring.planned_replicas(model) - has_room_now >= max(scoring.desired.get(model, 0), is_predicted):
            return []
        max_cost = scoring.load_seconds(model) * max(
            scoring.rate(model) * REPLICAS.overloaded_cost_loads,
            REPLICAS.predicted_cost_loads if is_predicted else 0.0,
        )
        return self.scheduler.load_model(scoring, model, now, max_cost=max_cost)

    def _check_replicas(
        self, service: str, replicas: list[EngineServer], model: str, adapter: str, now: timedelta
    ) -> list[Effect]:
        """Requests reports for replicas that an edge lacks: its update is in transit, or the server lost the model."""
        effects: list[Effect] = []
        for server in replicas:
            if not server.is_idle or server.report_requested_at is None:
                continue
            known_since = max(server.loaded_at.get(model, server.report_requested_at), server.report_requested_at)
            if now - known_since > CALLS.recheck_after and (not adapter or adapter in server.ready[model]):
                effects.append(self.scheduler.executor.recheck(server, now))
        self.requests.forget(service, full_name(model, adapter))  # edges repeat requests that are still waiting
        return effects


def _is_preparing(server: EngineServer, model: str) -> bool:
    """Returns whether the server is loading the model, or is still evicting others for it."""
    is_making_room = server.reserved_for == model and not server.is_idle
    return server.is_open and (server.is_loading(model) or is_making_room)
