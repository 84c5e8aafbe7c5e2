"""The end of an attempt: releases its slot at the server and records its outcome."""

from datetime import timedelta

from sumachook.inference.inference_request import LOOKUP, PROMPT, InferenceRequest
from sumachook.inference.request_table import RequestTable
from sumachook.inference.server_window import MAX_LOOKUP_BACKOFF, PROBE_SPACING, ServerWindow
from sumachook.requests.failures import FailureKind, RequestFailure

# Failures that do not count against the server: it answered correctly, or the client disconnected.
NOT_SERVER_FAILURES = frozenset({FailureKind.REFUSED, FailureKind.OVERLOAD, FailureKind.HUNG_UP})
SERVICE_TIME_WEIGHT = 0.1  # weight of the latest prompt in the moving average of a queue's service time


class EndAttempt:
    """Releases the slot of an attempt and updates the circuit breaker and the statistics of its server."""

    __slots__ = ("table",)

    def __init__(self, table: RequestTable) -> None:
        self.table = table

    def take(self, request: InferenceRequest, failure: RequestFailure | None, now: timedelta) -> None:
        """Ends the attempt under way; `failure` is None if the server answered in full."""
        server_window = self.table.server_window(request.server)
        server_window.end(request.item, request.queue)
        self._note_outcome(request, server_window, failure, now)
        duration = (now - request.attempt_started_at).total_seconds()
        if failure is None and request.kind == PROMPT:
            self._note_service_time(request.queue, duration)
        request.finished_attempts.append(
            {
                "server": request.server,
                "class": failure.name if failure is not None else "ok",
                "sent": request.was_sent,
                "firstToken": _time_to_first_token(request),
                "duration": round(duration, 4),
                "tokens": request.tokens,
                "attempt": request.attempt,
            }
        )
        request.attempt_id = None

    def _note_outcome(
        self, request: InferenceRequest, server_window: ServerWindow, failure: RequestFailure | None, now: timedelta
    ) -> None:
        if failure is None:
            server_window.record_success()
            server_window.clear_overload()
        elif failure.kind in NOT_SERVER_FAILURES:
            server_window.record_success()
            if failure.kind is FailureKind.OVERLOAD:
                server_window.record_overload(now, request.retry_after)
        else:
            rank, edges = self.table.rank(request.server)
            server_window.record_failure(now, rank / edges, _max_backoff(request, edges))
            server_window.restart_slow_start(request.item, now)

    def _note_service_time(self, queue: str, duration: float) -> None:
        average = self.table.service_time.get(queue, duration)
        self.table.service_time[queue] = (1 - SERVICE_TIME_WEIGHT) * average + SERVICE_TIME_WEIGHT * duration


def _max_backoff(request: InferenceRequest, edges: int) -> timedelta:
    """Returns the longest breaker backoff; for prompts it grows with the number of edges, which keeps the probes of all
    edges `PROBE_SPACING` apart.
    """
    if request.kind == LOOKUP:
        return MAX_LOOKUP_BACKOFF
    return max(ServerWindow.BACKOFF.max_breaker_backoff, PROBE_SPACING * edges)


def _time_to_first_token(request: InferenceRequest) -> float | None:
    """Returns the seconds from the start of the attempt to the first token, or None if no token came or an earlier
    attempt got the first one.
    """
    first_token_at: timedelta | None = request.first_token_at
    if not first_token_at or first_token_at < request.attempt_started_at:
        return None
    return (first_token_at - request.attempt_started_at).total_seconds()
