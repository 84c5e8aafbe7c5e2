"""Selection of a server for each waiting request."""

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
from sumachook.retry_budget.budget import inference_key

MIN_RETRY_AFTER_S = 1.0  # smallest Retry-After sent while the breakers of all servers of a model are open
RECORD_SERVER = "records"  # kind of the servers that answer lookups


class ServerSelection:
    """Sends lookups to the record server with the fewest requests in flight, and prompts to a server that has their
    model loaded and a free slot.
    """

    __slots__ = ("dispatch", "settle", "table")

    def __init__(self, table: RequestTable, dispatch: Dispatch, settle: Settle) -> None:
        self.table = table
        self.dispatch = dispatch
        self.settle = settle

    def take(self, now: timedelta) -> list[Any]:
        """Dispatches every waiting request for which a server is available."""
        table = self.table
        if not table.waiting_lookups and not any(table.queues.requests.values()):
            return []
        trust = table.follower.trust(now)
        effects = self._recheck_zone(now) if trust not in (Trust.EMPTY, Trust.UNPROVEN) else []
        return effects + self._send_lookups(trust, now) + self._send_prompts(trust, now)

    def _recheck_zone(self, now: timedelta) -> list[Any]:
        """Ends requests that were admitted before this edge had current state, if its zone is now evacuated."""
        table = self.table
        if table.state.is_open(table.zone):
            for request in self._waiting_requests():
                request.needs_recheck = False
            return []
        effects = []
        failure = FailureKind.EVACUATED.because(f"area {table.zone} is evacuated, use another area's node")
        for request in self._waiting_requests():
            if request.needs_recheck:
                request.needs_recheck = False
                effects += self.settle.take(request, failure, now)
        return effects

    def _waiting_requests(self) -> list[InferenceRequest]:
        prompts = (request for requests in self.table.queues.requests.values() for request in requests)
        return [*self.table.waiting_lookups, *prompts]

    def _send_lookups(self, trust: Trust, now: timedelta) -> list[Any]:
        effects = []
        servers = None
        for request in list(self.table.waiting_lookups):
            if request.not_before > now:
                continue
            servers = self._usable_record_servers(trust, now) if servers is None else servers
            if servers and self._pay_for_retry(request):
                self.table.waiting_lookups.remove(request)
                effects += self.dispatch.take(request, self._select_record_server(request, servers, now), now)
                servers = None  # recompute: the request just sent may be the probe of an open breaker
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
            elif server is not None and self._pay_for_retry(request):
                queues.remove(queue, request)
                queues.charge_turn(queue, weights)
                effects += self.dispatch.take(request, server, now)
        return effects

    def _pay_for_retry(self, request: InferenceRequest) -> bool:
        """Spends retry credit if the request is a retry; without credit it stays queued until `credit_by`."""
        if request.needs_credit and not self.table.retry_budget.spend(inference_key(request.kind)):
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
            is_in_other_zone = table.state.servers[name]["area"] != table.zone
            is_overloaded = server_window.is_overloaded(now)
            return _failure_rank(request, name), is_overloaded, is_in_other_zone, server_window.in_use, name

        return min(names, key=preference)

    def _select_server(self, request: InferenceRequest, trust: Trust, now: timedelta) -> str | RequestFailure | None:
        """Returns the name of a server, None if the request must keep waiting, or a failure that ends it."""
        if trust in (Trust.EMPTY, Trust.UNPROVEN):
            return None
        table = self.table
        candidates = self._servers_with_model(request, trust, now)
        open_breakers = [name for name, _ in candidates if table.server_window(name).is_breaker_open(now)]
        ready = [(name, is_warming) for name, is_warming in candidates if name not in open_breakers]
        if not candidates:
            return self._wait_for_model(request, now)
        if not ready:
            soonest = min(table.server_window(name).breaker_open_until for name in open_breakers)
            request.retry_after = max(MIN_RETRY_AFTER_S, (soonest - now).total_seconds())
            return FailureKind.UNREACHABLE.because("the breaker is open")
        ready.sort(key=lambda item: (_failure_rank(request, item[0]), table.server_window(item[0]).is_overloaded(now)))
        return next((name for name, is_warming in ready if self._has_free_slot(request, name, is_warming, now)), None)

    def _servers_with_model(self, request: InferenceRequest, trust: Trust, now: timedelta) -> list[tuple[str, bool]]:
        """Returns the usable servers that have the model loaded, and the adapter if one is requested, each as (name,
        whether one of the two became ready recently).
        """
        state = self.table.state
        candidates = []
        for name in state.pairs.get(request.model.name, ()):
            server = state.servers.get(name)
            if server is None or not self.table.is_usable(name, server, trust, now):
                continue
            items = state.model_statuses.get(name, {})
            conditions = {items.get(request.model.name)}
            if request.adapter:
                conditions.add(items.get(request.adapter))
            if conditions <= {"ready", "warm"}:
                candidates.append((name, "warm" in conditions))
        return candidates

    def _wait_for_model(self, request: InferenceRequest, now: timedelta) -> RequestFailure | None:
        """Waits for a model that no usable server has loaded: one delayed retry at `model_ready_by`, then a failure."""
        if now < request.model_ready_by:
            return None
        if request.wake_retries:
            return FailureKind.WAKE_TIMEOUT.because(f"{request.name} was not ready in time")
        request.wake_retries = 1
        request.finished_attempts.append({"server": "", "class": FailureKind.WAKE_TIMEOUT.value})
        request.not_before = now + self.table.retry_delay(request)
        request.model_ready_by = now + timedelta(seconds=request.model.wake)
        return None

    def _has_free_slot(self, request: InferenceRequest, name: str, is_warming: bool, now: timedelta) -> bool:
        table, server_window = self.table, self.table.server_window(name)
        server = table.state.servers[name]
        limit = table.limit(server)
        queue = table.queue_settings(request)
        queue_limit = max(1, int(limit * queue.share)) if queue else 1
        if request.is_yielding:
            limit = max(1, limit // 2)  # requests over their tenant's quota get half of the slots
        if server_window.in_use >= limit or server_window.in_use_by_queue.get(request.queue, 0) >= queue_limit:
            return False
        is_cold = "ready" not in table.state.model_statuses.get(name, {}).values()
        item, in_use = request.model.name, server_window.in_use_by_item
        return self._allows_slow_start(name, item, is_warming, in_use.get(item, 0), now) and self._allows_slow_start(
            name, WHOLE_SERVER, is_cold, server_window.in_use, now
        )

    def _allows_slow_start(self, name: str, item: str, is_warming: bool, in_use: int, now: timedelta) -> bool:
        """Returns whether the slow start of a model, or of the whole server, admits one more request from this edge."""
        server_window = self.table.server_window(name)
        if not is_warming:
            server_window.warming_since.pop(item, None)
            return True
        if not self.table.knows_edges:
            return False  # without the member list this edge would claim the whole slow-start limit
        rank, edges = self.table.rank(name)
        slots = self.table.state.servers[name]["slots"]
        return bool(in_use < server_window.slow_start_limit(item, slots, rank, edges, now))


def _failure_rank(request: InferenceRequest, name: str) -> int:
    """Ranks a server by its failures of this request: 0 for none, higher for a more recent failure."""
    return request.failed_servers.index(name) + 1 if name in request.failed_servers else 0
