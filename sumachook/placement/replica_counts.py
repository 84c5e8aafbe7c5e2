"""Computes the target number of replicas of each model from demand; changes no state."""

from math import ceil

from sumachook.placement.candidates import CandidateScoring
from sumachook.placement.policy import REPLICAS


def desired_replicas(scoring: CandidateScoring) -> dict[str, int]:
    """Returns {model: target number of replicas} of the models with steady demand.

    A model gets one replica, the busiest ones two, and any model one per 22 requests per second or per half of an
    engine's slots in running requests. The number of busiest models is limited, so that their replicas use at most six
    tenths of all memory.
    """
    models = scoring.capacity.models
    rates = {model: rate for model in models if (rate := scoring.rate(model)) >= REPLICAS.min_replica_rate}
    total = sum(rates.values())
    open_servers = [server for server in scoring.servers if server.is_open]
    if not rates or not open_servers:
        return {}
    mean_mb = sum(model.size_mb for model in models.values()) / len(models)
    room = len(open_servers) * int(scoring.capacity.engine.memory_mb // max(mean_mb, 1.0))
    by_rate = sorted(rates, key=lambda model: (-rates[model], model))
    busiest = by_rate[: int(room * REPLICAS.busiest_fraction)]
    desired = {}
    for model in rates:
        rate = scoring.predicted_rate(model)
        is_busy = rate >= max(REPLICAS.busy_rate, REPLICAS.busy_share * total)
        lower_bound = 2 if model in busiest and is_busy else 1
        upper_bound = max(lower_bound, len(open_servers) // 2)
        by_running = ceil(scoring.running(model) / running_per_replica(scoring))
        by_rate_alone = ceil(rate / REPLICAS.rate_per_replica)
        desired[model] = min(len(open_servers), upper_bound, max(lower_bound, by_running, by_rate_alone))
    return desired


def running_per_replica(scoring: CandidateScoring) -> float:
    """Returns how many running requests of a model one replica is meant to handle."""
    return float(max(1.0, REPLICAS.slots_fraction * scoring.capacity.engine.slots))


def overloaded_models(scoring: CandidateScoring) -> tuple[str, ...]:
    """Returns the overloaded models with fewer replicas than desired, by descending request rate.

    A model is overloaded if its replicas have too many requests, or if a tenth of all requests depends on a single
    replica or soon will.
    """
    total = sum(scoring.rate(model) for model in scoring.desired)
    overloaded = [
        model
        for model, replicas in scoring.desired.items()
        if 0 < scoring.planned_replicas(model) < replicas and _is_overloaded(scoring, model, total)
    ]
    return tuple(sorted(overloaded, key=lambda model: (-scoring.rate(model), model)))


def _is_overloaded(scoring: CandidateScoring, model: str, total_rate: float) -> bool:
    replicas = scoring.replicas.get(model, 0)
    predicted = scoring.predicted_rate(model)
    is_rising = predicted > REPLICAS.rising_ratio * scoring.rate(model)
    share = REPLICAS.busy_share if is_rising else REPLICAS.overloaded_share
    return (
        scoring.running(model) > running_per_replica(scoring) * replicas
        or predicted > REPLICAS.rate_per_replica * replicas
        or (replicas <= 1 and predicted >= max(REPLICAS.busy_rate, share * total_rate))
    )


def popular_models(scoring: CandidateScoring) -> set[str]:
    """Returns the models that get at least a fiftieth of all requests and at least one request per second."""
    rates = {model: scoring.rate(model) for model in scoring.capacity.models}
    threshold = max(REPLICAS.busy_rate, REPLICAS.popular_share * sum(rates.values()))
    return {model for model, rate in rates.items() if rate >= threshold}
