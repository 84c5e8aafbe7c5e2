"""The end of a request: removes it from the table and closes its ledger record."""

from datetime import timedelta
from typing import Any

from sumachook.host.effects import Log
from sumachook.inference.inference_request import InferenceRequest
from sumachook.inference.quota_charge import InferenceQuotaCharge
from sumachook.inference.request_table import RequestTable
from sumachook.ledger.events import RequestClosed
from sumachook.requests.call_ids import INFERENCE
from sumachook.requests.in_flight_request import RequestState

LOGGED_FIELDS = ("request", "status", "class", "attempt", "firstToken", "duration", "tokens", "run")


class Close:
    """Removes a request from the table, has its record closed, refunds unused quota and logs the outcome."""

    __slots__ = ("charge", "table")

    def __init__(self, table: RequestTable, charge: InferenceQuotaCharge) -> None:
        self.table = table
        self.charge = charge

    def take(
        self, request: InferenceRequest, outcome: str, status: int, failure_name: str, now: timedelta
    ) -> list[Any]:
        """Ends the request; `outcome` is "done" or "fault", `status` the HTTP status of the response."""
        request.state = RequestState.SETTLED
        self.table.requests.pop(request.request_id, None)
        self.table.by_call_id.pop(request.call_id, None)
        self.table.count(outcome, request.kind)
        record = self._closing_record(request, outcome, status, failure_name, now)
        is_done = outcome == "done"
        fields = {field: record[field] for field in LOGGED_FIELDS}
        return [
            RequestClosed(record),
            *self.charge.settle(request, request.request_id, is_done),
            Log("info" if is_done else "warning", INFERENCE, "Request ended.", fields),
        ]

    def _closing_record(
        self, request: InferenceRequest, outcome: str, status: int, failure_name: str, now: timedelta
    ) -> dict[str, Any]:
        """Returns the final record of the request for the ledger."""
        arrived_at, first_token_at = request.arrived_at, request.first_token_at
        return {
            **self.table.record(request),
            "state": outcome,
            "class": failure_name,
            "status": status,
            "run": request.run_status,
            "tries": tuple(request.finished_attempts),
            "attempt": request.attempt,
            "firstToken": (first_token_at - arrived_at).total_seconds() if first_token_at else None,
            "duration": round((now - arrived_at).total_seconds(), 4),
            "tokens": request.tokens,
            "late": now > request.deadline,
            "endedAt": self.table.cluster_timestamp(now),
            **request.quota_details,
        }
