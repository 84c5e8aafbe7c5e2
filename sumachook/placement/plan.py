"""Plans which servers hold which models: pure functions of the catalogue, the servers and demand."""

from collections.abc import Collection, Mapping
from dataclasses import dataclass
from typing import Any
from zlib import crc32

from sumachook.policies.policy import compile_policy

Pair = tuple[str, str]  # the servers of a model's primary and secondary replica; "" if none has memory for it
Servers = Mapping[str, Mapping[str, Any]]
NO_PAIR: Pair = ("", "")
PRIMARY = 0
SECONDARY = 1

# A server's score for a model is a hash of both, from 0 to 1, plus or minus these terms and the operator's policy.
STAY_BONUS = 1.0  # score bonus of a server in the current plan, and of one that holds the model: a move costs a load
CROWDING_PENALTY = 0.6  # twice this times the used share of memory lowers the score, which spreads models
SECOND_REPLICA_WEIGHT = 1.5  # demand factor of models with two replicas: one is given up only for clearly higher demand


def _affinity(model: str, server: str) -> float:
    """Returns a hash of a model and a server as a number from 0 to 1."""
    return crc32(f"{model}@{server}".encode()) / 0xFFFFFFFF


def usable_servers(
    servers: Servers, evacuated: Collection[str], unreachable: Collection[str]
) -> dict[str, Mapping[str, Any]]:
    """Returns the model servers that replicas may be placed on: reachable, not leaving, and in an open zone."""
    return {
        name: server
        for name, server in servers.items()
        if server["kind"] == "model"
        and not server["leaving"]
        and server["area"] not in evacuated
        and name not in unreachable
    }


def plan_pairs(
    catalogue: Any,
    servers: Servers,
    evacuated: Collection[str],
    unreachable: Collection[str],
    demand: Mapping[str, float],
    pairs: Mapping[str, Pair],
    held: Mapping[str, Mapping[str, str]],
) -> dict[str, Pair]:
    """Returns the servers that should hold each model.

    The busiest models have two replicas, in two zones if possible. The plan is stable: a replica moves only if another
    server is clearly better.

    Parameters
    ----------
    demand : {model: decayed count of recent requests}
    pairs : the current plan
    held : {server: {model: status}} of the present contents
    """
    open_servers = usable_servers(servers, evacuated, unreachable)
    planner = _PairPlanner(
        open_servers=open_servers,
        score_by_policy=compile_policy("place", catalogue.policies.place),
        demand=demand,
        pairs=pairs,
        held=held,
        free={name: float(server["memory"]) for name, server in open_servers.items()},
    )
    models = _by_demand(catalogue, demand, pairs)
    return planner.plan(models, _busy_models(catalogue, models, demand, pairs))


def _by_demand(catalogue: Any, demand: Mapping[str, float], pairs: Mapping[str, Pair]) -> list[Any]:
    """Returns all models by descending demand, where the demand of models with two replicas weighs more."""
    factors = {model: SECOND_REPLICA_WEIGHT if pair[SECONDARY] else 1.0 for model, pair in pairs.items()}
    return sorted(
        catalogue.models, key=lambda model: (-demand.get(model.name, 0.0) * factors.get(model.name, 1.0), model.name)
    )


def _busy_models(
    catalogue: Any, models: list[Any], demand: Mapping[str, float], pairs: Mapping[str, Pair]
) -> list[Any]:
    """Picks the catalogue's number of busy models: first those with demand, then those with two replicas, then any."""
    busy = [model for model in models if demand.get(model.name, 0.0) > 0][: catalogue.busy]
    if len(busy) < catalogue.busy:
        paired = [model for model in models if model not in busy and pairs.get(model.name, NO_PAIR)[SECONDARY]]
        busy += paired[: catalogue.busy - len(busy)]
        busy += [model for model in models if model not in busy][: catalogue.busy - len(busy)]
    return busy


@dataclass(slots=True)
class _PairPlanner:
    """Assigns models to servers one by one; `free` is the unassigned memory of each server."""

    open_servers: Mapping[str, Mapping[str, Any]]
    score_by_policy: Any
    demand: Mapping[str, float]
    pairs: Mapping[str, Pair]
    held: Mapping[str, Mapping[str, str]]
    free: dict[str, float]

    def plan(self, models: list[Any], busy: list[Any]) -> dict[str, Pair]:
        """Places primaries of busy or requested models, then secondaries of busy models, then all other primaries."""
        rare = [model for model in models if model not in busy]
        wanted = [model for model in rare if self.demand.get(model.name, 0.0) > 0]
        result: dict[str, Pair] = {}
        for model in busy + wanted:
            result[model.name] = (self.choose_server(model, "", PRIMARY), "")
        for model in busy:
            primary = result[model.name][PRIMARY]
            if primary:
                result[model.name] = (primary, self.choose_server(model, primary, SECONDARY))
        for model in rare:
            if model not in wanted:
                result[model.name] = (self.choose_server(model, "", PRIMARY), "")
        return result

    def choose_server(self, model: Any, primary: str, position: int) -> str:
        """Returns the server with the best score and enough memory, or ""; prefers another zone than the primary's."""
        best: tuple[bool, float, str] | None = None
        for name, server in self.open_servers.items():
            if name == primary or self.free[name] < model.memory:
                continue
            is_apart = not primary or server["area"] != self.open_servers[primary]["area"]
            key = (is_apart, self._score(model, name, server, position), name)
            if best is None or key > best:
                best = key
        if best is None:
            return ""
        chosen = best[2]
        self.free[chosen] -= model.memory
        return chosen

    def _score(self, model: Any, name: str, server: Mapping[str, Any], position: int) -> float:
        is_held = model.name in self.held.get(name, {})
        is_present = self.pairs.get(model.name, NO_PAIR)[position] == name
        score = _affinity(model.name, name) - CROWDING_PENALTY * (1 - self.free[name] / max(1.0, server["memory"])) * 2
        score += STAY_BONUS * is_present + STAY_BONUS * is_held
        score += self.score_by_policy(
            {
                "area": server["area"],
                "server": name,
                "model": model.name,
                "memory": model.memory,
                "free": self.free[name],
                "demand": self.demand.get(model.name, 0.0),
                "held": is_held,
                "places": server["places"],
            }
        )
        return float(score)


def plan_adapters(
    catalogue: Any, servers: Servers, pairs: Mapping[str, Pair], demand: Mapping[str, float]
) -> dict[str, tuple[str, ...]]:
    """Returns {server: adapters it should hold}, by descending demand and within each server's adapter slots."""
    wanted: dict[str, list[str]] = {name: [] for name in servers}
    adapters = sorted(catalogue.adapters, key=lambda adapter: (-demand.get(adapter.name, 0.0), adapter.name))
    for position in (PRIMARY, SECONDARY):
        for adapter in adapters:
            server = pairs.get(adapter.model, NO_PAIR)[position]
            if server not in wanted or adapter.name in wanted[server]:
                continue
            if len(wanted[server]) < servers[server]["places"]:
                wanted[server].append(adapter.name)
    return {server: tuple(names) for server, names in wanted.items()}
