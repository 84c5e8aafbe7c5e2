"""Sends the final answers to failed requests."""

from datetime import timedelta
from typing import Any

import msgspec
from assel import Event, send

from sumachook.host.effects import AbortResponse, SendChunk
from sumachook.inference.close import Close
from sumachook.inference.inference_request import InferenceRequest
from sumachook.inference.refuse import Refuse
from sumachook.inference.request_table import RequestTable
from sumachook.requests.failures import RequestFailure


class Settle:
    """Answers a failed request at once and states whether it may have run."""

    __slots__ = ("close", "refuse", "table")

    def __init__(self, table: RequestTable, refuse: Refuse, close: Close) -> None:
        self.table = table
        self.refuse = refuse
        self.close = close

    def take(self, request: InferenceRequest, failure: RequestFailure, now: timedelta) -> list[Any]:
        """Ends the request with this failure: an error reply, or an error event if the response stream has begun."""
        self.table.remove_from_queue(request)
        tries = len(request.finished_attempts)
        if request.reached_client:
            effects = self._end_stream(request, failure, tries)
        else:
            effects = self.refuse.take(
                request.call_id, failure, request.request_id, tries, request.run_status, request.retry_after
            )
        return effects + self.close.take(request, "fault", failure.status, failure.name, now)

    def _end_stream(self, request: InferenceRequest, failure: RequestFailure, tries: int) -> list[Any]:
        request.run_history.note_complete_answer()  # a token has reached the caller
        self.table.count("refused", failure.name)
        body = {
            "class": failure.name,
            "reason": failure.reason,
            "tries": tries,
            "run": "yes",
            "request": request.request_id,
        }
        event = send(Event(event="error", data=msgspec.json.encode({"fault": body}).decode()))
        return [SendChunk(request.call_id, event), AbortResponse(request.call_id)]
