"""Tracks the engine servers listed in the control state, and the capacity of their engines."""

from collections.abc import Set
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

    __slots__ = ("servers", "capacities", "loads_per_s", "_names_by_address", "_seen")

    def __init__(self) -> None:
        self.servers: dict[str, EngineServer] = {}
        self.capacities: dict[str, FreeCapacity] = {}
        self.loads_per_s = 0.0
        self._names_by_address: dict[str, set[str]] = {}  # the servers at each address, as of the last update
        self._seen: set[str] = set()  # all servers that were listed so far

    def update(self, state: Any, now: timedelta) -> set[str]:
        """Applies the control state; returns the names of servers whose placements may have changed for the edges."""
        engines = _engines(state.catalogue)
        self.capacities = {service: FreeCapacity(engine) for service, engine in engines.items()}
        self.loads_per_s = sum(engine.loads_per_s for engine in engines.values())
        listed = {name: item for name, item in state.servers.items() if item.get("service") in engines}
        changed = {name for name in self.servers if name not in listed}
        for name in changed:
            del self.servers[name]
        new = listed.keys() - self.servers.keys()
        for name, item in listed.items():
            if name in new:
                self.servers[name] = EngineServer(name, item["service"], now)
            self._update_server(self.servers[name], item, state.evacuated, now)
        changed |= new | self._review_addresses(new - self._seen, now)
        self._seen |= new
        return changed

    def _review_addresses(self, never_listed: Set[str], now: timedelta) -> set[str]:
        """Marks servers as replaced, or lifts their marks, at each address where the listed servers have changed.

        A server at whose address a new one is listed has ended: the list shows a crashed server for some seconds. The
        list has no order, so nothing follows for servers that are new together: all are asked, and the one that is not
        there is found by the answer of the other. Returns the names of servers whose placements may have changed.
        """
        names_by_address: dict[str, set[str]] = {}
        for server in self.servers.values():
            names_by_address.setdefault(server.address, set()).add(server.name)
        changed: set[str] = set()
        for address, names in names_by_address.items():
            if names == self._names_by_address.get(address, set()):
                continue
            arrived = names & never_listed
            for name in names - arrived:
                changed |= self._mark(self.servers[name], bool(arrived), now)
        self._names_by_address = names_by_address
        return changed

    @staticmethod
    def _mark(server: EngineServer, is_replaced: bool, now: timedelta) -> set[str]:
        if server.is_replaced == is_replaced:
            return set()
        server.is_replaced = is_replaced
        server.invalidate(now + CALLS.report_retry_replaced if is_replaced else now)
        return {server.name}

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
