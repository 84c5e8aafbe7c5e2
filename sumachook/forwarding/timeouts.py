"""The pipeline pass that enforces deadlines and first-token timeouts."""

from datetime import timedelta
from typing import Any

from sumachook.forwarding.forwarded_request import ForwardedRequest
from sumachook.forwarding.request_table import RequestTable
from sumachook.forwarding.resend import Resend
from sumachook.forwarding.server_selection import ServerSelection
from sumachook.forwarding.settle import Settle
from sumachook.ledger.events import RecordDeferred
from sumachook.requests.failures import FailureKind
from sumachook.requests.in_flight_request import RequestState
from sumachook.retry_budget.budget import service_key

RECHECK_INTERVAL = timedelta(seconds=0.1)  # interval of searches for another server while the current one is silent
# A request in flight for longer gets an opening record in the ledger; most requests are closed before.
RECORD_OPEN_AFTER = timedelta(seconds=0.2)


class Timeouts:
    """Enforces two timeouts, on the first token and on the request; a running stream ends only at its deadline."""

    __slots__ = ("resend", "server_selection", "settle", "table")

    def __init__(self, table: RequestTable, resend: Resend, settle: Settle, server_selection: ServerSelection) -> None:
        self.table = table
        self.resend = resend
        self.settle = settle
        self.server_selection = server_selection

    def take(self, now: timedelta) -> list[Any]:
        """Checks every request in flight: records long ones, ends those past their deadline, retries silent ones."""
        effects = []
        for request in list(self.table.requests.values()):
            if not request.is_recorded and now - request.arrived_at > RECORD_OPEN_AFTER:
                request.is_recorded = True
                effects.append(RecordDeferred(self.table.record(request), False))
            if now >= request.deadline:
                effects += self.settle.take(request, FailureKind.DEADLINE.because(), now)
            elif self._is_silent(request, now):
                effects += self._try_another_server(request, now)
        return effects

    def _is_silent(self, request: ForwardedRequest, now: timedelta) -> bool:
        is_attempting = request.state is RequestState.ATTEMPTING
        return is_attempting and now >= request.first_token_by and request.first_token_at is None

    def _try_another_server(self, request: ForwardedRequest, now: timedelta) -> list[Any]:
        """Abandons a silent server only if the request may be sent to another one now; else keeps waiting for it."""
        costs_credit = bool(request.sent_to)
        if (
            not self.resend.may_resend(request)
            or not self.server_selection.has_other_server(request, now)
            or (costs_credit and not self.table.retry_budget.spend(service_key(request.service)))
        ):
            request.first_token_by = now + RECHECK_INTERVAL
            return []
        effects = self.resend.take(request, FailureKind.FIRST_TOKEN_TIMEOUT.because(), now)
        request.needs_credit = request.needs_credit and not costs_credit
        return effects
