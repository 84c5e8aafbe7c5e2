"""The pipeline pass that decides, by the kind of failure, whether and when a request is retried."""

from datetime import timedelta
from typing import Any

from sumachook.forwarding.finish import Finish
from sumachook.forwarding.forwarded_request import ForwardedRequest
from sumachook.forwarding.request_table import RequestTable
from sumachook.forwarding.settle import DEFAULT_RETRY_AFTER_S, Settle
from sumachook.host.effects import CancelCall
from sumachook.requests.failures import FailureKind, RequestFailure
from sumachook.requests.in_flight_request import RequestState

MAX_RESUMES = 3
# Upper bound on the retry delay that `requests/request_table.py` computes.
MAX_RESEND_DELAY = timedelta(seconds=0.2)


class Resend:
    """Retries at once if the server did not run the request, and after a jittered backoff if it may have run.

    A request that may not run twice is never retried after it may have run. A request is sent to at most as many
    servers as its route's `tries`, and arrives at servers at most that often. Two kinds of attempt do not count:
    resuming a stream at its last event, and one arrival on a keep-alive connection that turned out to be dead.
    """

    __slots__ = ("finish", "settle", "table")

    def __init__(self, table: RequestTable, finish: Finish, settle: Settle) -> None:
        self.table = table
        self.finish = finish
        self.settle = settle

    def take(self, request: ForwardedRequest, failure: RequestFailure, now: timedelta) -> list[Any]:
        """Ends the current attempt; the request then waits for another server, or gets its final response."""
        effects = [CancelCall(request.attempt_id)] if request.is_at_server else []
        stated = request.response.retry_after if request.response is not None else None
        self._note_at_server(request, failure, stated, now)
        self.finish.end_attempt(request, failure, now)
        request.last_failure = failure
        if failure.kind in (FailureKind.DEADLINE, FailureKind.REFUSED) or now >= request.deadline:
            return effects + self.settle.take(request, failure, now)
        is_stale = failure.kind is FailureKind.RESET and request.is_reused and request.response is None
        if is_stale and not request.stale_arrivals:
            request.stale_arrivals += 1
        if not self.may_resend(request):
            request.retry_after = DEFAULT_RETRY_AFTER_S if stated is None else stated
            return effects + self.settle.take(request, failure, now)
        request.resumes += request.reached_client
        self._wait_for_server(request, now)
        return effects

    def may_resend(self, request: ForwardedRequest) -> bool:
        """Returns whether the rules on retries and resumes allow another attempt of the request."""
        if request.reached_client:
            return bool(request.route.resumable and request.last_event_id and request.resumes < MAX_RESUMES)
        has_tries_left = request.arrivals - request.stale_arrivals < request.route.tries
        return request.run_history.may_send_again(request.is_repeatable) and has_tries_left

    def _note_at_server(
        self, request: ForwardedRequest, failure: RequestFailure, stated: float | None, now: timedelta
    ) -> None:
        if failure.kind is FailureKind.OVERLOAD:
            self.table.server_window(request.server).record_overload(now, stated)
        elif failure.kind is FailureKind.NO_MODEL:
            self.table.places.forget(request.server, request.metadata.model, request.metadata.adapter)
        elif failure.kind is FailureKind.UNREACHABLE:
            self.table.server_window(request.server).record_unreachable(now)

    def _wait_for_server(self, request: ForwardedRequest, now: timedelta) -> None:
        request.state = RequestState.WAITING
        request.buffer = b""
        request.response = None
        request.note_failed_server(request.server)
        request.needs_credit = request.needs_credit or bool(request.sent_to)
        request.not_before = now
        if request.run_history.attempt_may_have_run:
            request.not_before += min(self.table.retry_delay(request), MAX_RESEND_DELAY)
        self.table.waiting[request.number] = request
        self.table.newly_waiting.add(request.number)
