"""The pipeline pass that selects servers for waiting requests."""

from datetime import timedelta
from typing import Any

from sumachook.changefeed.trust import Trust
from sumachook.forwarding.forwarded_request import ForwardedRequest
from sumachook.forwarding.request_table import RequestTable
from sumachook.forwarding.send import SendAttempt
from sumachook.forwarding.server_window import MAX_PREFIX_PARTS, ServerWindow
from sumachook.forwarding.settle import Settle
from sumachook.requests.failures import FailureKind, RequestFailure
from sumachook.retry_budget.budget import service_key

# Costs by which servers are compared, as the expected extra latency in milliseconds. The costs of a server to avoid are
# far above those of any load, so that it is selected only if no other server has capacity.
PREFILL_TOKENS_PER_MS = 38.0  # assumed prefill speed of a server if no better figure is known
ENGINE_IN_FLIGHT_COST_MS = 0.5  # cost of each request in flight at a server with an engine
IN_FLIGHT_COST_MS = 20.0  # cost of each request in flight at a server without an engine
EXCESS_COST_MS = 200.0  # cost of a server with twice as many requests in flight as slots; linear in the excess
OTHER_ZONE_COST_MS = 3.0
NEW_CONNECTION_COST_MS = 2.0  # cost of opening a connection: a round trip, and some work for the server
OVERLOADED_COST_MS = 500.0
BREAKER_OPEN_COST_MS = 2000.0
FAILED_COST_MS = 4 * BREAKER_OPEN_COST_MS  # cost of a server that has failed this request before
EJECTED_COST_MS = 4000.0
# A prompt prefix counts as cached at a server for this time after it was last sent there.
PREFIX_CACHE_TIME = timedelta(seconds=20)
NO_DEADLINE_MS = 1e9  # remaining time of a request without a deadline; longer than any timeout
DEMAND_REPORT_INTERVAL = timedelta(seconds=0.3)  # interval of demand reports per request that waits for a placement
MAX_CREDIT_WAIT = timedelta(seconds=0.5)  # maximum wait of a retry for retry credit
PLACEMENT_WAIT_FRACTION = 0.45  # fraction of a request's timeout that it may wait for a placement of its model
CAPACITY_WAIT_FRACTION = 0.2  # fraction of a request's timeout that it may wait for capacity at the servers
MIN_RETRY_AFTER_S = 0.2  # lower bound on the Retry-After value if the end of the wait is known


class ServerSelection:
    """Selects the server with the lowest expected latency, by load, cached prompt prefixes, connections and zone."""

    __slots__ = ("send", "settle", "table")

    def __init__(self, table: RequestTable, send: SendAttempt, settle: Settle) -> None:
        self.table = table
        self.send = send
        self.settle = settle

    def take(self, now: timedelta, is_complete: bool = True) -> list[Any]:
        """Sends every waiting request for which a server has capacity.

        Unless `is_complete`, only requests that started to wait since the last pass are considered and, if an attempt
        has ended, those that wait for capacity. Requests that wait for a placement or for a backoff are considered when
        placements change and on each tick.
        """
        table = self.table
        newly_waiting, has_freed_capacity = table.newly_waiting, table.has_freed_capacity
        table.newly_waiting = set()
        table.has_freed_capacity = False
        if not table.waiting or not (is_complete or newly_waiting or has_freed_capacity):
            return []
        trust = table.follower.trust(now)
        if trust in (Trust.EMPTY, Trust.UNPROVEN):
            return []
        table.refresh()
        effects: list[Any] = []
        servers: dict[str, list[tuple[str, Any]]] = {}
        for request in sorted(table.waiting.values(), key=_priority):
            has_capacity_again = has_freed_capacity and not request.awaits_placement
            is_due = is_complete or request.number in newly_waiting or has_capacity_again
            if not is_due or request.not_before > now:
                continue
            failure = self._recheck(request, now)
            if failure is not None:
                effects += self.settle.take(request, failure, now)
                continue
            effects += self._select(request, self._candidates(request, servers, trust, now), now)
        return effects

    def _candidates(
        self,
        request: ForwardedRequest,
        servers_by_service: dict[str, list[tuple[str, Any]]],
        trust: Trust,
        now: timedelta,
    ) -> list[tuple[str, Any]]:
        """Returns (name, server) of the holders of the request's model, or else of all servers of its service.

        `servers_by_service` caches the servers of whole services for the rest of the pass.
        """
        table = self.table
        if request.service in table.models and request.metadata.model:
            holders = table.places.holders(request.metadata.model, request.metadata.adapter)
            return table.usable_among(holders, request.service, trust, now)
        if request.service not in servers_by_service:
            servers_by_service[request.service] = table.usable(request.service, trust, now)
        return servers_by_service[request.service]

    def _recheck(self, request: ForwardedRequest, now: timedelta) -> RequestFailure | None:
        """Returns why an admitted request may no longer be sent, or None if it may.

        The API key is checked again after each change of the configuration: the request may have waited for a long
        time, and each further attempt is one more use of its key.
        """
        table = self.table
        if request.needs_recheck and not self._has_same_route(request):
            return FailureKind.NOT_READY.because("its route changed while this node was away")
        if request.metadata.credentials and request.tenant is not None and table.has_stale_credentials(now):
            return FailureKind.NOT_READY.because("not in touch")
        if request.checked_generation == table.generation:
            return None
        request.checked_generation = table.generation
        access = table.access.rules.check(request.route, request.metadata.credentials)
        if access.failure is not None:
            return access.failure
        tenant = access.tenant.name if access.tenant is not None else None
        return None if tenant == request.tenant else FailureKind.NOT_READY.because("its key is of another tenant now")

    def _has_same_route(self, request: ForwardedRequest) -> bool:
        """Returns whether the current catalogue still has the route under which the request was admitted."""
        request.needs_recheck = False
        return bool(self.table.routes.find(request.metadata.host, request.path) == request.route)

    def _select(self, request: ForwardedRequest, usable: list[tuple[str, Any]], now: timedelta) -> list[Any]:
        table = self.table
        needs_placement = request.service in table.models and request.metadata.model
        if needs_placement and request.metadata.model not in table.models[request.service]:
            failure = FailureKind.NO_MODEL.because(f"no model {request.metadata.model[:80]!r}")
            return self.settle.take(request, failure, now)
        usable = _within_tries(request, usable)
        if not usable:
            return self._wait_or_refuse(request, now, needs_placement)
        name = self._cheapest(request, usable, now)
        if name is None:
            return self._wait_for_capacity(request, usable, needs_placement, now)
        if request.needs_credit and not table.retry_budget.spend(service_key(request.service)):
            if request.attempt and request.credit_by <= now:
                return self.settle.take(request, _last_failure(request), now)
            request.credit_by = min(request.credit_by, now + MAX_CREDIT_WAIT)
            return []
        request.needs_credit = False
        return self.send.take(request, name, now)

    def _cheapest(self, request: ForwardedRequest, usable: list[tuple[str, Any]], now: timedelta) -> str | None:
        """Returns the name of the server with the lowest cost for the request, or None if no server has capacity."""
        cheapest = None
        lowest = None
        for name, server in usable:
            cost = self._cost(request, name, server, now)
            if cost is not None and (lowest is None or cost < lowest):
                cheapest = name
                lowest = cost
        return cheapest

    def _wait_for_capacity(
        self, request: ForwardedRequest, usable: list[tuple[str, Any]], needs_placement: Any, now: timedelta
    ) -> list[Any]:
        windows = [self.table.server_window(name) for name, _ in usable]
        if all(self._is_backing_off(request, name, now) for name, _ in usable):
            return self._wait_for_backoff(request, min(window.overloaded_until for window in windows), now)
        is_unreachable = all(window.is_unreachable(now) for window in windows)
        return self._wait_or_refuse(request, now, is_unreachable and needs_placement)

    def has_other_server(self, request: ForwardedRequest, now: timedelta) -> bool:
        """Returns whether the request could be sent now to a server other than its current one."""
        trust = self.table.follower.trust(now)
        if trust in (Trust.EMPTY, Trust.UNPROVEN):
            return False
        usable = _within_tries(request, self._candidates(request, {}, trust, now))
        return any(name != request.server and self._may_send_to(request, name, server, now) for name, server in usable)

    def _cost(self, request: ForwardedRequest, name: str, server: Any, now: timedelta) -> float | None:
        """Returns the cost of the server in milliseconds, or None if the request may not be sent to it now."""
        table = self.table
        server_window: ServerWindow = table.server_window(name)
        if not self._may_send_to(request, name, server, now):
            return None
        cost: float = (
            OTHER_ZONE_COST_MS * (server["area"] != table.zone)
            + NEW_CONNECTION_COST_MS * (not server_window.has_kept_connection(now))
            + OVERLOADED_COST_MS * server_window.is_overloaded(now)
            + BREAKER_OPEN_COST_MS * server_window.is_breaker_open(now)
        )
        cost += (
            FAILED_COST_MS * (name in request.failed_servers)
            + EJECTED_COST_MS * table.is_ejected(name, now)
            + table.random.random()
        )
        # each other edge is assumed to have half as much in flight at the server as this one
        if request.service in table.models:
            pending = server_window.pending_tokens * max(1, table.edges // 2)
            unread = pending + self._uncached_tokens(request, server_window, now)
            return cost + unread / PREFILL_TOKENS_PER_MS + ENGINE_IN_FLIGHT_COST_MS * server_window.in_use
        slots: int = max(1, server.get("slots", 1))
        excess: float = max(0, server_window.in_use * table.edges / 2 - slots)
        return cost + IN_FLIGHT_COST_MS * server_window.in_use + EXCESS_COST_MS * excess / slots

    def _may_send_to(self, request: ForwardedRequest, name: str, server: Any, now: timedelta) -> bool:
        """Returns whether the request may be sent to the server now; used to select and to abandon servers."""
        return self._has_capacity(request, name, server, now) and not self._is_backing_off(request, name, now)

    def _is_backing_off(self, request: ForwardedRequest, name: str, now: timedelta) -> bool:
        """Returns whether the server refused this request and its backoff lasts: it would most likely refuse again."""
        return name in request.failed_servers and self.table.server_window(name).is_overloaded(now)

    def _has_capacity(self, request: ForwardedRequest, name: str, server: Any, now: timedelta) -> bool:
        """Returns whether the server has capacity for one more request of this edge."""
        table, server_window = self.table, self.table.server_window(name)
        service: Any = table.services.get(request.service)
        limit = table.max_connections(request.service, name)
        if request.is_yielding:
            limit = (limit + 1) // 2  # over its quota: it may use only half of the connections
        if server_window.in_use >= limit or server_window.is_unreachable(now):
            return False
        return not self._is_cold(name, service, now) or table.may_send_cold(server_window, service.cold_per_s, now)

    def _is_cold(self, name: str, service: Any, now: timedelta) -> bool:
        if not service or not service.cold_per_s:
            return False
        until = self.table.cold_until.get(name)
        return until is not None and now < until

    def _uncached_tokens(self, request: ForwardedRequest, server_window: ServerWindow, now: timedelta) -> int:
        """Returns how many tokens of the prompt the server is not known to have cached."""
        metadata = request.metadata
        tokens = metadata.prompt_tokens
        prefix: tuple[str, ...] = ()
        for part, count in metadata.parts[:-1][:MAX_PREFIX_PARTS]:
            prefix += (part,)
            sent_at = server_window.cached_prefixes.get((metadata.model, metadata.adapter, prefix))
            if sent_at is None or now - sent_at > PREFIX_CACHE_TIME:
                break
            tokens -= count
        return max(0, tokens)

    def _wait_for_backoff(self, request: ForwardedRequest, until: timedelta, now: timedelta) -> list[Any]:
        """Lets the request wait for the end of the backoff, `until`; refuses it if it may not wait for so long."""
        if until > _capacity_deadline(request):
            request.retry_after = max(MIN_RETRY_AFTER_S, (until - now).total_seconds())
            return self.settle.take(request, _last_failure(request), now)
        return []

    def _wait_or_refuse(self, request: ForwardedRequest, now: timedelta, is_placement_wanted: Any) -> list[Any]:
        """Lets the request wait for a placement or for capacity; refuses it once it has waited for too long."""
        table = self.table
        request.awaits_placement = bool(is_placement_wanted)
        model = table.models.get(request.service, {}).get(request.metadata.model)
        load_time = timedelta(milliseconds=model.load_ms) if model and is_placement_wanted else timedelta(0)
        placement_deadline = request.arrived_at + (request.deadline - request.arrived_at) * PLACEMENT_WAIT_FRACTION
        if now >= placement_deadline or (not is_placement_wanted and now > _capacity_deadline(request)):
            request.retry_after = max(MIN_RETRY_AFTER_S, load_time.total_seconds())
            return self.settle.take(request, _last_failure(request), now)
        if is_placement_wanted and (request.wanted_at is None or now - request.wanted_at >= DEMAND_REPORT_INTERVAL):
            self._report_demand(request, now)
        return []

    def _report_demand(self, request: ForwardedRequest, now: timedelta) -> None:
        """Reports to the placer how many requests wait for the model, and the shortest time left to a deadline."""
        request.wanted_at = now
        if not request.may_be_configured:
            return
        names = self.table.wanted_models.setdefault(request.service, {})
        count, soonest_ms = names.get(request.name, (0, NO_DEADLINE_MS))
        remaining_ms = (request.deadline - now).total_seconds() * 1000
        names[request.name] = (count + 1, min(soonest_ms, remaining_ms))


def _priority(request: ForwardedRequest) -> tuple[bool, int, int, int]:
    """Sort key of waiting requests: over quota last, then by tenant and route priority, then in order of arrival."""
    return request.is_yielding, request.tenant_priority, request.route.priority, request.number


def _capacity_deadline(request: ForwardedRequest) -> timedelta:
    """Returns until when the request may wait for capacity at the existing servers."""
    return request.arrived_at + (request.deadline - request.arrived_at) * CAPACITY_WAIT_FRACTION


def _within_tries(request: ForwardedRequest, usable: list[tuple[str, Any]]) -> list[tuple[str, Any]]:
    """Limits the servers to those already tried once the request has been sent to as many as its route allows."""
    if len(request.sent_to) < request.route.tries:
        return usable
    return [(name, server) for name, server in usable if name in request.sent_to]


def _last_failure(request: ForwardedRequest) -> RequestFailure:
    """Returns the failure of the last attempt, or an overload failure if there was none."""
    return request.last_failure or FailureKind.OVERLOAD.because("no place in time")
