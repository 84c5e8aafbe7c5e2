"""The inference pipeline of an edge: one request table and the stages that process it."""

from datetime import timedelta
from random import Random
from typing import Any

from sumachook.host.effects import CancelCall
from sumachook.host.events import CallEvent, ClientDisconnected, HttpRequestReceived, Tick
from sumachook.inference.admit import Admit
from sumachook.inference.attempt_end import EndAttempt
from sumachook.inference.cancel import Cancel
from sumachook.inference.close import Close
from sumachook.inference.deadlines import Deadlines
from sumachook.inference.dispatch import Dispatch
from sumachook.inference.enqueue import Enqueue
from sumachook.inference.entry import Entry
from sumachook.inference.quota_charge import InferenceQuotaCharge
from sumachook.inference.refuse import Refuse
from sumachook.inference.request_table import RequestTable
from sumachook.inference.resend import Resend
from sumachook.inference.response_relay import ResponseRelay
from sumachook.inference.server_selection import ServerSelection
from sumachook.inference.settle import Settle
from sumachook.ledger.effects import RecordingOutcome
from sumachook.quotas.effects import AdmissionDecision
from sumachook.requests.events import ConnectivityRestored, DrainEnded, DrainStarted, ServersLeaving
from sumachook.requests.failures import FailureKind
from sumachook.requests.quota_decision import QuotaDecision


class InferencePipeline:
    """Runs the stages of a request: admit, enqueue, select a server, dispatch, relay the answer, settle.

    Input: events of the host and of `requests/events.py`, `RecordingOutcome` from the ledger and `AdmissionDecision`
    from the rate limiter. Output: effects of the host, `RequestOpened` and `RequestClosed` for the ledger, and
    `AdmissionRequested` and `UsageSettled` for the rate limiter.
    """

    __slots__ = (
        "admit",
        "cancel",
        "close",
        "deadlines",
        "end_attempt",
        "enqueue",
        "quota_decision",
        "response_relay",
        "server_selection",
        "settle",
        "table",
    )

    def __init__(
        self,
        node: Any,
        restart_epoch: Any,
        zone: Any,
        state: Any,
        follower: Any,
        retry_budget: Any,
        random: Random,
        cluster_clock: Any,
    ) -> None:
        table = RequestTable(node, restart_epoch, zone, state, follower, retry_budget, random, cluster_clock)
        charge = InferenceQuotaCharge()
        entry = Entry(table)
        refuse = Refuse(table)
        self.table = table
        self.close = Close(table, charge)
        self.end_attempt = EndAttempt(table)
        self.settle = Settle(table, refuse, self.close)
        self.cancel = Cancel(table, self.end_attempt, self.settle)
        self.admit = Admit(table, refuse, entry, charge)
        self.enqueue = Enqueue(table, self.settle)
        self.quota_decision = QuotaDecision(table, entry, self.settle)
        self.server_selection = ServerSelection(table, Dispatch(table), self.settle)
        resend = Resend(table, self.end_attempt, self.settle)
        self.response_relay = ResponseRelay(table, resend, self.end_attempt, self.cancel, self.close)
        self.deadlines = Deadlines(table, resend, self.cancel, self.settle)

    def take(self, event: Any, now: timedelta) -> list[Any]:
        """Handles one event, then dispatches waiting requests; returns the effects."""
        match event:
            case DrainStarted():
                self.table.is_draining = True
                return []
            case DrainEnded():
                return self._finish_all(now)
        return self._handle(event, now) + self.server_selection.take(now)

    def _handle(self, event: Any, now: timedelta) -> list[Any]:
        match event:
            case CallEvent():
                return self.response_relay.take(event, now)
            case HttpRequestReceived():
                return self.admit.take(event, now)
            case Tick():
                return self.admit.close_unstamped(now) + self.deadlines.take(now)
            case RecordingOutcome():
                return self.enqueue.take(event, now)
            case AdmissionDecision():
                return self.quota_decision.take(event, now)
            case ClientDisconnected():
                return self._handle_disconnect(event, now)
            case ServersLeaving(servers):
                self.table.note_leaving(servers, now)
                return []
            case ConnectivityRestored():
                for server_window in self.table.server_windows.values():
                    server_window.probe_now(now)
                return []
        raise TypeError(f"unhandled event in the inference pipeline: {event!r}")

    def _handle_disconnect(self, event: ClientDisconnected, now: timedelta) -> list[Any]:
        """Cancels the attempt of a request whose client disconnected, and closes the request."""
        request = self.table.requests.get(self.table.by_call_id.get(event.call_id))
        if request is None:
            return []
        failure = FailureKind.HUNG_UP.because(event.ended_by)
        effects = []
        if request.attempt_id is not None and request.is_at_server:
            effects.append(CancelCall(request.attempt_id))
            self.end_attempt.take(request, failure, now)
        self.table.remove_from_queue(request)
        return effects + self.close.take(request, "fault", failure.status, failure.name, now)

    def _finish_all(self, now: timedelta) -> list[Any]:
        """Ends every request that is still in flight when the drain time of a shutdown is over."""
        effects = []
        failure = FailureKind.DRAINING.because("this node is leaving")
        for request in list(self.table.requests.values()):
            end = self.cancel if request.attempt_id is not None else self.settle
            effects += end.take(request, failure, now)
        return effects
