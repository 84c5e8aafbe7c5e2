"""Cancellation of the attempt under way, which ends its request as well."""

from datetime import timedelta
from typing import Any

from sumachook.host.effects import CancelCall
from sumachook.inference.attempt_end import EndAttempt
from sumachook.inference.inference_request import InferenceRequest
from sumachook.inference.request_table import RequestTable
from sumachook.inference.settle import Settle
from sumachook.requests.failures import RequestFailure


class Cancel:
    """Cancels the HTTP call of an attempt and sends the final answer of its request."""

    __slots__ = ("end_attempt", "settle", "table")

    def __init__(self, table: RequestTable, end_attempt: EndAttempt, settle: Settle) -> None:
        self.table = table
        self.end_attempt = end_attempt
        self.settle = settle

    def take(self, request: InferenceRequest, failure: RequestFailure, now: timedelta) -> list[Any]:
        """Ends the attempt under way and its request with this failure."""
        cancel = CancelCall(request.attempt_id)
        self.end_attempt.take(request, failure, now)
        return [cancel, *self.settle.take(request, failure, now)]
