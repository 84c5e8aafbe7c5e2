"""The pipeline pass that ends a failed request with its final error response."""

from datetime import timedelta
from typing import Any

from sumachook.calls.run_status import RunStatus
from sumachook.forwarding.finish import Finish
from sumachook.forwarding.forwarded_request import ForwardedRequest
from sumachook.forwarding.request_table import RequestTable
from sumachook.host.effects import AbortResponse, CancelCall, Reply
from sumachook.requests.failures import FailureKind, RequestFailure

DEFAULT_RETRY_AFTER_S = 0.3  # used if neither a server nor the quota states a time
FINAL_REFUSALS = frozenset({FailureKind.ALLOWANCE, FailureKind.UNKNOWN_CALLER})
TIMEOUTS = frozenset(
    {FailureKind.DEADLINE, FailureKind.TOTAL_TIMEOUT, FailureKind.FIRST_TOKEN_TIMEOUT, FailureKind.WAKE_TIMEOUT}
)


class Settle:
    """Ends failed requests: only one that has not run is reported as not run and answered with `Retry-After`."""

    __slots__ = ("finish", "table")

    def __init__(self, table: RequestTable, finish: Finish) -> None:
        self.table = table
        self.finish = finish

    def take(self, request: ForwardedRequest, failure: RequestFailure, now: timedelta) -> list[Any]:
        """Ends the request with an error response for `failure`; a response already begun is aborted."""
        effects = [CancelCall(request.attempt_id)] if request.attempt_id is not None and request.is_at_server else []
        if request.reached_client:
            return self.finish.take(request, [*effects, AbortResponse(request.call_id)], "fault", now, failure)
        retry_after = DEFAULT_RETRY_AFTER_S if request.retry_after is None else request.retry_after
        status, headers, body = self.table.port.refusal(
            _status(request, failure), failure, request.metadata.request_id, request.run_status, retry_after
        )
        reply = Reply(request.call_id, status, self.table.with_connection_close(headers), body)
        return self.finish.take(request, [*effects, reply], "fault", now, failure)


def _status(request: ForwardedRequest, failure: RequestFailure) -> int:
    """Returns the HTTP status of the error response; 503 guarantees that the request did not run."""
    has_not_run = request.run_status is RunStatus.NOT_RUN
    if failure.kind is FailureKind.REFUSED and request.response is not None and has_not_run:
        if 400 <= request.status < 500:
            return request.status
    if failure.kind in FINAL_REFUSALS:
        return failure.status
    if has_not_run:
        return 503
    return 504 if failure.kind in TIMEOUTS else 502
