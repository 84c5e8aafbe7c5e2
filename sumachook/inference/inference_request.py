"""The state of a prompt or a lookup in flight."""

from datetime import timedelta
from typing import Any

from sumachook.calls.run_status import RunStatus
from sumachook.requests.in_flight_request import InFlightRequest, RequestState
from sumachook.runtime.write_once import WriteOnce

LOOKUP = "lookup"
PROMPT = "prompt"


class InferenceRequest(InFlightRequest):
    """A prompt or a lookup between its admission and its final answer."""

    __slots__ = (
        "_first_token_at",
        "adapter",
        "body",
        "buffered_parts",
        "caller",
        "client_request_id",
        "finish_reason",
        "has_response",
        "idempotency_key",
        "is_safe",
        "kind",
        "model",
        "model_ready_by",
        "opened_at",
        "path",
        "policies",
        "queue",
        "request_id",
        "resume_from",
        "tokens",
        "total_by",
        "wake_retries",
    )

    first_token_at = WriteOnce("_first_token_at")

    def __init__(
        self, request_id: str, call_id: Any, kind: str, caller: Any, arrived_at: timedelta, patience: timedelta
    ) -> None:
        super().__init__(call_id, RequestState.RECORDING, arrived_at, patience)
        self.request_id = request_id
        self.kind = kind
        self.caller = caller
        self.queue: str = caller.line
        self.idempotency_key = ""
        self.client_request_id = ""
        self.is_safe = kind == LOOKUP  # idempotent: running it twice does no harm
        self.policies: Any = None
        self.opened_at = ""
        # the requested model or record
        self.model: Any = None
        self.adapter = ""
        self.body: dict[str, Any] = {}
        self.path = ""
        self.model_ready_by = self.deadline
        self.wake_retries = 0
        # the answer received so far
        self.total_by = self.deadline
        self.has_response = False
        self.tokens = 0
        self.finish_reason: str | None = None
        self.buffered_parts: list[Any] = []
        self.resume_from: str | None = None  # event id after which a resumed stream must continue

    def clear_first_token(self) -> None:
        """Clears the time of the first token when a new attempt restarts the answer."""
        self._first_token_at = None

    @property
    def run_status(self) -> RunStatus:
        """Whether the request has run, as far as known; a failed lookup counts as not run, since it changes nothing."""
        is_harmless = self.kind == LOOKUP and self.run_history.status is RunStatus.MAY_HAVE_RUN
        return RunStatus.NOT_RUN if is_harmless else self.run_history.status

    @property
    def was_sent(self) -> bool:
        """Whether the request of the current attempt may have reached its server."""
        return self.run_history.attempt_may_have_run

    @property
    def name(self) -> str:
        """The name of the requested adapter or model; `records` for a lookup."""
        return self.adapter or (self.model.name if self.model else "records")

    @property
    def item(self) -> str:
        """The key under which the server window counts the request: the base model, or `records` for a lookup."""
        return self.name if self.kind == LOOKUP else str(self.model.name)
