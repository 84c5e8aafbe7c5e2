"""The pass that selects servers for the requests that wait."""

from datetime import timedelta
from typing import Any

from sumachook.changefeed.trust import Trust
from sumachook.inference.dispatch import Dispatch
from sumachook.inference.inference_request import InferenceRequest
from sumachook.inference.request_table import RequestTable
from sumachook.inference.server_window import WHOLE_SERVER
from sumachook.inference.settle import Settle
from sumachook.requests.failures import FailureKind, RequestFailure
from sumachook.requests.in_flight_request import RequestState
from sumachook.retry_budget.budget import own_key

MIN_RETRY_AFTER_S = 1.0  # that a caller is told where all breakers are open
RECORD_SERVER = "records"  # the kind of the servers that answer lookups


class ServerSelection:
    """Lookups go to the record server with the least in flight, prompts to a holder of their model with room."""

    __slots__ = ("dispatch", "settle", "table")

    def __init__(self, table: RequestTable, dispatch: Dispatch, settle: Settle) -> None:
        self.table = table
        self.dispatch = dispatch
        self.settle = settle

    def take(self, now: timedelta) -> list[Any]:
        """Sends what can be sent."""
        table = self.table
        if not table.waiting_lookups and not any(table.queues.requests.values()):
            return []
        trust = table.follower.trust(now)
        effects = self._recheck_zone(now) if trust not in (Trust.EMPTY, Trust.UNPROVEN) else []
        return effects + self._send_lookups(trust, now) + self._send_prompts(trust, now)

    def _recheck_zone(self, now: timedelta) -> list[Any]:
        """What came while this edge had just woken was admitted unchecked: its zone may have been evacuated since."""
        table = self.table
        if table.state.is_open(table.zone):
            for request in self._waiting():
                request.needs_recheck = False
            return []
        effects = []
        failure = FailureKind.EVACUATED.because(f"area {table.zone} is evacuated, use another area's node")
        for request in self._waiting():
            if request.needs_recheck:
                request.needs_recheck = False
                effects += self.settle.take(request, failure, now)
        return effects

    def _waiting(self) -> list[InferenceRequest]:
        prompts = (request for requests in self.table.queues.requests.values() for request in requests)
        return [*self.table.waiting_lookups, *prompts]

    def _send_lookups(self, trust: Trust, now: timedelta) -> list[Any]:
        effects = []
        servers = None
        for request in list(self.table.waiting_lookups):
            if request.not_before > now:
                continue
            servers = self._usable_record_servers(trust, now) if servers is None else servers
            if servers and self._may_send(request):
                self.table.waiting_lookups.remove(request)
                effects += self.dispatch.take(request, self._select_record_server(request, servers, now), now)
                servers = None  # what was sent may be the probe of an open breaker
        return effects

    def _send_prompts(self, trust: Trust, now: timedelta) -> list[Any]:
        effects = []
        queues = self.table.queues
        weights = {queue.name: queue.weight for queue in self.table.state.catalogue.lines}
        for queue, request in sorted(queues.turns(weights), key=lambda turn: turn[1].is_yielding):
            if request.state is not RequestState.WAITING or request.not_before > now:
                continue
            server = self._select_server(request, trust, now)
            if isinstance(server, RequestFailure):
                queues.remove(queue, request)
                effects += self.settle.take(request, server, now)
            elif server is not None and self._may_send(request):
                queues.remove(queue, request)
                queues.charge_turn(queue, weights)
                effects += self.dispatch.take(request, server, now)
        return effects

    def _may_send(self, request: InferenceRequest) -> bool:
        """A resend costs a credit; without one the request waits within its deadline."""
        if request.needs_credit and not self.table.retry_budget.spend(own_key(request.kind)):
            return False
        request.needs_credit = False
        return True

    def _usable_record_servers(self, trust: Trust, now: timedelta) -> list[str]:
        if trust in (Trust.EMPTY, Trust.UNPROVEN):
            return []
        return [
            name
            for name, server in self.table.state.servers.items()
            if server["kind"] == RECORD_SERVER
            and self.table.is_usable(name, server, trust, now)
            and not self.table.server_window(name).is_breaker_open(now)
        ]

    def _select_record_server(self, request: InferenceRequest, names: list[str], now: timedelta) -> str:
        table = self.table

        def preference(name: str) -> tuple[int, bool, bool, int, str]:
            server_window = table.server_window(name)
            is_far = table.state.servers[name]["area"] != table.zone
            is_overloaded = server_window.is_overloaded(now)
            return _failure_rank(request, name), is_overloaded, is_far, server_window.in_use, name

        return min(names, key=preference)

    def _select_server(self, request: InferenceRequest, trust: Trust, now: timedelta) -> str | RequestFailure | None:
        """A server's name, None to wait on, or a failure."""
        if trust in (Trust.EMPTY, Trust.UNPROVEN):
            return None
        table = self.table
        holders = self._holders(request, trust, now)
        open_breakers = [name for name, _ in holders if table.server_window(name).is_breaker_open(now)]
        ready = [(name, is_warming) for name, is_warming in holders if name not in open_breakers]
        if not holders:
            return self._wait_for_model(request, now)
        if not ready:
            soonest = min(table.server_window(name).breaker_open_until for name in open_breakers)
            request.retry_after = max(MIN_RETRY_AFTER_S, (soonest - now).total_seconds())
            return FailureKind.UNREACHABLE.because("the breaker is open")
        ready.sort(key=lambda item: (_failure_rank(request, item[0]), table.server_window(item[0]).is_overloaded(now)))
        return next((name for name, is_warming in ready if self._has_room(request, name, is_warming, now)), None)

    def _holders(self, request: InferenceRequest, trust: Trust, now: timedelta) -> list[tuple[str, bool]]:
        """(name, whether it became ready of late) of the usable servers that hold the model, and the adapter if any."""
        state = self.table.state
        holders = []
        for name in state.pairs.get(request.model.name, ()):
            server = state.servers.get(name)
            if server is None or not self.table.is_usable(name, server, trust, now):
                continue
            items = state.model_statuses.get(name, {})
            conditions = {items.get(request.model.name)}
            if request.adapter:
                conditions.add(items.get(request.adapter))
            if conditions <= {"ready", "warm"}:
                holders.append((name, "warm" in conditions))
        return holders

    def _wait_for_model(self, request: InferenceRequest, now: timedelta) -> RequestFailure | None:
        """A waking model is one that is placed but not held yet: one delayed retry, then the end."""
        if now < request.model_ready_by:
            return None
        if request.wake_retries:
            return FailureKind.WAKE_TIMEOUT.because(f"{request.name} was not ready in time")
        request.wake_retries = 1
        request.finished_attempts.append({"server": "", "class": FailureKind.WAKE_TIMEOUT.value})
        request.not_before = now + self.table.retry_delay(request)
        request.model_ready_by = now + timedelta(seconds=request.model.wake)
        return None

    def _has_room(self, request: InferenceRequest, name: str, is_warming: bool, now: timedelta) -> bool:
        table, server_window = self.table, self.table.server_window(name)
        server = table.state.servers[name]
        limit = table.limit(server)
        queue = table.queue_settings(request)
        queue_limit = max(1, int(limit * queue.share)) if queue else 1
        if request.is_yielding:
            limit = max(1, limit // 2)  # it runs where room is left
        if server_window.in_use >= limit or server_window.in_use_by_queue.get(request.queue, 0) >= queue_limit:
            return False
        is_cold = "ready" not in table.state.model_statuses.get(name, {}).values()
        item, in_use = request.model.name, server_window.in_use_by_item
        return self._allows_slow_start(name, item, is_warming, in_use.get(item, 0), now) and self._allows_slow_start(
            name, WHOLE_SERVER, is_cold, server_window.in_use, now
        )

    def _allows_slow_start(self, name: str, item: str, is_warming: bool, in_use: int, now: timedelta) -> bool:
        """Whether an item, or the whole server, that became ready of late may get one more request of this edge."""
        server_window = self.table.server_window(name)
        if not is_warming:
            server_window.warming_since.pop(item, None)
            return True
        if not self.table.knows_edges:
            return False  # it would take itself for the only one, and all of the share
        rank, edges = self.table.rank(name)
        slots = self.table.state.servers[name]["slots"]
        return bool(in_use < server_window.slow_start_limit(item, slots, rank, edges, now))


def _failure_rank(request: InferenceRequest, name: str) -> int:
    """0 for a server that has not failed this request, else higher the later it did."""
    return request.failed_servers.index(name) + 1 if name in request.failed_servers else 0
