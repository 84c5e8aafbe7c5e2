"""Handling of failed attempts: the request is retried, its stream is resumed, or it is settled."""

from datetime import timedelta
from typing import Any

from sumachook.host.effects import CancelCall, Fetch
from sumachook.inference.attempt_end import EndAttempt
from sumachook.inference.dispatch import CONNECT_TIMEOUT
from sumachook.inference.inference_request import InferenceRequest
from sumachook.inference.request_table import RequestTable
from sumachook.inference.settle import Settle
from sumachook.policies.policy import compile_policy
from sumachook.requests.call_ids import AttemptId
from sumachook.requests.failures import RESENDABLE, FailureKind, RequestFailure
from sumachook.requests.in_flight_request import RequestState
from sumachook.retry_budget.budget import inference_key

MAX_ATTEMPTS = 4
MAX_RESUMES = 2
CREDIT_WAIT = timedelta(seconds=3)  # longest wait of a retry for retry credit, after its backoff
RESUMABLE = frozenset({FailureKind.CUT, FailureKind.RESET, FailureKind.UNREACHABLE})


class Resend:
    """Decides by the kind of a failure, the policy and the deadline whether a request is sent again."""

    __slots__ = ("end_attempt", "settle", "table")

    def __init__(self, table: RequestTable, end_attempt: EndAttempt, settle: Settle) -> None:
        self.table = table
        self.end_attempt = end_attempt
        self.settle = settle

    def take(self, request: InferenceRequest, failure: RequestFailure, now: timedelta) -> list[Any]:
        """Ends the failed attempt; requeues the request for a retry, resumes its stream, or sends the final answer."""
        effects = [CancelCall(request.attempt_id)]
        self.end_attempt.take(request, failure, now)
        request.last_failure = failure
        if request.reached_client:
            return effects + self._resume(request, failure, now)
        if request.first_token_at is not None:
            self._discard_answer(request)
        if not self._may_resend(request, failure):
            return effects + self.settle.take(request, failure, now)
        is_allowed = self._is_allowed_by_policy(request, failure, now)
        delay = self._delay(request)
        if not is_allowed or now + delay >= request.deadline:
            return effects + self.settle.take(request, failure, now)
        request.state = RequestState.WAITING
        request.not_before = now + delay
        request.needs_credit = True
        request.credit_by = now + delay + CREDIT_WAIT
        request.note_failed_server(request.server)
        self.table.add_to_queue(request)
        return effects

    def _discard_answer(self, request: InferenceRequest) -> None:
        """Drops tokens of the failed attempt, of which none reached the caller."""
        request.buffered_parts = []
        request.tokens = 0
        request.finish_reason = None
        request.last_event_id = None
        request.clear_first_token()

    def _may_resend(self, request: InferenceRequest, failure: RequestFailure) -> bool:
        may_repeat = request.run_history.may_send_again(request.is_safe)
        is_resendable = failure.kind in RESENDABLE or (failure.kind is FailureKind.CUT and request.is_safe)
        return bool(may_repeat) and is_resendable and request.attempt < MAX_ATTEMPTS

    def _is_allowed_by_policy(self, request: InferenceRequest, failure: RequestFailure, now: timedelta) -> bool:
        is_allowed = compile_policy("retry", request.policies.retry)(
            {
                "fault": failure.name,
                "attempt": request.attempt,
                "line": request.queue,
                "caller": request.caller.name,
                "model": request.name,
                "left": (request.deadline - now).total_seconds(),
                "tokens": request.body.get("max_tokens", 0),
                "credit": self.table.retry_budget.balance_of(inference_key(request.kind)),
            }
        )
        return bool(is_allowed)

    def _delay(self, request: InferenceRequest) -> timedelta:
        delay = self.table.retry_delay(request)
        if request.retry_after is None:
            return delay
        delay = max(delay, timedelta(seconds=request.retry_after))
        request.retry_after = None
        return delay

    def _resume(self, request: InferenceRequest, failure: RequestFailure, now: timedelta) -> list[Any]:
        """Resumes a stream that has reached the client, at the same server by event id (a GET), or settles it."""
        server = self.table.state.servers.get(request.server)
        can_resume = failure.kind in RESUMABLE and request.last_event_id and request.resumes < MAX_RESUMES
        may_enter = server is not None and self.table.is_usable(
            request.server, server, self.table.follower.trust(now), now
        )
        if not can_resume or not may_enter or now >= request.total_by:
            return self.settle.take(request, failure, now)
        request.resumes += 1
        request.attempt += 1
        request.resume_from = request.last_event_id
        request.attempt_started_at = now
        request.attempt_id = AttemptId(request.kind, request.request_id, request.attempt)
        self.table.server_window(request.server).begin(request.item, request.queue)
        method, path, headers, body = self.table.port.resume(request.request_id, request.last_event_id)
        remaining = request.total_by - now
        return [
            Fetch(
                call_id=request.attempt_id,
                method=method,
                url=f"http://{server['address']}{path}",
                headers=headers,
                body=body,
                connect_timeout=min(CONNECT_TIMEOUT, remaining),
                total_timeout=remaining,
                mode="events",
            )
        ]
