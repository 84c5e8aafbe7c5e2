"""The pipeline pass that ends attempts and requests, and writes the closing ledger record."""

from datetime import timedelta
from typing import Any

from sumachook.forwarding.forwarded_request import ForwardedRequest
from sumachook.forwarding.quota_charge import ForwardingQuotaCharge
from sumachook.forwarding.request_table import RequestTable
from sumachook.forwarding.server_window import ServerWindow
from sumachook.host.effects import Log
from sumachook.ledger.events import RecordDeferred
from sumachook.requests.call_ids import FORWARDING
from sumachook.requests.failures import FailureKind, RequestFailure
from sumachook.runtime.cluster_clock import MILLISECOND

# Failures that do not count against the server: it refused properly, or the client or this node gave up.
NOT_SERVER_FAULTS = frozenset(
    {
        FailureKind.OVERLOAD,
        FailureKind.NO_MODEL,
        FailureKind.REFUSED,
        FailureKind.DEADLINE,
        FailureKind.HUNG_UP,
        FailureKind.DRAINING,
    }
)
LOGGED_FIELDS = (
    "tag",
    "line",
    "asked",
    "state",
    "status",
    "class",
    "run",
    "tries",
    "late",
    "firstToken",
    "duration",
    "tokens",
)


class Finish:
    """Releases the server capacity of an attempt, and removes a finished request from the table."""

    __slots__ = ("charge", "table")

    def __init__(self, table: RequestTable, charge: ForwardingQuotaCharge) -> None:
        self.table = table
        self.charge = charge

    def end_attempt(self, request: ForwardedRequest, failure: RequestFailure | None, now: timedelta) -> None:
        """Ends the current attempt, if there is one; `failure` is None if the server answered."""
        if request.attempt_id is None:
            return
        server_window = self.table.server_window(request.server)
        server_window.in_use -= 1
        server_window.pending_tokens -= request.pending_tokens
        request.pending_tokens = 0
        self._note_outcome(request.server, server_window, failure, now)
        name = failure.name if failure is not None else ""
        duration = round((now - request.attempt_started_at).total_seconds(), 3)
        request.finished_attempts.append((request.server, name, duration))
        request.attempt_id = None
        self.table.has_freed_capacity = True
        self.table.count_running(request, -1)

    def _note_outcome(
        self, server: str, server_window: ServerWindow, failure: RequestFailure | None, now: timedelta
    ) -> None:
        if failure is None:
            server_window.record_success()
            self.table.outcome_counts.note(server, True)
        elif failure.kind in NOT_SERVER_FAULTS:
            server_window.is_probing = False
        else:
            server_window.record_failure(now)
            self.table.outcome_counts.note(server, False)

    def take(
        self,
        request: ForwardedRequest,
        effects: list[Any],
        ending: str,
        now: timedelta,
        failure: RequestFailure | None = None,
    ) -> list[Any]:
        """Ends the request: `ending` is "done", "fault" or "gone"; `effects` carry the response to the client."""
        self.end_attempt(request, failure, now)
        table = self.table
        table.waiting.pop(request.number, None)
        table.requests.pop(request.number, None)
        table.by_call_id.pop(request.call_id, None)
        table.count("ended", ending, failure.name if failure is not None else "")
        record = self._closing_record(request, ending, now, failure)
        is_done = ending == "done"
        effects = [*effects, RecordDeferred(record, True), *self.charge.settle(request, request.number, is_done)]
        if is_done and not record["late"] and len(request.finished_attempts) < 2:
            return effects
        fields = {field: record[field] for field in LOGGED_FIELDS}
        fields["reason"] = failure.reason if failure is not None else ""
        text = "Request late or dropped." if record["late"] or not is_done else "Request completed after a retry."
        return [*effects, Log("info", FORWARDING, text, fields)]

    def _closing_record(
        self, request: ForwardedRequest, ending: str, now: timedelta, failure: RequestFailure | None
    ) -> dict[str, Any]:
        """Returns the ledger record that closes the request."""
        is_done = ending == "done"
        arrived_at, first_byte_at = request.arrived_at, request.first_byte_at
        return {
            **self.table.record(request),
            "state": "done" if is_done else "fault",
            "class": failure.name if failure is not None else "",
            "status": request.status,
            "run": "yes" if is_done else request.run_status,
            "tries": tuple(request.finished_attempts),
            "late": (first_byte_at or now) - arrived_at > request.route.target_ms * MILLISECOND,
            "firstToken": round((first_byte_at - arrived_at).total_seconds(), 4) if first_byte_at else None,
            "duration": round((now - arrived_at).total_seconds(), 4),
            "tokens": [request.metadata.prompt_tokens, request.metadata.max_tokens],
            "endedAt": self.table.cluster_clock.time(now).isoformat(timespec="milliseconds"),
            **request.quota_details,
        }
