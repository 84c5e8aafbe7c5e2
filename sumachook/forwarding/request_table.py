"""The table of forwarded requests in flight at an edge, with the state that the pipeline passes share."""

from datetime import timedelta
from random import Random
from typing import Any
from zlib import crc32

from sumachook.changefeed.trust import Trust
from sumachook.configuration.node_settings import COLD_OVERSHOOT, COLD_SLACK
from sumachook.forwarding.access import ClientAccess
from sumachook.forwarding.cold_allowance import ColdAllowance
from sumachook.forwarding.forwarded_request import MAX_NAME_CHARS, ForwardedRequest
from sumachook.forwarding.routes import Routes
from sumachook.forwarding.server_window import ServerWindow
from sumachook.outliers.outcome_counts import OutcomeCounts
from sumachook.requests import request_table
from sumachook.runtime.cluster_clock import UNIX_EPOCH

USED_FRACTION = 0.9  # usable fraction of a server's connections; the rest covers disagreement on the edge count
OVERPROVISIONING_FACTOR = 1.5  # over-provisions an edge's connection share, so that uneven load fits
DEFAULT_CONNECTIONS = 2.0  # connections to a server whose service is not in the catalogue
MAX_KEPT_CONNECTIONS = 4  # maximum idle connections that an edge keeps to one server
KEPT_CONNECTIONS_DIVISOR = 2  # idle connections use at most half of the connection share


class RequestTable(request_table.RequestTable):
    """Holds requests by number, the window and the placements of each server, and what is known of other edges."""

    __slots__ = (
        "access",
        "begun_by_service",
        "cold_allowance",
        "cold_until",
        "edges",
        "ejected_until",
        "has_freed_capacity",
        "is_closed",
        "models",
        "newly_waiting",
        "outcome_counts",
        "parked_requests",
        "places",
        "rank",
        "routes",
        "running_by_service",
        "services",
        "waiting",
        "wanted_models",
    )

    SERVER_WINDOW = ServerWindow
    RETRY_DELAY_DIVISOR = 50

    def __init__(
        self,
        node: str,
        restart_epoch: int,
        zone: str,
        state: Any,
        follower: Any,
        retry_budget: Any,
        random: Random,
        port: Any,
        places: Any,
        cluster_clock: Any,
    ) -> None:
        super().__init__(node, restart_epoch, zone, state, follower, retry_budget, random, port, cluster_clock)
        self.places = places
        self.edges = 1  # number of edges that share the servers
        self.rank = 0  # index of this edge in the order of all edges
        self.is_closed = False  # whether the proxy server has stopped accepting connections
        # requests waiting for a server, by number; requests parked until their route is known, by call id, with their
        # arrival time
        self.waiting: dict[int, ForwardedRequest] = {}
        self.parked_requests: dict[Any, tuple[Any, timedelta]] = {}
        # since the last server selection: requests that started to wait, and whether any attempt ended
        self.newly_waiting: set[int] = set()
        self.has_freed_capacity = False
        # demand reported to the placer, by service and model: requests begun since the last report, running now, and
        # waiting for a placement
        self.begun_by_service: dict[str, dict[str, int]] = {}
        self.running_by_service: dict[str, dict[str, dict[str, int]]] = {}
        self.wanted_models: dict[str, dict[str, tuple[int, float]]] = {}
        # lookup tables derived from the catalogue
        self.routes = Routes({})
        self.access = ClientAccess(random)
        self.services: dict[str, Any] = {}
        self.models: dict[str, dict[str, Any]] = {}
        # servers that all edges avoid as outliers, or send fewer requests as cold
        self.outcome_counts = OutcomeCounts(timedelta(0))
        self.ejected_until: dict[str, timedelta] = {}
        self.cold_until: dict[str, timedelta] = {}
        self.cold_allowance = ColdAllowance(COLD_OVERSHOOT, COLD_SLACK)

    def refresh(self) -> None:
        """Recomputes the routes, services and models when the generation of the catalogue has changed."""
        if self.generation == self.state.generation or self.state.catalogue is None:
            return
        catalogue = self.state.catalogue
        self.generation = self.state.generation
        self.routes = Routes(self.state.checked.route_by_match)
        self.services = {service.name: service for service in catalogue.services}
        self.access.refresh(catalogue)
        self.models = {
            service.name: {model.name: model for model in service.engine.models}
            for service in catalogue.services
            if service.engine
        }

    def has_stale_credentials(self, now: timedelta) -> bool:
        """Returns whether the last contact with a core is longer ago than `credential_lifetime`.

        An API key may have been revoked since, without this node having learnt of it.
        """
        lifetime = self.access.credential_lifetime
        return lifetime is not None and now - self.follower.proved_at > lifetime

    def connection_share(self, service: str) -> float:
        """Returns this edge's share of the connections that a server of the service accepts; may be less than 1."""
        known = self.services.get(service)
        return (
            USED_FRACTION * OVERPROVISIONING_FACTOR * known.connections / self.edges if known else DEFAULT_CONNECTIONS
        )

    def max_connections(self, service: str, server: str) -> int:
        """Returns how many requests this edge may have in flight at one server of the service.

        If there are more edges than a server accepts connections, only as many edges as it accepts use the server, for
        one request each. They are chosen by rank, and differ from server to server.
        """
        known = self.services.get(service)
        edges_per_server = int(USED_FRACTION * known.connections) if known else self.edges
        if self.edges <= edges_per_server:
            return int(self.connection_share(service))
        rank_at_server = (self.rank + crc32(server.encode())) % self.edges
        return 1 if rank_at_server < edges_per_server else 0

    def max_kept_connections(self, service: str) -> int:
        """Returns how many idle connections this edge may keep to one server of the service, besides those in use."""
        return min(MAX_KEPT_CONNECTIONS, int(self.connection_share(service) / KEPT_CONNECTIONS_DIVISOR))

    def record(self, request: ForwardedRequest) -> dict[str, Any]:
        """Returns the ledger record that opens the request; `tag` is the request id chosen by the client."""
        opened_at = self.cluster_clock.time(request.arrived_at).isoformat(timespec="milliseconds")
        return {
            "request": f"{self.node}.{self.restart_epoch}.{request.number}",
            "caller": request.tenant or "",
            "line": request.route.name,
            "kind": "forward",
            "asked": request.name[:MAX_NAME_CHARS],
            "key": "",
            "edge": self.node,
            "incarnation": self.restart_epoch,
            "state": "open",
            "openedAt": opened_at,
            "generation": request.generation,
            "tag": request.metadata.request_id[:100],
        }

    def with_connection_close(self, headers: tuple[tuple[str, str], ...]) -> tuple[tuple[str, str], ...]:
        """Returns the response headers, with `Connection: close` added while this node drains."""
        return (*headers, ("Connection", "close")) if self.is_draining else headers

    def may_send_cold(self, server_window: ServerWindow, rate: float, now: timedelta) -> bool:
        """Returns whether this edge may send a request now to a cold server limited to `rate` requests per second."""
        if not self._allowance.needs_window(rate):
            return server_window.may_send_cold(rate / self.edges, now)
        window = self._allowance.window(rate, self.cluster_clock.time(now) - UNIX_EPOCH)
        return window is not None and window != server_window.cold_window

    def count_cold_request(self, server_window: ServerWindow, service: str, now: timedelta) -> None:
        """Counts a request that this edge sends to a cold server against its share of the server's rate."""
        rate = self.services[service].cold_per_s if service in self.services else 0.0
        has_window = bool(rate) and self._allowance.needs_window(rate)
        server_window.count_cold_request(
            self._allowance.window(rate, self.cluster_clock.time(now) - UNIX_EPOCH) if has_window else None
        )

    @property
    def _allowance(self) -> ColdAllowance:
        self.cold_allowance.edges = self.edges
        return self.cold_allowance

    def is_ejected(self, name: str, now: timedelta) -> bool:
        """Returns whether the server is ejected; it is then selected only if no other server has capacity."""
        return name in self.ejected_until and now < self.ejected_until[name]

    def usable(self, service: str, trust: Trust, now: timedelta) -> list[tuple[str, Any]]:
        """Returns (name, server) of all servers of the service that may be sent requests."""
        return [
            (name, server)
            for name, server in self.state.servers.items()
            if server.get("service") == service and self.is_usable(name, server, trust, now)
        ]

    def usable_among(self, names: Any, service: str, trust: Trust, now: timedelta) -> list[tuple[str, Any]]:
        """Returns (name, server) of the named servers that belong to the service and may be sent requests."""
        servers = self.state.servers
        return [
            (name, servers[name])
            for name in names
            if name in servers
            and servers[name].get("service") == service
            and self.is_usable(name, servers[name], trust, now)
        ]

    def count_running(self, request: ForwardedRequest, delta: int) -> None:
        """Adds `delta` to the requests running per service, model and server, which are reported to the placer."""
        if request.service not in self.models or not request.may_be_configured:
            return
        names = self.running_by_service.setdefault(request.service, {})
        servers = names.setdefault(request.name, {})
        servers[request.server] = servers.get(request.server, 0) + delta
        if not servers[request.server]:
            del servers[request.server]
        if not servers:
            del names[request.name]
