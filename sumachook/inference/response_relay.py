"""Relay of server responses to callers."""

from collections.abc import Callable
from datetime import timedelta
from typing import Any

import msgspec
from assel import Event, send

from sumachook.calls.run_status import CallFailure
from sumachook.host.effects import BeginResponse, EndResponse, Reply, SendChunk
from sumachook.host.events import (
    CallFailed,
    RequestSent,
    ResponseEnded,
    ResponseHeadReceived,
    ResponseReceived,
    ServerEventReceived,
)
from sumachook.inference.attempt_end import EndAttempt
from sumachook.inference.cancel import Cancel
from sumachook.inference.close import Close
from sumachook.inference.inference_request import PROMPT, InferenceRequest
from sumachook.inference.refuse import JSON
from sumachook.inference.request_table import RequestTable
from sumachook.inference.resend import Resend
from sumachook.requests.failures import FailureKind, RequestFailure
from sumachook.requests.in_flight_request import RequestState
from sumachook.requests.model_server_api import ChatDelta

EVENT_STREAM = {"Content-Type": "text/event-stream", "Cache-Control": "no-store"}
END_OF_STREAM = "[DONE]"  # data of the event that ends a chat completion stream
MAX_RETRY_AFTER_S = 60.0  # upper bound on the Retry-After that a server may state


class ResponseRelay:
    """Streams tokens to the caller as they arrive; relays the response to a lookup once it is complete."""

    __slots__ = ("_handlers", "cancel", "close", "end_attempt", "resend", "table")

    def __init__(
        self, table: RequestTable, resend: Resend, end_attempt: EndAttempt, cancel: Cancel, close: Close
    ) -> None:
        self.table = table
        self.resend = resend
        self.end_attempt = end_attempt
        self.cancel = cancel
        self.close = close
        self._handlers: dict[Any, Callable[..., list[Any]]] = {
            RequestSent: self._handle_sent,
            ResponseHeadReceived: self._handle_head,
            ServerEventReceived: self._handle_event,
            ResponseReceived: self._handle_response,
            ResponseEnded: self._handle_end,
            CallFailed: self._handle_failure,
        }

    def take(self, event: Any, now: timedelta) -> list[Any]:
        """Handles an event of an HTTP call to a server; drops events of attempts that have already ended."""
        request = self.table.requests.get(event.call_id.request)
        if request is None or request.attempt_id != event.call_id or not request.is_at_server:
            return []
        return self._handlers[type(event)](request, event, now)

    def _handle_sent(self, request: InferenceRequest, event: Any, now: timedelta) -> list[Any]:
        request.run_history.note_first_byte()
        return []

    def _handle_failure(self, request: InferenceRequest, event: Any, now: timedelta) -> list[Any]:
        cause = CallFailure(event.failure)
        if cause.was_before_first_byte and not request.was_sent:
            return self.resend.take(request, FailureKind.UNREACHABLE.because(cause), now)
        request.run_history.note_failure(cause)
        if cause is CallFailure.TIMEOUT and now >= request.deadline:
            return self.cancel.take(request, FailureKind.DEADLINE.because(), now)
        if cause is CallFailure.TIMEOUT:
            kind = FailureKind.TOTAL_TIMEOUT if request.has_response else FailureKind.FIRST_TOKEN_TIMEOUT
        else:
            kind = FailureKind.CUT if request.first_token_at and request.kind == PROMPT else FailureKind.RESET
        return self.resend.take(request, kind.because(), now)

    def _handle_head(self, request: InferenceRequest, event: Any, now: timedelta) -> list[Any]:
        request.run_history.note_first_byte()
        request.has_response = True
        if event.status == 200 and event.headers.get("content-type", "").startswith("text/event-stream"):
            return []
        if request.resume_from is not None:
            return self.resend.take(request, FailureKind.CUT.because(f"no resume, status {event.status}"), now)
        return self.resend.take(request, _failure_of_status(event, request), now)

    def _handle_response(self, request: InferenceRequest, event: Any, now: timedelta) -> list[Any]:
        """Handles a complete, unstreamed response: the record for a lookup, a refusal for a prompt."""
        if request.kind == PROMPT:
            return self._handle_head(request, event, now)
        if event.headers.get("x-request-id", request.request_id) != request.request_id:
            return self.resend.take(request, FailureKind.RESET.because("an answer to another request"), now)
        if event.status not in (200, 404):
            return self.resend.take(request, _failure_of_status(event, request), now)
        self.end_attempt.take(request, None, now)
        request.run_history.note_complete_answer()
        content_type = event.headers.get("content-type", "application/json")
        headers = {"Content-Type": content_type, "X-Request-Id": request.request_id}
        failure_name = "" if event.status == 200 else "unknown-record"
        reply = Reply(request.call_id, event.status, headers, event.body)
        return [reply, *self.close.take(request, "done", event.status, failure_name, now)]

    def _handle_end(self, request: InferenceRequest, event: Any, now: timedelta) -> list[Any]:
        return self.resend.take(request, FailureKind.CUT.because("the stream ended early"), now)

    def _handle_event(self, request: InferenceRequest, event: Any, now: timedelta) -> list[Any]:
        if event.data == END_OF_STREAM:
            if request.finish_reason is None:
                return self.resend.take(request, FailureKind.CUT.because("ended without a finish reason"), now)
            return self._finish(request, now)
        delta = self.table.port.read_event(event.data)
        if delta is None:
            return self.resend.take(request, FailureKind.CUT.because("an event that cannot be read"), now)
        if request.resume_from is not None:
            if not event.event_id or next_id(request.resume_from) != event.event_id:
                return self.resend.take(request, FailureKind.CUT.because("the resume does not continue"), now)
            request.resume_from = None
        self._note_delta(request, delta, event.event_id, now)
        if not request.is_stream:
            request.buffered_parts.append(delta.text)
            return []
        chunk = send(Event(data=event.data, id=event.event_id or None))
        if request.reached_client:
            return [SendChunk(request.call_id, chunk)]
        request.buffered_parts.append(chunk)  # events before the first token are sent together with it
        return self._begin_stream(request) if delta.text else []

    def _note_delta(self, request: InferenceRequest, delta: ChatDelta, event_id: str | None, now: timedelta) -> None:
        request.last_event_id = event_id or None
        if delta.tokens_used is not None:
            request.tokens = delta.tokens_used
        else:
            request.tokens += bool(delta.text)
        request.finish_reason = delta.finish_reason or request.finish_reason
        request.first_token_at = now if delta.text else None

    def _begin_stream(self, request: InferenceRequest) -> list[Any]:
        request.reached_client = True
        request.state = RequestState.STREAMING
        chunks = [SendChunk(request.call_id, chunk) for chunk in request.buffered_parts]
        request.buffered_parts = []
        headers = {**EVENT_STREAM, "X-Request-Id": request.request_id}
        return [BeginResponse(request.call_id, 200, headers), *chunks]

    def _finish(self, request: InferenceRequest, now: timedelta) -> list[Any]:
        self.end_attempt.take(request, None, now)
        request.run_history.note_complete_answer()
        if request.is_stream:
            effects = [] if request.reached_client else self._begin_stream(request)
            effects.append(SendChunk(request.call_id, send(Event(data=END_OF_STREAM))))
            effects.append(EndResponse(request.call_id))
        else:
            headers = {**JSON, "X-Request-Id": request.request_id}
            effects = [Reply(request.call_id, 200, headers, msgspec.json.encode(_completion(request)))]
        return effects + self.close.take(request, "done", 200, "", now)


def _completion(request: InferenceRequest) -> dict[str, Any]:
    """Returns the response body of a chat completion that is not streamed."""
    choice = {
        "index": 0,
        "message": {"role": "assistant", "content": "".join(request.buffered_parts)},
        "finish_reason": request.finish_reason,
    }
    return {
        "id": request.request_id,
        "object": "chat.completion",
        "model": request.name,
        "choices": [choice],
        "usage": {"completion_tokens": request.tokens},
    }


def next_id(event_id: str) -> str | None:
    """Returns the event id that must follow, or None unless the id ends in a colon and a number.

    >>> next_id("r1:41"), next_id("abc")
    ('r1:42', None)
    """
    stem, _, number = event_id.rpartition(":")
    return f"{stem}:{int(number) + 1}" if number.isdigit() else None


def _failure_of_status(event: Any, request: InferenceRequest) -> RequestFailure:
    """Maps an error status to a failure; sets `retry_after` from the Retry-After header of an overloaded server."""
    reason = f"the server said {event.status}"
    if event.status in (429, 503):
        stated = event.headers.get("retry-after", "")
        request.retry_after = min(MAX_RETRY_AFTER_S, float(stated)) if stated.isdigit() else None
        return FailureKind.OVERLOAD.because(reason)
    if event.status >= 500 or event.status < 400 or event.status in (404, 408):
        return FailureKind.UPSTREAM.because(reason)
    return FailureKind.REFUSED.because(reason)
