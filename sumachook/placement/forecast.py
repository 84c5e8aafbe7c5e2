"""Computes for an operator which replicas a catalogue change would move, without applying it."""

from collections.abc import Mapping
from typing import Any

from sumachook.placement.plan import plan_pairs


def forecast_moves(catalogue: Any, state: Any, demand: Mapping[str, float]) -> dict[str, Any]:
    """Returns the answer to the `plan` command: the placer's plan for a catalogue, compared with the current contents.

    `gigabytes` is the total size of all loads, `seconds` the time that the weight store needs to serve them.
    """
    pairs = plan_pairs(catalogue, state.servers, state.evacuated, (), demand, state.pairs, state.model_statuses)
    loads = _loads(catalogue, state, pairs)
    gigabytes = sum(load["gigabytes"] for load in loads)
    moved = sorted(model for model in set(pairs) | set(state.pairs) if pairs.get(model) != state.pairs.get(model))
    return {
        "generation": state.generation,
        "changed": {model: {"from": state.pairs.get(model), "to": pairs.get(model)} for model in moved},
        "loads": loads,
        "drops": _drops(state, pairs),
        "gigabytes": round(gigabytes, 3),
        "seconds": round(gigabytes / catalogue.store.pace, 1),
        "unplaced": sorted(model for model, pair in pairs.items() if not pair[0]),
    }


def _loads(catalogue: Any, state: Any, pairs: Mapping[str, tuple[str, str]]) -> list[dict[str, Any]]:
    sizes = {model.name: model.memory for model in catalogue.models}
    return [
        {"model": model, "server": server, "gigabytes": sizes[model]}
        for model, pair in sorted(pairs.items())
        for server in pair
        if server and model not in state.model_statuses.get(server, {})
    ]


def _drops(state: Any, pairs: Mapping[str, tuple[str, str]]) -> list[dict[str, Any]]:
    return [
        {"model": model, "server": server}
        for model, pair in sorted(state.pairs.items())
        for server in pair
        if server and server not in pairs.get(model, ())
    ]
