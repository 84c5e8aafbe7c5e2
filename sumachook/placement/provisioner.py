"""The provisioner: loads the models that edges request, while this core holds the placement lease."""

from datetime import timedelta
from typing import Any

from sumachook.host.effects import Effect, WakeAfter
from sumachook.host.events import CallEvent, CallFailed, Event, MessageReceived, ResponseReceived
from sumachook.placement.demand import Demand
from sumachook.placement.events import LeaseTick, StateChanged
from sumachook.placement.load_scheduler import LoadScheduler, ReplicaTargets
from sumachook.placement.messages import (
    ModelUsage,
    PlacementRequest,
    PlacementSnapshotRequest,
    UsageByService,
)
from sumachook.placement.model_names import model_of
from sumachook.placement.order_executor import OrderExecutor
from sumachook.placement.placement_requests import PlacementRequests
from sumachook.placement.policy import LEASE, MS
from sumachook.placement.port import ServerPort
from sumachook.placement.publisher import PlacementPublisher
from sumachook.placement.replica_scheduler import ReplicaScheduler
from sumachook.placement.request_scheduler import RequestScheduler
from sumachook.placement.server_calls import CallKind, ServerCalls
from sumachook.placement.server_registry import ServerRegistry

UNLIMITED_LOADS_PER_S = 1000.0  # used if the configuration sets no rate limit for the weight store


class Provisioner:
    """Runs placement on demand under the placement lease; its components are created anew for each lease.

    Every core records demand and placement requests, also without the lease, so that a new holder has them at once.

    Parameters
    ----------
    state : the replicated control state, of which the catalogue, servers and evacuated zones are read
    port : builds and parses the calls to engine servers
    node : the name of this core, sent as the holder in orders
    now : the time on this core's monotonic clock
    incarnation : the run of this core's process, sent in placement updates
    """

    __slots__ = (
        "state",
        "port",
        "node",
        "incarnation",
        "fence",
        "last_tick",
        "started_at",
        "requests",
        "demand",
        "has_new_request",
        "registry",
        "calls",
        "executor",
        "publisher",
        "targets",
        "request_scheduler",
        "replica_scheduler",
        "next_replication_at",
        "last_expiry_at",
        "wake_at",
    )

    def __init__(self, state: Any, port: ServerPort, node: str, now: timedelta, incarnation: int = 0):
        self.state = state
        self.port = port
        self.node = node
        self.incarnation = incarnation
        self.last_tick = now
        self.requests = PlacementRequests()
        self.demand = Demand()
        self.has_new_request = False
        self._start_lease(0, now, last_call=0)

    def _start_lease(self, fence: int, now: timedelta, last_call: int) -> None:
        """Resets the state of the lease: servers must report before their first order, the token bucket is empty."""
        self.fence = fence
        self.started_at = now
        self.registry = ServerRegistry()
        self.publisher = PlacementPublisher(fence, self.incarnation, now)
        self.calls = ServerCalls(self.port, self.node, fence, last_call)
        self.executor = OrderExecutor(self.calls, self.registry, self.publisher, now)
        self.targets = ReplicaTargets()
        scheduler = LoadScheduler(self.registry, self.executor, self.demand, self.targets)
        self.request_scheduler = RequestScheduler(scheduler, self.requests)
        self.replica_scheduler = ReplicaScheduler(scheduler)
        self.next_replication_at = now + LEASE.replication_delay
        self.last_expiry_at = now
        self.wake_at = now
        if fence:
            self._update_registry(now)

    def restart(self, now: timedelta) -> list[Effect]:
        """Starts anew under the same lease after a failure, which may have lost calls that count as unanswered.

        Servers must report before their next order, and edges recognize the numbers of its updates by the incarnation.
        """
        self.incarnation += 1
        self.has_new_request = False
        self._start_lease(self.fence, now, self.calls.last_number)
        return []

    def take(self, event: Event, now: timedelta) -> list[Effect]:
        """Handles an event; while this core holds the lease, also sends the calls, orders and updates that are due."""
        effects = self._handle(event, now)
        if not self._holds_lease(now) or (isinstance(event, MessageReceived) and not self.has_new_request):
            return effects
        self.has_new_request = False
        effects += self._do_due_work(now)
        effects += self.publisher.publish(self.registry.servers, now)
        return effects + self._schedule_wake_up(now)

    def _holds_lease(self, now: timedelta) -> bool:
        return bool(self.fence) and not self.executor.is_superseded(now) and now - self.last_tick <= LEASE.lease

    def _handle(self, event: Event, now: timedelta) -> list[Effect]:
        match event:
            case LeaseTick(fence=fence, edges=edges):
                return self._handle_tick(fence, tuple(edges), now)
            case StateChanged() if self.fence:
                self._update_registry(now)
            case MessageReceived(sender=sender, address=address, message=message):
                return self._handle_message(sender, address, message, now)
            case CallEvent():
                return self._handle_call(event, now)
        return []

    # events --------------------------------------------------------------------------

    def _handle_tick(self, fence: int, edges: tuple[str, ...], now: timedelta) -> list[Effect]:
        self.last_tick = now
        if fence != self.fence:
            self._start_lease(fence, now, self.calls.last_number)
        if now - self.last_expiry_at >= LEASE.expiry_interval:
            self.last_expiry_at = now
            self.demand.expire(now)
            self.requests.pending(now)  # drops expired placement requests
        if not fence:
            return []
        if self.publisher.is_open:
            return self.publisher.update_edges(edges)
        if self._knows_servers() or now - self.started_at >= LEASE.first_snapshot_within:
            return self.publisher.open(self.registry.servers, edges, now)
        return []

    def _knows_servers(self) -> bool:
        """Returns whether all open servers have reported."""
        servers = self.registry.servers.values()
        return bool(servers) and all(server.is_known or not server.is_open for server in servers)

    def _handle_message(self, sender: str, address: str, message: Any, now: timedelta) -> list[Effect]:
        match message:
            case PlacementRequest(requests=requests):  # a repeated request is handled at the next tick
                self.has_new_request = self.requests.record(sender, requests, now)
            case ModelUsage(usage=usage):
                self.demand.record(sender, usage, now)
                self._mark_used(usage)
            case PlacementSnapshotRequest(number=number) if self.fence:
                return self.publisher.answer(address, number < 0, self.registry.servers)
        return []

    def _mark_used(self, usage: UsageByService) -> None:
        """Clears `unused_since` of used models and adapters, which lifts their protection against eviction."""
        for service, names in usage.items():
            used = {name for name, (begun, running, *_) in names.items() if begun or running}
            used |= {model_of(name) for name in used}
            for server in self.registry.servers.values():
                if server.service == service and server.unused_since:
                    server.unused_since = {name: at for name, at in server.unused_since.items() if name not in used}

    def _handle_call(self, event: CallEvent, now: timedelta) -> list[Effect]:
        if not isinstance(event, (ResponseReceived, CallFailed)):
            return []
        call = self.calls.complete(event.call_id, self.registry.servers)
        if call is None:
            return []
        if isinstance(event, CallFailed):
            return self.executor.on_failure(call.server, event.failure, now)
        if call.kind == CallKind.REPORT and self.port.is_other_server(event.status):
            self.executor.on_other_server(call.server, now)
            return []
        if call.kind == CallKind.REPORT:
            return self.executor.on_report(call.server, self.port.read_report(event.status, event.body), now)
        return self.executor.on_answer(call.server, self.port.read_order(event.status, event.body), now)

    def _update_registry(self, now: timedelta) -> None:
        self.publisher.mark_changed(*self.registry.update(self.state, now))
        self.targets.retain(self.registry.capacities)

    # due calls and loads -------------------------------------------------------------

    def _do_due_work(self, now: timedelta) -> list[Effect]:
        """Sends due calls, then loads for waiting requests, then loads of additional replicas."""
        self.executor.store.fill(self.registry.loads_per_s or UNLIMITED_LOADS_PER_S, now)
        effects = [*self.executor.end_overdue_calls(now), *self.executor.send_due_calls(now)]
        effects += self.request_scheduler.serve(now)
        if now >= self.next_replication_at:
            self.next_replication_at = now + LEASE.replication_interval
            effects += self.replica_scheduler.adjust(self.requests.pending(now), now)
        return effects

    def _schedule_wake_up(self, now: timedelta) -> list[Effect]:
        """Schedules a wake-up if a call is due before the next tick."""
        soonest = self.executor.next_call_at()
        if soonest is None or soonest >= self.last_tick + LEASE.tick_interval or now < self.wake_at <= soonest:
            return []
        self.wake_at = max(soonest, now + MS)
        return [WakeAfter(self.wake_at - now)]
