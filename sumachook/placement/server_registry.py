"""Tracks the engine servers listed in the control state, and the capacity of their engines."""

from datetime import timedelta
from typing import Any

from sumachook.placement.engine_server import EngineServer
from sumachook.placement.free_capacity import FreeCapacity
from sumachook.placement.policy import CALLS


class ServerRegistry:
    """Keeps the engine servers in step with the control state; a new server's contents are unknown until it reports.

    Attributes
    ----------
    servers : {name: server}
    capacities : {service: capacity} of the services that run an engine
    loads_per_s : rate limit of the weight store, in loads per second for all services together
    """

    __slots__ = ("servers", "capacities", "loads_per_s")

    def __init__(self) -> None:
        self.servers: dict[str, EngineServer] = {}
        self.capacities: dict[str, FreeCapacity] = {}
        self.loads_per_s = 0.0

    def update(self, state: Any, now: timedelta) -> set[str]:
        """Applies the control state; returns the names of servers whose placements may have changed for the edges."""
        engines = _engines(state.catalogue)
        self.capacities = {service: FreeCapacity(engine) for service, engine in engines.items()}
        self.loads_per_s = sum(engine.loads_per_s for engine in engines.values())
        listed = {name: item for name, item in state.servers.items() if item.get("service") in engines}
        changed = {name for name in self.servers if name not in listed}
        for name in changed:
            del self.servers[name]
        for name, item in listed.items():
            if name not in self.servers:
                changed |= self._add(name, item, now)
            self._update_server(self.servers[name], item, state.evacuated, now)
        return changed

    def _add(self, name: str, item: dict[str, Any], now: timedelta) -> set[str]:
        changed = {name}
        for other in self.servers.values():
            if other.address == item["address"]:  # a new server has the address of one that is still listed
                other.is_replaced = True
                changed.add(other.name)
        self.servers[name] = EngineServer(name, item["service"], now)
        return changed

    @staticmethod
    def _update_server(server: EngineServer, item: dict[str, Any], evacuated: Any, now: timedelta) -> None:
        server.address = item["address"]
        server.zone = item["area"]
        server.is_draining = bool(item["leaving"]) or item["area"] in evacuated
        if server.is_draining:
            server.reserved_for = ""
            if server.order is not None:  # the order is not polled any more; a later report shows its outcome
                server.invalidate(now + CALLS.report_lag * 3)


def _engines(catalogue: Any) -> dict[str, Any]:
    """Returns {service: engine} for the services of a catalogue that run an engine."""
    services = getattr(catalogue, "services", ()) if catalogue is not None else ()
    return {service.name: service.engine for service in services if service.engine is not None}
