"""Sends orders to engine servers, polls them until they complete, and abandons those whose outcome is unknown."""

from datetime import timedelta
from typing import Any

from sumachook.calls.run_status import CallFailure
from sumachook.host.effects import Effect, Fetch, Log
from sumachook.placement.engine_server import EngineServer, Order, Verb
from sumachook.placement.load_times import LoadTimeEstimates, OrderKind
from sumachook.placement.policy import CALLS, LEASE, MS
from sumachook.placement.port import OrderAnswer, ServerReport
from sumachook.placement.publisher import PlacementPublisher
from sumachook.placement.server_calls import ServerCalls
from sumachook.placement.server_registry import ServerRegistry
from sumachook.placement.store_tokens import StoreTokenBucket

UNREADABLE_REPORT = "malformed report"  # the logged reason for a response that is not a valid report
UNCONFIGURED_LOAD = MS * 600  # initial estimate for the load of a model that the engine does not list
COMPONENT = "placement"


class OrderExecutor:
    """Carries out orders under one lease, despite lost requests and responses.

    Each server has at most one order in flight, and each order carries the server's count of accepted orders that it
    was based on, so repeated and delayed orders are harmless. If the assumed contents of a server may be wrong, the
    server must report before its next order.

    Attributes
    ----------
    store : the token bucket that limits loads from the weight store
    superseded_until : the end of a time without orders, since a server has seen a higher fencing token; or None
    rechecked : names of servers whose models are published again with their next report
    """

    __slots__ = ("calls", "registry", "publisher", "load_times", "store", "superseded_until", "rechecked")

    def __init__(self, calls: ServerCalls, registry: ServerRegistry, publisher: PlacementPublisher, now: timedelta):
        self.calls = calls
        self.registry = registry
        self.publisher = publisher
        self.load_times = LoadTimeEstimates()
        self.store = StoreTokenBucket(now)
        self.superseded_until: timedelta | None = None
        self.rechecked: set[str] = set()

    def is_superseded(self, now: timedelta) -> bool:
        """Returns whether another core seems to hold the lease, by the fencing token that a server has seen."""
        return self.superseded_until is not None and now < self.superseded_until

    # sending calls -------------------------------------------------------------------

    def start(self, server: EngineServer, verb: Verb, model: str, adapter: str, now: timedelta) -> Fetch:
        """Sends an order to an idle server: to load or unload a model, or one of its adapters."""
        is_from_store = verb == Verb.LOAD and not adapter and model not in server.on_disk
        if is_from_store:
            self.store.spend()
        order = Order(verb, model, adapter, is_from_store, now)
        server.start_order(order)
        server.poll_at = now
        self.publisher.mark_changed(server.name)
        return self.calls.send_order(server, order, now)

    def request_report(self, server: EngineServer, now: timedelta) -> Fetch:
        """Requests a report of the models that a server holds."""
        return self.calls.request_report(server, now)

    def recheck(self, server: EngineServer, now: timedelta) -> Fetch:
        """Requests a report of a server whose models an edge lacks, and publishes them again even if unchanged."""
        self.rechecked.add(server.name)
        return self.request_report(server, now)

    def end_overdue_calls(self, now: timedelta) -> list[Effect]:
        """Ends the calls whose outcome was lost, so that their servers are called again."""
        servers = self.calls.overdue(self.registry.servers, now)
        return [effect for server in servers for effect in self.on_failure(server, CallFailure.TIMEOUT, now)]

    def send_due_calls(self, now: timedelta) -> list[Effect]:
        """Requests the reports that are due, and polls the orders that should be complete by now."""
        effects: list[Effect] = []
        for server in self.registry.servers.values():
            if server.pending_call:
                continue
            if not server.is_known:
                if server.report_due_at is not None and server.report_due_at <= now:
                    effects.append(self.calls.request_report(server, now))
            elif server.order is not None and server.poll_at is not None and server.poll_at <= now:
                effects.append(self.calls.send_order(server, server.order, now))
        return effects

    def next_call_at(self) -> timedelta | None:
        """Returns when the next report request or poll is due, or None."""
        due = []
        for server in self.registry.servers.values():
            if server.pending_call:
                continue
            if server.order is not None:
                due.append(server.poll_at)
            if not server.is_known:
                due.append(server.report_due_at)
        return min((at for at in due if at is not None), default=None)

    # responses and failures ----------------------------------------------------------

    def on_failure(self, server: EngineServer, failure: CallFailure, now: timedelta) -> list[Effect]:
        """Handles a call that failed without a response."""
        return self._on_no_answer(server, failure, CallFailure(failure).was_before_first_byte, now)

    def _on_no_answer(self, server: EngineServer, reason: str, is_unsent: bool, now: timedelta) -> list[Effect]:
        """Handles a missing response; `is_unsent` if no byte reached the server (see `calls/run_status.py`)."""
        server.failures += 1
        order = server.order
        if order is not None and not order.is_accepted:
            self._refund_unsent(order, is_unsent)
        is_first = server.failures < 2
        if is_first and order is not None and order.is_accepted:
            server.poll_at = now + LEASE.tick_interval
            return []
        is_reachable = is_first and not is_unsent
        server.invalidate(now + (CALLS.report_lag if is_reachable else CALLS.report_retry_unreachable))
        self.publisher.mark_changed(server.name)
        if server.is_unreachable or is_reachable:
            return []
        server.is_unreachable = True
        return [Log("warning", COMPONENT, "Engine server is unreachable.", {"server": server.name, "reason": reason})]

    def _refund_unsent(self, order: Order, is_unsent: bool) -> None:
        """Refunds the store token of a load that cannot have begun; a load that may have begun stays counted."""
        if order.is_from_store and order.attempts == 1 and is_unsent:
            self.store.refund()

    def on_report(self, server: EngineServer, report: ServerReport | None, now: timedelta) -> list[Effect]:
        """Handles the response to a report request; `report` is None if the response is malformed."""
        if report is None:
            return self._on_no_answer(server, UNREADABLE_REPORT, False, now)
        self._record_response(server)
        if report.is_busy:
            if not server.is_known:
                server.report_due_at = now + CALLS.report_retry_busy
            return []
        if self._is_outdated(server, report, now):
            return []
        server.apply_report(report)
        server.is_replaced = False
        self.publisher.mark_changed(server.name)
        if server.name in self.rechecked:
            self.rechecked.discard(server.name)
            self.publisher.publish_again(server.name)
        return []

    def on_other_server(self, server: EngineServer, now: timedelta) -> None:
        """Handles the answer of another server at a server's address: it may be any other one listed there."""
        server.is_replaced = True
        server.invalidate(now + CALLS.report_retry_replaced)
        self.publisher.mark_changed(server.name)
        for other in self.registry.servers.values():
            if other is not server and other.address == server.address and other.is_replaced:
                other.is_replaced = False
                other.invalidate(now + CALLS.report_retry_unreachable)

    @staticmethod
    def _is_outdated(server: EngineServer, report: ServerReport, now: timedelta) -> bool:
        """Returns whether a report may predate the last completed order."""
        return (
            server.is_known
            and server.sequence is not None
            and report.sequence < server.sequence
            and now - server.completed_at < CALLS.report_lag * 2
        )

    def on_answer(self, server: EngineServer, answer: OrderAnswer, now: timedelta) -> list[Effect]:
        """Handles a server's answer to its order in flight."""
        self._record_response(server)
        order = server.order
        if order is None:
            return []
        if answer == OrderAnswer.ACCEPTED:
            return self._on_accepted(server, order, now)
        if answer == OrderAnswer.COMPLETE:
            return self._on_complete(server, order, now)
        if answer == OrderAnswer.BUSY and self._is_expected_busy(server, order, now):
            self._poll_later(server, order, now)
            return []
        return self._on_refused(server, order, answer, now)

    @staticmethod
    def _record_response(server: EngineServer) -> None:
        server.failures = 0
        server.is_unreachable = False

    def _is_expected_busy(self, server: EngineServer, order: Order, now: timedelta) -> bool:
        allowance = self._expected_duration(server, order) * CALLS.busy_allowance_factor + CALLS.busy_allowance
        return order.is_accepted and now - order.accepted_at < allowance

    def _on_accepted(self, server: EngineServer, order: Order, now: timedelta) -> list[Effect]:
        if order.is_accepted:  # the same order is counted by the server only once, however often it is polled
            self._poll_later(server, order, now)
            return []
        if server.sequence is not None:
            server.sequence += 1
        order.is_accepted = True
        order.accepted_at = now
        order.due_at = now + self._expected_duration(server, order)
        server.poll_at = order.due_at
        details = {**_details(server, order), "fence": self.calls.fence}
        return [Log("info", COMPONENT, "Order accepted.", details)]

    @staticmethod
    def _poll_later(server: EngineServer, order: Order, now: timedelta) -> None:
        lateness = now - order.due_at
        interval = CALLS.poll_interval_very_late
        if lateness < CALLS.late_after:
            interval = CALLS.poll_interval
        elif lateness < CALLS.very_late_after:
            interval = CALLS.poll_interval_late
        server.poll_at = now + interval

    def _on_complete(self, server: EngineServer, order: Order, now: timedelta) -> list[Effect]:
        self.publisher.mark_changed(server.name)
        if not order.is_accepted and order.verb == Verb.LOAD:  # already loaded: the assumed contents were wrong
            if order.is_from_store:
                self.store.refund()
            server.invalidate(now)
            return []
        if order.is_accepted:
            self.load_times.record(self._kind_of(server, order), now - order.accepted_at, order.attempts - 1)
        server.complete_order(order, now)
        duration_ms = round((now - order.accepted_at) / MS)
        details = {**_details(server, order), "ms": duration_ms, "asks": order.attempts}
        return [Log("debug", COMPONENT, "Order complete.", details)]

    def _on_refused(self, server: EngineServer, order: Order, answer: OrderAnswer, now: timedelta) -> list[Effect]:
        if order.is_from_store and not order.is_accepted:
            self.store.refund()
        if answer == OrderAnswer.FENCED:
            self.superseded_until = now + LEASE.superseded_for
            details = {"server": server.name, "fence": self.calls.fence}
            return [Log("warning", COMPONENT, "Orders stopped: a server saw a higher fencing token.", details)]
        is_busy = answer == OrderAnswer.BUSY
        if answer == OrderAnswer.OTHER_SERVER:
            self.on_other_server(server, now)
        else:
            server.invalidate(now + (CALLS.report_retry_busy if is_busy else CALLS.report_retry_unreachable))
            self.publisher.mark_changed(server.name)
        details = {**_details(server, order), "answer": answer.value}
        return [Log("warning", COMPONENT, "Order was not accepted.", details)]

    # estimated durations -------------------------------------------------------------

    def _expected_duration(self, server: EngineServer, order: Order) -> timedelta:
        """Returns the estimated duration of an order, from earlier orders of its kind or from the configuration."""
        kind = self._kind_of(server, order)
        if order.verb == Verb.UNLOAD or order.adapter:
            return self.load_times.estimate(kind, CALLS.first_unload_estimate)
        load = MS * kind.load_ms if self._is_configured(server, order) else UNCONFIGURED_LOAD
        first = load + CALLS.store_overhead if order.is_from_store else load * CALLS.disk_load_fraction
        return self.load_times.estimate(kind, first)

    def _is_configured(self, server: EngineServer, order: Order) -> bool:
        capacity = self.registry.capacities.get(server.service)
        return capacity is not None and order.model in capacity.models

    def _kind_of(self, server: EngineServer, order: Order) -> OrderKind:
        is_load = order.verb == Verb.LOAD and not order.adapter
        load_ms = 0.0
        if is_load and self._is_configured(server, order):
            load_ms = self.registry.capacities[server.service].models[order.model].load_ms
        return OrderKind(server.service, order.verb, bool(order.adapter), order.is_from_store, load_ms)


def _details(server: EngineServer, order: Order) -> dict[str, Any]:
    return {"server": server.name, "verb": order.verb.value, "model": order.model, "adapter": order.adapter}
