"""Timeouts of requests in flight, checked at each tick."""

from datetime import timedelta
from typing import Any

from sumachook.inference.cancel import Cancel
from sumachook.inference.inference_request import InferenceRequest
from sumachook.inference.request_table import RequestTable
from sumachook.inference.resend import Resend
from sumachook.inference.settle import Settle
from sumachook.requests.failures import FailureKind


class Deadlines:
    """Ends or retries each request that has waited too long for a first token, an answer, retry credit or a server."""

    __slots__ = ("cancel", "resend", "settle", "table")

    def __init__(self, table: RequestTable, resend: Resend, cancel: Cancel, settle: Settle) -> None:
        self.table = table
        self.resend = resend
        self.cancel = cancel
        self.settle = settle

    def take(self, now: timedelta) -> list[Any]:
        """Checks the timeouts of every request in flight."""
        effects = []
        for request in list(self.table.requests.values()):
            if request.is_at_server:
                effects += self._check_attempt(request, now)
            elif request.needs_credit and now >= request.credit_by:
                failure = request.last_failure.kind.because("no credit for a resend")
                effects += self.settle.take(request, failure, now)
            elif now >= request.deadline:
                patience = request.deadline - request.arrived_at
                failure = FailureKind.DEADLINE.because(f"nothing within {patience}, last: waiting")
                effects += self.settle.take(request, failure, now)
        return effects

    def _check_attempt(self, request: InferenceRequest, now: timedelta) -> list[Any]:
        is_without_token = request.first_token_at is None and now >= request.first_token_by
        if is_without_token and request.total_by > request.first_token_by:
            return self.resend.take(request, FailureKind.FIRST_TOKEN_TIMEOUT.because(), now)
        if now >= request.total_by:
            is_deadline = request.total_by >= request.deadline
            kind = FailureKind.DEADLINE if is_deadline else FailureKind.TOTAL_TIMEOUT
            return self.cancel.take(request, kind.because(), now)
        return []
