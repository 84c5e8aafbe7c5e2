"""The pass that selects servers for the requests that wait."""

from datetime import timedelta
from typing import Any

from sumachook.changefeed.trust import Trust
from sumachook.forwarding.forwarded_request import ForwardedRequest
from sumachook.forwarding.request_table import RequestTable
from sumachook.forwarding.send import SendAttempt
from sumachook.forwarding.server_window import ServerWindow
from sumachook.forwarding.settle import Settle
from sumachook.requests.failures import FailureKind, RequestFailure
from sumachook.retry_budget.budget import service_key

# Costs by which servers are compared, in milliseconds that a request is likely to take longer. Those of a server that
# should be avoided are far above any load, so that it is taken only where no other has room.
PREFILL_TOKENS_PER_MS = 38.0  # prompt tokens that a server reads in a millisecond, where nothing better is known
ENGINE_IN_FLIGHT_COST_MS = 0.5  # for each request in flight at a model server
IN_FLIGHT_COST_MS = 20.0  # for each request in flight at another server
FULL_COST_MS = 200.0  # for as many requests beyond its slots as it has slots
OTHER_ZONE_COST_MS = 3.0
NEW_CONNECTION_COST_MS = 2.0  # a round trip, and a moment of the server
OVERLOADED_COST_MS = 500.0
BREAKER_OPEN_COST_MS = 2000.0
FAILED_COST_MS = 4 * BREAKER_OPEN_COST_MS  # it failed this very request
EJECTED_COST_MS = 4000.0
# A prompt's prefix counts as cached at a server for so long after it was last sent there.
PREFIX_CACHE_TIME = timedelta(seconds=20)
NO_DEADLINE_MS = 1e9  # above any request's time
DEMAND_REPEAT = timedelta(seconds=0.3)  # between two reports that a request wants a placement
CREDIT_WAIT = timedelta(seconds=0.5)  # that a resend waits for retry credit
PLACEMENT_WAIT_FRACTION = 0.45  # of a request's time that it may wait for a placement that is being made
CAPACITY_WAIT_FRACTION = 0.2  # of a request's time that it may wait for room at servers that are there
MIN_RETRY_AFTER_S = 0.2  # the least that a client is told to wait where the end of its wait is known


class ServerSelection:
    """Compares servers by what they have in flight, what they have cached of the prompt, and where they stand."""

    __slots__ = ("send", "settle", "table")

    def __init__(self, table: RequestTable, send: SendAttempt, settle: Settle) -> None:
        self.table = table
        self.send = send
        self.settle = settle

    def take(self, now: timedelta, is_complete: bool = True) -> list[Any]:
        """Sends what can be sent.

        Where not `is_complete`, only requests are looked at that began to wait since the last pass, and after the end
        of an attempt also those that wait for room. What waits for a placement or for a moment is looked at when
        placements change and with each tick.
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
            has_room_again = has_freed_capacity and not request.awaits_placement
            is_due = is_complete or request.number in newly_waiting or has_room_again
            if not is_due or request.not_before > now:
                continue
            failure = self._recheck(request, now)
            if failure is not None:
                effects += self.settle.take(request, failure, now)
                continue
            effects += self._select(request, self._candidates(request, servers, trust, now), now)
        return effects

    def _candidates(
        self, request: ForwardedRequest, known: dict[str, list[tuple[str, Any]]], trust: Trust, now: timedelta
    ) -> list[tuple[str, Any]]:
        """(name, server) of what the request may go to: the holders of its model, or all servers of its service.

        Those of a whole service are kept in `known` for the rest of the pass.
        """
        table = self.table
        if request.service in table.models and request.metadata.model:
            holders = table.places.holders(request.metadata.model, request.metadata.adapter)
            return table.usable_among(holders, request.service, trust, now)
        if request.service not in known:
            known[request.service] = table.usable(request.service, trust, now)
        return known[request.service]

    def _recheck(self, request: ForwardedRequest, now: timedelta) -> RequestFailure | None:
        """Why a request that was admitted is not sent after all.

        Its key is looked up again whenever the configuration is another one: it may have waited for a long time, and
        each further attempt is one more use of its key.
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
        """What a node admitted that just woke goes on only where the catalogue that it knows now leads it as well."""
        request.needs_recheck = False
        return bool(self.table.routes.find(request.metadata.host, request.path) == request.route)

    def _select(self, request: ForwardedRequest, usable: list[tuple[str, Any]], now: timedelta) -> list[Any]:
        table = self.table
        needs_placement = request.service in table.models and request.metadata.model
        if needs_placement and request.metadata.model not in table.models[request.service]:
            failure = FailureKind.NO_MODEL.because(f"no model {request.metadata.model[:80]!r}")
            return self.settle.take(request, failure, now)
        usable = _allowed(request, usable)
        if not usable:
            return self._wait(request, now, needs_placement)
        name = self._cheapest(request, usable, now)
        if name is None:
            return self._wait_for_room(request, usable, needs_placement, now)
        if request.needs_credit and not table.retry_budget.spend(service_key(request.service)):
            if request.attempt and request.credit_by <= now:
                return self.settle.take(request, _last_failure(request), now)
            request.credit_by = min(request.credit_by, now + CREDIT_WAIT)
            return []
        request.needs_credit = False
        return self.send.take(request, name, now)

    def _cheapest(self, request: ForwardedRequest, usable: list[tuple[str, Any]], now: timedelta) -> str | None:
        """The name of the server that costs the request least, or None where none has room."""
        cheapest = None
        lowest = None
        for name, server in usable:
            cost = self._cost(request, name, server, now)
            if cost is not None and (lowest is None or cost < lowest):
                cheapest = name
                lowest = cost
        return cheapest

    def _wait_for_room(
        self, request: ForwardedRequest, usable: list[tuple[str, Any]], needs_placement: Any, now: timedelta
    ) -> list[Any]:
        windows = [self.table.server_window(name) for name, _ in usable]
        if all(self._is_backing_off(request, name, now) for name, _ in usable):
            return self._wait_for_backoff(request, min(window.overloaded_until for window in windows), now)
        is_unreachable = all(window.is_unreachable(now) for window in windows)
        return self._wait(request, now, is_unreachable and needs_placement)

    def has_other_server(self, request: ForwardedRequest, now: timedelta) -> bool:
        """Whether the request could be sent to a server other than the one it is at."""
        trust = self.table.follower.trust(now)
        if trust in (Trust.EMPTY, Trust.UNPROVEN):
            return False
        usable = _allowed(request, self._candidates(request, {}, trust, now))
        return any(name != request.server and self._may_take(request, name, server, now) for name, server in usable)

    def _cost(self, request: ForwardedRequest, name: str, server: Any, now: timedelta) -> float | None:
        """Milliseconds that this choice is likely to cost, or None where the server may not be given more now."""
        table = self.table
        server_window: ServerWindow = table.server_window(name)
        if not self._may_take(request, name, server, now):
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
        # other edges are taken to have half as much in flight there as this one
        if request.service in table.models:
            pending = server_window.pending_tokens * max(1, table.edges // 2)
            unread = pending + self._uncached_tokens(request, server_window, now)
            return cost + unread / PREFILL_TOKENS_PER_MS + ENGINE_IN_FLIGHT_COST_MS * server_window.in_use
        slots: int = max(1, server.get("slots", 1))
        excess: float = max(0, server_window.in_use * table.edges / 2 - slots)
        return cost + IN_FLIGHT_COST_MS * server_window.in_use + FULL_COST_MS * excess / slots

    def _may_take(self, request: ForwardedRequest, name: str, server: Any, now: timedelta) -> bool:
        """Whether the server may be given this request now: the one rule for selecting and for leaving a server."""
        return self._has_room(request, name, server, now) and not self._is_backing_off(request, name, now)

    def _is_backing_off(self, request: ForwardedRequest, name: str, now: timedelta) -> bool:
        """Whether the server refused this request and its backoff is not over: it would most likely refuse again."""
        return name in request.failed_servers and self.table.server_window(name).is_overloaded(now)

    def _has_room(self, request: ForwardedRequest, name: str, server: Any, now: timedelta) -> bool:
        """Whether the server may be given one more now."""
        table, server_window = self.table, self.table.server_window(name)
        service: Any = table.services.get(request.service)
        limit = table.max_connections(request.service, name)
        if request.is_yielding:
            limit = (limit + 1) // 2  # it runs where room is left
        if server_window.in_use >= limit or server_window.is_unreachable(now):
            return False
        return not self._is_cold(name, service, now) or table.may_send_cold(server_window, service.cold_per_s, now)

    def _is_cold(self, name: str, service: Any, now: timedelta) -> bool:
        if not service or not service.cold_per_s:
            return False
        until = self.table.cold_until.get(name)
        return until is not None and now < until

    def _uncached_tokens(self, request: ForwardedRequest, server_window: ServerWindow, now: timedelta) -> int:
        """Tokens of the prompt that this server is not known to have cached."""
        metadata = request.metadata
        tokens = metadata.prompt_tokens
        prefix: tuple[str, ...] = ()
        for part, count in metadata.parts[:-1]:
            prefix += (part,)
            sent_at = server_window.cached_prefixes.get((metadata.model, metadata.adapter, prefix))
            if sent_at is None or now - sent_at > PREFIX_CACHE_TIME:
                break
            tokens -= count
        return max(0, tokens)

    def _wait_for_backoff(self, request: ForwardedRequest, until: timedelta, now: timedelta) -> list[Any]:
        """The request waits until a server that refused it may be asked again, or ends at once if that is too late."""
        if until > _room_by(request):
            request.retry_after = max(MIN_RETRY_AFTER_S, (until - now).total_seconds())
            return self.settle.take(request, _last_failure(request), now)
        return []

    def _wait(self, request: ForwardedRequest, now: timedelta, is_wanted: Any) -> list[Any]:
        """The request waits while a placement or room may come; it is refused as soon as its time will not do."""
        table = self.table
        request.awaits_placement = bool(is_wanted)
        model = table.models.get(request.service, {}).get(request.metadata.model)
        load_time = timedelta(milliseconds=model.load_ms) if model and is_wanted else timedelta(0)
        placement_by = request.arrived_at + (request.deadline - request.arrived_at) * PLACEMENT_WAIT_FRACTION
        if now >= placement_by or (not is_wanted and now > _room_by(request)):
            request.retry_after = max(MIN_RETRY_AFTER_S, load_time.total_seconds())
            return self.settle.take(request, _last_failure(request), now)
        if is_wanted and (request.wanted_at is None or now - request.wanted_at >= DEMAND_REPEAT):
            self._report_demand(request, now)
        return []

    def _report_demand(self, request: ForwardedRequest, now: timedelta) -> None:
        """Tells the placer how many requests want the model, and how soon the first of them will be too late."""
        request.wanted_at = now
        names = self.table.wanted_models.setdefault(request.service, {})
        count, soonest_ms = names.get(request.name, (0, NO_DEADLINE_MS))
        remaining_ms = (request.deadline - now).total_seconds() * 1000
        names[request.name] = (count + 1, min(soonest_ms, remaining_ms))


def _priority(request: ForwardedRequest) -> tuple[bool, int, int, int]:
    """The order in which requests that wait are looked at."""
    return request.is_yielding, request.tenant_priority, request.route.priority, request.number


def _room_by(request: ForwardedRequest) -> timedelta:
    """Until when the request may wait for room at servers that are there."""
    return request.arrived_at + (request.deadline - request.arrived_at) * CAPACITY_WAIT_FRACTION


def _allowed(request: ForwardedRequest, usable: list[tuple[str, Any]]) -> list[tuple[str, Any]]:
    """As many servers as the route allows: then only those that it went to."""
    if len(request.sent_to) < request.route.tries:
        return usable
    return [(name, server) for name, server in usable if name in request.sent_to]


def _last_failure(request: ForwardedRequest) -> RequestFailure:
    """What went wrong with the last attempt, or that there was no room for one."""
    return request.last_failure or FailureKind.OVERLOAD.because("no place in time")
