"""Describes for operators which models are loaded where, and why; only reads the provisioner."""

from collections.abc import Iterable
from datetime import timedelta
from typing import Any

from sumachook.placement.engine_server import EngineServer, Order
from sumachook.placement.policy import MS
from sumachook.placement.provisioner import Provisioner

RARE_RATE = 0.05  # requests per second; a model below this and with no running requests counts as unused


def placement_status(provisioner: Provisioner, now: timedelta) -> dict[str, Any]:
    """Returns the answer to `show places`.

    It lists the servers with their models and orders in flight, the models with their servers and the reason for the
    number of replicas, and the models and adapters that requests wait for.
    """
    servers = provisioner.registry.servers.values()
    return {
        "fence": provisioner.fence,
        "servers": {server.name: _server_status(server) for server in servers},
        "storeTokens": round(provisioner.executor.store.tokens, 2),
        "models": [
            _model_status(provisioner, service, model, names, now)
            for (service, model), names in sorted(_servers_by_model(provisioner, servers).items())
        ],
        "wanted": [
            {
                "service": service,
                "name": name,
                "waiting": provisioner.requests.count((service, name)),
                "ms": round(provisioner.requests.age((service, name), now) / MS),
            }
            for service, name in provisioner.requests.pending(now)
        ],
    }


def _server_status(server: EngineServer) -> dict[str, Any]:
    return {
        "service": server.service,
        "area": server.zone,
        "condition": _condition(server),
        "ready": {model: sorted(adapters) for model, adapters in sorted(server.ready.items())},
        "order": _order_status(server.order),
        "makesRoomFor": server.reserved_for,
    }


def _condition(server: EngineServer) -> str:
    if server.is_replaced:
        return "another server answers at its address"
    if server.is_draining:
        return "leaving or in an evacuated area"
    if server.is_unreachable:
        return "does not answer"
    return "open" if server.is_known else "being read"


def _order_status(order: Order | None) -> str:
    if order is None:
        return ""
    return f"{order.verb} {order.name}, {'under way' if order.is_accepted else 'not answered yet'}"


def _servers_by_model(provisioner: Provisioner, servers: Iterable[EngineServer]) -> dict[tuple[str, str], list[str]]:
    """Returns {(service, model): server names}, including models without a replica that should have one."""
    found: dict[tuple[str, str], list[str]] = {}
    for server in servers:
        for model in server.ready if server.is_open else ():
            found.setdefault((server.service, model), []).append(server.name)
    for service, desired in provisioner.targets.desired.items():
        for model in desired:
            found.setdefault((service, model), [])
    return found


def _model_status(
    provisioner: Provisioner, service: str, model: str, names: list[str], now: timedelta
) -> dict[str, Any]:
    demand = provisioner.demand
    rate = demand.rate(service, model, now)
    running = demand.running.get((service, model), 0)
    desired = provisioner.targets.desired.get(service, {}).get(model, 0)
    return {
        "service": service,
        "model": model,
        "servers": sorted(names),
        "reason": _reason(rate, running, desired, len(names)),
    }


def _reason(rate: float, running: int, desired: int, replicas: int) -> str:
    """Explains the number of replicas of a model to an operator.

    >>> _reason(9.0, 40, 2, 1), _reason(0.0, 0, 0, 1)
    ('9.0 a second, 40 running; should have 2 places, has 1', 'nobody asks for it; it stays until its room is needed')
    """
    if rate < RARE_RATE and not running:
        return "nobody asks for it; it stays until its room is needed"
    asked = f"{rate:.1f} a second, {running} running"
    if desired > replicas:
        return f"{asked}; should have {desired} places, has {replicas}"
    return f"{asked}; it keeps {replicas}" if desired else f"{asked}; too rarely to keep a place for"
