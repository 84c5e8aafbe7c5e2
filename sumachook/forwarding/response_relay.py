"""The pipeline pass that relays the responses of servers to clients."""

from collections.abc import Callable
from datetime import timedelta
from typing import Any

from sumachook.calls.run_status import CallFailure
from sumachook.forwarding.finish import Finish
from sumachook.forwarding.forwarded_request import ForwardedRequest
from sumachook.forwarding.request_table import RequestTable
from sumachook.forwarding.resend import Resend
from sumachook.forwarding.response_metadata import ResponseMetadata
from sumachook.host.effects import BeginResponse, EndResponse, Reply, SendChunk
from sumachook.host.events import (
    CallFailed,
    RequestSent,
    ResponseChunkReceived,
    ResponseEnded,
    ResponseHeadReceived,
)
from sumachook.requests.failures import FailureKind, RequestFailure
from sumachook.requests.in_flight_request import RequestState
from sumachook.runtime.cluster_clock import MILLISECOND

NOT_RUN_STATUSES = (408, 429, 503)  # HTTP statuses that tell a client that its request did not run
EVENT_TERMINATORS = (b"\n\n", b"\r\n\r\n")
OVERLOAD_STATUSES = (429, 503)
MISDIRECTED = 421  # the server does not hold the model of the request


class ResponseRelay:
    """Relays responses unchanged: event streams event by event, other responses once they are complete."""

    __slots__ = ("_handlers", "finish", "resend", "table")

    def __init__(self, table: RequestTable, resend: Resend, finish: Finish) -> None:
        self.table = table
        self.resend = resend
        self.finish = finish
        self._handlers: dict[Any, Callable[..., list[Any]]] = {
            RequestSent: self._handle_sent,
            ResponseHeadReceived: self._handle_head,
            ResponseChunkReceived: self._handle_chunk,
            ResponseEnded: self._handle_end,
            CallFailed: self._handle_failure,
        }

    def take(self, event: Any, now: timedelta) -> list[Any]:
        """Processes an event of an upstream call; ignores events of abandoned attempts."""
        request = self.table.requests.get(event.call_id.request)
        if request is None or request.attempt_id != event.call_id or not request.is_at_server:
            return []
        return self._handlers[type(event)](request, event, now)

    def _handle_sent(self, request: ForwardedRequest, event: Any, now: timedelta) -> list[Any]:
        """Counts the arrival of the attempt, because its first byte is about to be sent."""
        self._count_arrival(request, event.is_reused)
        return []

    def _count_arrival(self, request: ForwardedRequest, is_reused: bool) -> None:
        if request.run_history.attempt_may_have_run:
            return
        request.run_history.note_first_byte()
        request.arrivals += 1
        request.is_reused = is_reused
        if request.server not in request.sent_to:
            request.sent_to = (*request.sent_to, request.server)

    def _handle_head(self, request: ForwardedRequest, event: Any, now: timedelta) -> list[Any]:
        status, headers = event.status, event.headers
        response = request.response = self.table.port.read_response(status, headers)
        self._count_arrival(request, False)
        request.status = status
        request.response_headers = headers
        if response.cold_ms:
            self.table.cold_until[request.server] = now + response.cold_ms * MILLISECOND
        failure = self._head_failure(request, response, status)
        if failure is not None:
            return self.resend.take(request, failure, now)
        names = {name.lower(): value for name, value in headers}
        if status < 300 and (not response.is_sealed or names.get("content-encoding", "identity") != "identity"):
            failure = FailureKind.UPSTREAM.because("bytes that are not the server's answer")
            return self.resend.take(request, failure, now)
        request.is_event_stream = status < 300 and names.get("content-type", "").startswith("text/event-stream")
        if status >= 300 and request.reached_client:
            return self.resend.take(request, FailureKind.CUT.because(f"no resume, status {status}"), now)
        return []

    def _head_failure(
        self, request: ForwardedRequest, response: ResponseMetadata, status: int
    ) -> RequestFailure | None:
        """Returns why the response must not be relayed, judged by request id, headers and status; None if it may be."""
        has_id = not request.metadata.request_id or response.request_id == request.metadata.request_id
        if not has_id and (response.request_id or request.is_reused):
            return FailureKind.RESET.because("an answer to another request")
        if response.is_not_run:
            request.run_history.note_not_run()
            return _not_run_failure_kind(status).because()
        if status in NOT_RUN_STATUSES:  # the client would take it to mean that the request did not run
            return FailureKind.UPSTREAM.because(f"{status} without the mark")
        if not has_id or status < 200:
            return FailureKind.UPSTREAM.because("bytes that are no answer to this request")
        return None

    def _handle_chunk(self, request: ForwardedRequest, event: Any, now: timedelta) -> list[Any]:
        request.gather(event.data)
        if not request.is_event_stream:
            return []
        end = max(request.buffer.rfind(mark) + len(mark) if mark in request.buffer else 0 for mark in EVENT_TERMINATORS)
        if not end:
            return []
        events, request.buffer = bytes(request.buffer[:end]), bytes(request.buffer[end:])
        if request.tenant is not None:
            request.events += sum(events.count(mark) for mark in EVENT_TERMINATORS)
        if request.first_token_at is None:
            if request.reached_client and not _continues(request.last_event_id or "", events):
                return self.resend.take(request, FailureKind.CUT.because("the resume does not go on"), now)
            self._note_first_token(request, now)
        for line in events.split(b"\n"):
            if line.startswith(b"id:"):
                request.last_event_id = line[3:].strip().decode("latin-1")
        return [*self._begin_response(request, now), SendChunk(request.call_id, events)]

    def _note_first_token(self, request: ForwardedRequest, now: timedelta) -> None:
        request.first_token_at = now
        server_window = self.table.server_window(request.server)
        server_window.pending_tokens -= request.pending_tokens
        request.pending_tokens = 0
        server_window.record_success()

    def _begin_response(self, request: ForwardedRequest, now: timedelta) -> list[Any]:
        if request.reached_client:
            return []
        request.reached_client = True
        request.state = RequestState.STREAMING
        request.first_byte_at = now
        return [BeginResponse(request.call_id, request.status, self._headers(request.response_headers))]

    def _headers(self, headers: Any) -> tuple[tuple[str, str], ...]:
        return self.table.with_connection_close(self.table.port.pass_headers(headers))

    def _handle_end(self, request: ForwardedRequest, event: Any, now: timedelta) -> list[Any]:
        if not _is_last_on_connection(request.response_headers):
            self.table.server_window(request.server).note_kept_connection(now)
        if request.is_event_stream:
            if request.buffer or not request.reached_client:
                return self.resend.take(request, FailureKind.CUT.because("ended within an event"), now)
            return self.finish.take(request, [EndResponse(request.call_id)], "done", now)
        if request.reached_client:
            return self.resend.take(request, FailureKind.CUT.because("no stream on resuming"), now)
        failure = FailureKind.UPSTREAM.because(f"the server said {request.status}") if request.status >= 500 else None
        if failure is not None and request.is_repeatable and request.attempt < request.route.tries:
            return self.resend.take(request, failure, now)
        reply = Reply(request.call_id, request.status, self._headers(request.response_headers), request.buffer)
        return self.finish.take(request, [reply], "done" if failure is None else "fault", now, failure)

    def _handle_failure(self, request: ForwardedRequest, event: Any, now: timedelta) -> list[Any]:
        cause = CallFailure(event.failure)
        if cause.was_before_first_byte and not request.run_history.attempt_may_have_run:
            return self.resend.take(request, FailureKind.UNREACHABLE.because(cause), now)
        request.run_history.note_failure(cause)
        if cause is CallFailure.TIMEOUT:
            return self.resend.take(request, FailureKind.DEADLINE.because(), now)
        failure = FailureKind.CUT.because() if request.reached_client else FailureKind.RESET.because(cause)
        return self.resend.take(request, failure, now)


def _is_last_on_connection(headers: Any) -> bool:
    """Returns whether the server closes the connection after this response."""
    return any(name.lower() == "connection" and value.lower() == "close" for name, value in headers)


def _not_run_failure_kind(status: int) -> FailureKind:
    """Returns the kind of failure for a request that the server did not run, by the status of the response."""
    if status in OVERLOAD_STATUSES:
        return FailureKind.OVERLOAD
    return FailureKind.NO_MODEL if status == MISDIRECTED else FailureKind.REFUSED


def _continues(last_event_id: str, events: bytes) -> bool:
    """Returns whether the first event follows the last one relayed; numeric ids must increase, others must differ.

    >>> _continues("2", b"id: 3\\ndata: x\\n\\n"), _continues("2", b"id: 2\\n\\n"), _continues("2", b"data: x\\n\\n")
    (True, False, False)
    >>> _continues("9", b"id:10\\n\\n")
    True
    """
    first = next((line[3:].strip().decode("latin-1") for line in events.split(b"\n") if line.startswith(b"id:")), "")
    if first.isdecimal() and last_event_id.isdecimal():
        return int(first) > int(last_event_id)
    return bool(first) and first != last_event_id
