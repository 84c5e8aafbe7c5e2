"""The pipeline pass that sends a request to its selected server."""

from datetime import timedelta
from typing import Any

from sumachook.forwarding.access import UrgencyScale
from sumachook.forwarding.forwarded_request import ForwardedRequest
from sumachook.forwarding.request_table import RequestTable
from sumachook.host.effects import ConnectionReuse, ForwardRequest
from sumachook.requests.call_ids import FORWARDING, AttemptId
from sumachook.requests.in_flight_request import RequestState

CONNECT_TIMEOUT = timedelta(seconds=0.4)
# Another server is tried after twice the route's target latency without a first token, but not before this time.
MIN_FIRST_TOKEN_TIMEOUT = timedelta(seconds=0.3)
FIRST_TOKEN_TARGET_FACTOR = 2


class SendAttempt:
    """Starts an attempt: names the target server and the remaining time in the headers, and sets three timeouts.

    The timeouts bound connecting, the first token and the whole response, separately.
    """

    __slots__ = ("table",)

    def __init__(self, table: RequestTable) -> None:
        self.table = table

    def take(self, request: ForwardedRequest, name: str, now: timedelta) -> list[Any]:
        """Starts an attempt of the request at the server called `name`."""
        self.table.waiting.pop(request.number, None)
        self._begin_attempt(request, name, now)
        self._count_at_server(request, name, now)
        return [self._forward(request, name, now)]

    def _begin_attempt(self, request: ForwardedRequest, name: str, now: timedelta) -> None:
        request.attempt += 1
        request.state = RequestState.ATTEMPTING
        request.server = name
        request.attempt_started_at = now
        request.run_history.begin_attempt()
        request.attempt_id = AttemptId(FORWARDING, request.number, request.attempt)
        request.buffer = b""
        request.response = None
        request.first_token_at = None
        request.is_reused = False
        request.pending_tokens = request.metadata.prompt_tokens

    def _count_at_server(self, request: ForwardedRequest, name: str, now: timedelta) -> None:
        table = self.table
        server_window = table.server_window(name)
        server_window.begin(request.pending_tokens)
        if table.cold_until.get(name, now) > now:
            table.count_cold_request(server_window, request.service, now)
        table.count_running(request, 1)
        server_window.note_sent_prefixes(request.metadata, now)

    def _forward(self, request: ForwardedRequest, name: str, now: timedelta) -> ForwardRequest:
        remaining = request.deadline - now
        request.first_token_by = now + self._first_token_timeout(request, remaining)
        headers = self.table.port.write_request(
            request.headers,
            self._host(request),
            name,
            max(1, int(remaining.total_seconds() * 1000)),
            self._urgency(request),
            request.last_event_id,
            request.tenant,
        )
        return ForwardRequest(
            call_id=request.attempt_id,
            method=request.method,
            url=f"http://{self.table.state.servers[name]['address']}{request.path}",
            headers=headers,
            body=request.body,
            connect_timeout=min(CONNECT_TIMEOUT, remaining),
            total_timeout=remaining,
            reuse=self._reuse(request),
            max_kept_connections=self.table.max_kept_connections(request.service),
            reader=request.call_id,
        )

    def _urgency(self, request: ForwardedRequest) -> int:
        if request.is_yielding:
            return UrgencyScale.LOWEST_URGENCY
        return self.table.access.urgency_scale.level(request.tenant_priority, request.route.priority)

    def _reuse(self, request: ForwardedRequest) -> ConnectionReuse:
        """Returns which connections an attempt may use: rules 4 and 5 of `calls/run_status.py`.

        The request id is the same in all attempts of a request, and alone identifies a response to another request.
        """
        if not request.metadata.request_id or request.server in request.sent_to:
            return ConnectionReuse.NEVER
        if request.is_repeatable:
            return ConnectionReuse.ALWAYS
        return ConnectionReuse.WHEN_ALIVE if request.attempt == 1 else ConnectionReuse.NEVER

    def _first_token_timeout(self, request: ForwardedRequest, remaining: timedelta) -> timedelta:
        if not (request.is_repeatable and request.attempt < request.route.tries):
            return remaining
        target = timedelta(milliseconds=request.route.target_ms)
        return min(remaining / 2, max(MIN_FIRST_TOKEN_TIMEOUT, target * FIRST_TOKEN_TARGET_FACTOR))

    def _host(self, request: ForwardedRequest) -> str:
        return next((value for name, value in request.headers if name.lower() == "host"), request.metadata.host)
