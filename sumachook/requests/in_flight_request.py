"""The request state that the forwarding and inference pipelines share, from admission to the final response."""

from datetime import timedelta
from enum import StrEnum
from typing import Any

from sumachook.calls.run_status import RunHistory, RunStatus
from sumachook.requests.call_ids import AttemptId
from sumachook.requests.failures import RequestFailure


class RequestState(StrEnum):
    """The stages of a request in flight."""

    RECORDING = "recording"  # waiting until the ledger has stored its opening record
    WAITING = "waiting"  # the request waits until a server is selected
    ATTEMPTING = "attempting"  # sent to a server; nothing has been sent to the client yet
    STREAMING = "streaming"  # a part of the response has been sent to the client
    SETTLED = "settled"


_ATTEMPTING = RequestState.ATTEMPTING
_STREAMING = RequestState.STREAMING


class InFlightRequest:
    """Holds the state of an admitted request without a final response; times are of the monotonic clock."""

    __slots__ = (
        "arrived_at",
        "attempt",
        "attempt_id",
        "attempt_started_at",
        "call_id",
        "charged_tokens",
        "credit_by",
        "deadline",
        "failed_servers",
        "finished_attempts",
        "first_token_by",
        "generation",
        "is_stream",
        "is_yielding",
        "last_event_id",
        "last_failure",
        "needs_credit",
        "needs_recheck",
        "not_before",
        "quota_details",
        "reached_client",
        "resumes",
        "retry_after",
        "run_history",
        "server",
        "state",
        "tenant",
    )

    def __init__(self, call_id: Any, state: RequestState, arrived_at: timedelta, patience: timedelta) -> None:
        self.call_id = call_id
        self.arrived_at = arrived_at
        self.deadline = arrived_at + patience
        self.not_before = arrived_at
        self.state = state
        self.generation = 0  # generation of the catalogue under which the request was admitted
        self.needs_recheck = False  # whether it was admitted before this node could confirm its catalogue
        self.is_stream = False
        # state of the current attempt, and the results of earlier ones
        self.attempt = 0
        self.attempt_id: AttemptId | None = None
        self.server = ""
        self.attempt_started_at = arrived_at
        self.first_token_by = self.deadline
        self.run_history = RunHistory()
        self.finished_attempts: list[Any] = []
        self.failed_servers: tuple[str, ...] = ()  # servers that failed this request, latest failure last
        self.last_failure: RequestFailure | None = None
        self.reached_client = False
        self.last_event_id: str | None = None
        self.resumes = 0
        # state while waiting for another attempt
        self.needs_credit = False
        self.credit_by = self.deadline
        self.retry_after: float | None = None  # seconds until a retry, as stated by a server or the rate limiter
        # quota that the request claimed from its tenant
        self.tenant: str | None = None
        self.charged_tokens = 0
        self.is_yielding = False
        self.quota_details: dict[str, Any] = {}

    @property
    def is_at_server(self) -> bool:
        """Whether an attempt is in progress at a server."""
        return self.state is _ATTEMPTING or self.state is _STREAMING  # called on every event; avoids hashing the enum

    @property
    def run_status(self) -> RunStatus:
        """Whether the request has run, as far as this edge knows."""
        return self.run_history.status

    def note_failed_server(self, server: str) -> None:
        """Moves the server to the end of `failed_servers`.

        Server selection prefers servers that have not failed this request, then the one that failed it longest ago.
        """
        self.failed_servers = (*(name for name in self.failed_servers if name != server), server)
