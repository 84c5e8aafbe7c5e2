"""The forwarding pipeline of an edge: a request table and the passes that process events on it."""

from collections.abc import Mapping
from datetime import timedelta
from typing import Any

from sumachook.forwarding.admit import Admit
from sumachook.forwarding.entry import Entry
from sumachook.forwarding.finish import Finish
from sumachook.forwarding.quota_charge import ForwardingQuotaCharge
from sumachook.forwarding.request_table import RequestTable
from sumachook.forwarding.resend import Resend
from sumachook.forwarding.response_relay import ResponseRelay
from sumachook.forwarding.send import SendAttempt
from sumachook.forwarding.server_selection import ServerSelection
from sumachook.forwarding.settle import Settle
from sumachook.forwarding.timeouts import Timeouts
from sumachook.host.effects import CancelCall
from sumachook.host.events import CallEvent, ClientDisconnected, ProxyHeadReceived, ProxyRequestReceived, Tick
from sumachook.placement.messages import PlacementRequest
from sumachook.quotas.effects import AdmissionDecision
from sumachook.requests.events import (
    DrainEnded,
    DrainStarted,
    PlacesChanged,
    ProxyServerClosed,
    ServersCold,
    ServersEjected,
    ServersLeaving,
)
from sumachook.requests.failures import FailureKind
from sumachook.requests.quota_decision import QuotaDecision
from sumachook.runtime.cluster_clock import MILLISECOND

# Prompt prefixes sent to a server are forgotten after this time; longer than `server_selection.PREFIX_CACHE_TIME`.
PREFIX_RETENTION = timedelta(seconds=30)
PREFIX_SWEEP_INTERVAL = PREFIX_RETENTION / 6
# After these events server selection considers every waiting request.
COMPLETE_PASS_EVENTS = frozenset({Tick, PlacesChanged, ServersCold, ServersLeaving})


class ProxyPipeline:
    """Dispatches events to the passes: admit, select a server, send, relay the response, resend, settle.

    Handles events of the host and of `requests/events.py`, and `AdmissionDecision`s of the rate limiter. Returns
    effects for the host, `PlacementRequest`s for the placer, `RecordDeferred` for the ledger, and
    `AdmissionRequested` and `UsageSettled` for the rate limiter.
    """

    __slots__ = (
        "admit",
        "finish",
        "quota_decision",
        "response_relay",
        "server_selection",
        "settle",
        "swept_at",
        "table",
        "timeouts",
    )

    def __init__(self, table: RequestTable) -> None:
        charge = ForwardingQuotaCharge(table)
        entry = Entry(table)
        self.table = table
        self.swept_at = timedelta(0)
        self.finish = Finish(table, charge)
        self.settle = Settle(table, self.finish)
        self.quota_decision = QuotaDecision(table, entry, self.settle)
        self.admit = Admit(table, entry, charge)
        self.server_selection = ServerSelection(table, SendAttempt(table), self.settle)
        resend = Resend(table, self.finish, self.settle)
        self.response_relay = ResponseRelay(table, resend, self.finish)
        self.timeouts = Timeouts(table, resend, self.settle, self.server_selection)

    def take(self, event: Any, now: timedelta) -> list[Any]:
        """Processes one event and returns its effects."""
        kind = type(event)
        if kind is ProxyHeadReceived:
            return self.admit.take_head(event, now)
        if kind is DrainStarted or kind is ProxyServerClosed:
            self.table.is_draining = True
            self.table.is_closed = self.table.is_closed or kind is ProxyServerClosed
            return []
        effects = self._handle(event, now)
        effects += self.server_selection.take(now, is_complete=kind in COMPLETE_PASS_EVENTS)
        if self.table.wanted_models:
            effects.append(PlacementRequest(self.table.wanted_models))
            self.table.wanted_models = {}
        return effects

    def _handle(self, event: Any, now: timedelta) -> list[Any]:
        match event:
            case CallEvent():
                return self.response_relay.take(event, now)
            case ProxyRequestReceived():
                return self.admit.take(event, now)
            case Tick():
                return self._handle_tick(now)
            case ClientDisconnected():
                return self._handle_disconnect(event, now)
            case AdmissionDecision():
                return self.quota_decision.take(event, now)
            case DrainEnded():
                return self._finish_all(now)
            case ServersLeaving(servers):
                self.table.note_leaving(servers, now)
            case ServersEjected(durations_ms):
                self.table.ejected_until |= _end_times(durations_ms, now)
            case ServersCold(durations_ms):
                self.table.cold_until |= _end_times(durations_ms, now)
        return []

    def _handle_tick(self, now: timedelta) -> list[Any]:
        effects = self.timeouts.take(now) + self._retry_parked(now)
        self._forget_expired(now)
        return effects

    def _handle_disconnect(self, event: ClientDisconnected, now: timedelta) -> list[Any]:
        """Ends the request of a client that disconnected, and cancels its current attempt."""
        self.table.parked_requests.pop(event.call_id, None)
        request = self.table.requests.get(self.table.by_call_id.get(event.call_id))
        if request is None:
            return []
        effects = [CancelCall(request.attempt_id)] if request.attempt_id is not None else []
        return effects + self.finish.take(request, [], "gone", now, FailureKind.HUNG_UP.because(event.ended_by))

    def _retry_parked(self, now: timedelta) -> list[Any]:
        """Tries again to admit the requests parked until this node has a current configuration."""
        parked = self.table.parked_requests
        self.table.parked_requests = {}
        return [effect for event, arrived_at in parked.values() for effect in self.admit.take(event, now, arrived_at)]

    def _finish_all(self, now: timedelta) -> list[Any]:
        """Gives every request still in flight its final response, because the node shuts down."""
        effects = self._retry_parked(now)
        failure = FailureKind.DRAINING.because("this node is leaving")
        for request in list(self.table.requests.values()):
            effects += self.settle.take(request, failure, now)
        return effects

    def _forget_expired(self, now: timedelta) -> None:
        """Drops state of removed servers, expired ejections and slow starts, and old prompt prefixes."""
        table = self.table
        table.server_windows = {
            name: server_window
            for name, server_window in table.server_windows.items()
            if name in table.state.servers or server_window.in_use
        }
        table.cold_until = _unexpired(table.cold_until, now)
        table.ejected_until = _unexpired(table.ejected_until, now)
        table.avoided_until = _unexpired(table.avoided_until, now)
        if now - self.swept_at < PREFIX_SWEEP_INTERVAL:
            return
        self.swept_at = now
        for server_window in table.server_windows.values():
            server_window.cached_prefixes = {
                prefix: sent_at
                for prefix, sent_at in server_window.cached_prefixes.items()
                if now - sent_at < PREFIX_RETENTION
            }


def _end_times(durations_ms: Mapping[str, float], now: timedelta) -> dict[str, timedelta]:
    return {name: now + duration * MILLISECOND for name, duration in durations_ms.items()}


def _unexpired(ends: dict[str, timedelta], now: timedelta) -> dict[str, timedelta]:
    return {name: end for name, end in ends.items() if end > now}
