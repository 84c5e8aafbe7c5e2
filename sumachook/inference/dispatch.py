"""Dispatch of a request to the server selected for it."""

from datetime import timedelta
from typing import Any

from sumachook.host.effects import Fetch
from sumachook.inference.inference_request import LOOKUP, InferenceRequest
from sumachook.inference.request_table import RequestTable
from sumachook.requests.call_ids import AttemptId
from sumachook.requests.in_flight_request import RequestState

CONNECT_TIMEOUT = timedelta(seconds=2)
# A lookup is one small read, so it is retried at another server after a short timeout.
LOOKUP_CONNECT_TIMEOUT = timedelta(seconds=0.7)
LOOKUP_TOTAL_TIMEOUT = timedelta(seconds=1.5)
DECODE_HEADROOM = 1.5  # factor on the time that the longest answer takes at the stated decode rate of the model


class Dispatch:
    """Starts an attempt with its timeouts for the connection, the first token and the whole answer."""

    __slots__ = ("table",)

    def __init__(self, table: RequestTable) -> None:
        self.table = table

    def take(self, request: InferenceRequest, name: str, now: timedelta) -> list[Any]:
        """Starts an attempt of the request at the server of this name."""
        request.attempt += 1
        request.state = RequestState.ATTEMPTING
        request.server = name
        request.attempt_started_at = now
        request.attempt_id = AttemptId(request.kind, request.request_id, request.attempt)
        request.has_response = False
        request.run_history.begin_attempt()
        self.table.server_window(name).begin(request.item, request.queue)
        address = self.table.state.servers[name]["address"]
        if request.kind == LOOKUP:
            return [self._fetch_record(request, address, now)]
        return [self._fetch_answer(request, name, address, now)]

    def _fetch_record(self, request: InferenceRequest, address: str, now: timedelta) -> Fetch:
        remaining = request.deadline - now
        total_timeout = min(LOOKUP_TOTAL_TIMEOUT, remaining)
        request.first_token_by = request.total_by = now + total_timeout
        return Fetch(
            call_id=request.attempt_id,
            method="GET",
            url=f"http://{address}{request.path}",
            headers={"X-Request-Id": request.request_id},
            body=b"",
            connect_timeout=min(LOOKUP_CONNECT_TIMEOUT, remaining),
            total_timeout=total_timeout,
            mode="whole",
        )

    def _fetch_answer(self, request: InferenceRequest, name: str, address: str, now: timedelta) -> Fetch:
        remaining = request.deadline - now
        request.first_token_by = now + self._first_token_timeout(request, name, remaining)
        decode_time = timedelta(seconds=request.body["max_tokens"] / request.model.decode_rate * DECODE_HEADROOM)
        request.total_by = min(request.deadline, request.first_token_by + decode_time)
        method, path, headers, body = self.table.port.chat(request.request_id, request.body)
        return Fetch(
            call_id=request.attempt_id,
            method=method,
            url=f"http://{address}{path}",
            headers=headers,
            body=body,
            connect_timeout=min(CONNECT_TIMEOUT, remaining),
            total_timeout=remaining,
            mode="events",
        )

    def _first_token_timeout(self, request: InferenceRequest, name: str, remaining: timedelta) -> timedelta:
        """Returns the first-token timeout.

        The first attempt gets at most half of the remaining time if the request may be retried at another server.
        """
        placed_servers = self.table.state.pairs.get(request.model.name, ())
        has_other = request.is_safe and any(other != name for other in placed_servers if other)
        bound = remaining / 2 if has_other and request.attempt == 1 else remaining
        return min(timedelta(seconds=request.model.first_token), bound)
