"""Queueing of requests once their ledger record is stored, or their end if it could not be stored."""

from datetime import timedelta
from typing import Any

from sumachook.inference.inference_request import LOOKUP, InferenceRequest
from sumachook.inference.request_table import RequestTable
from sumachook.inference.settle import Settle
from sumachook.ledger.effects import DuplicateKey, Recorded, RecordingOutcome, Unrecorded
from sumachook.policies.policy import compile_policy
from sumachook.requests.failures import FailureKind
from sumachook.requests.in_flight_request import RequestState


class Enqueue:
    """Handles the outcome of storing a request's ledger record."""

    __slots__ = ("settle", "table")

    def __init__(self, table: RequestTable, settle: Settle) -> None:
        self.table = table
        self.settle = settle

    def take(self, outcome: RecordingOutcome, now: timedelta) -> list[Any]:
        """Queues a recorded request; ends one whose record was not stored or whose idempotency key is in use."""
        request = self.table.requests.get(outcome.request)
        if request is None or request.state is not RequestState.RECORDING:
            return []
        match outcome:
            case Recorded():
                return self._enqueue(request, now)
            case Unrecorded(reason=reason):
                failure = FailureKind.UNRECORDED.because(reason.value)
            case DuplicateKey(first=first):
                text = f"request {first['request']} is {first['state']}, run {first['run']}"
                failure = FailureKind.DUPLICATE.because(text)
            case _:
                raise TypeError(f"unexpected recording outcome: {outcome!r}")
        return self.settle.take(request, failure, now)

    def _enqueue(self, request: InferenceRequest, now: timedelta) -> list[Any]:
        request.state = RequestState.WAITING
        if request.kind == LOOKUP:
            self.table.add_to_queue(request)
            return []
        queue = self.table.queue_settings(request)
        bound = queue.bound if queue else 1
        waiting = self.table.queues.length(request.queue)
        may_wait = self._may_wait_by_policy(request, waiting, bound)
        if waiting >= bound or (waiting and not may_wait):
            failure = FailureKind.OVERLOAD.because(f"{waiting} wait in line {request.queue}")
            return self.settle.take(request, failure, now)
        if self._expected_wait(request) > (request.deadline - now).total_seconds():
            return self.settle.take(request, FailureKind.OVERLOAD.because("the cutoff cannot be met"), now)
        self.table.add_to_queue(request)
        return []

    def _may_wait_by_policy(self, request: InferenceRequest, waiting: int, bound: int) -> bool:
        may_wait = compile_policy("hold", request.policies.hold)(
            {
                "line": request.queue,
                "caller": request.caller.name,
                "model": request.model.name,
                "patience": request.caller.patience,
                "waiting": waiting,
                "bound": bound,
                "busy": sum(server_window.in_use for server_window in self.table.server_windows.values()),
            }
        )
        return bool(may_wait)

    def _expected_wait(self, request: InferenceRequest) -> float:
        """Estimates the wait in seconds from the requests ahead for the same model and the recent service time of the
        queue.
        """
        table, model = self.table, request.model.name
        ahead = sum(other.model.name == model for other in table.queues.requests.get(request.queue, ()))
        placed_servers = [name for name in table.state.pairs.get(model, ()) if name in table.state.servers]
        slots = sum(table.limit(table.state.servers[name]) for name in placed_servers)
        expected: float = ahead * table.service_time.get(request.queue, 0.0) / max(1, slots)
        return expected
