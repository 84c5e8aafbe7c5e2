"""Fault checks of a soak run: unanswered requests, unexplained connection losses and errors in the nodes' logs."""

import json
from dataclasses import dataclass
from pathlib import Path

from harness.fakes.kept_client import AttemptEnd, KeptAttempt
from harness.fakes.loop_stalls import LoopStalls
from harness.local_cluster.nodes import BOUNDS
from sumachook.nodes.component_guard import COMPONENT_FAILED, COMPONENT_NOT_RECOVERED

RESPONSE_SLACK = 0.5  # seconds after the deadline of a request within which its client must see the response
LOSS_SLACK = (
    BOUNDS["loss-slack-ms"] / 1000
)  # seconds; a request whose connection is lost later had been read, so it counts as lost even if it never ran
EXIT_NOTICE_DELAY = 0.5  # seconds by which a client may notice the exit of a process late
CLOSED_WITH_REQUEST = "A connection was closed with a request on it."
ERROR_TEXTS = (
    "A task failed and is restarted.",
    "The state machine failed to process an event.",
    "Failed to execute an effect.",
    COMPONENT_NOT_RECOVERED,
)


@dataclass(slots=True)
class EdgeShutdown:
    """The shutdown of an edge, from its SIGTERM to the exit of its process, in seconds of the event loop's clock."""

    edge: str
    since: float
    until: float = float("inf")

    def may_explain(self, attempt: KeptAttempt) -> bool:
        """Whether a request that no server ran may have been in transit when this edge closed its connections."""
        return (
            self.edge == attempt.edge
            and self.since <= attempt.ended_at
            and attempt.started_at <= self.until + EXIT_NOTICE_DELAY
        )


def cut_attempts(attempts: list[KeptAttempt]) -> list[KeptAttempt]:
    """Returns the requests whose connection closed before the complete response arrived.

    Requests that reached their deadline are excluded, since a response may be cut off at the deadline.
    """
    return [
        attempt
        for attempt in attempts
        if attempt.end is AttemptEnd.CUT and attempt.seconds < attempt.kind.deadline.total_seconds()
    ]


def lost_requests(attempts: list[KeptAttempt], runs: dict) -> list[str]:
    """Returns a fault for each request that a server ran but whose client got no complete response."""
    return [
        f"LOST: {attempt.request_id} of {attempt.kind.name} ran, and its connection to {attempt.edge} closed without a complete response"
        f" {attempt.seconds:.3f} s after it was sent"
        for attempt in cut_attempts(attempts)
        if attempt.request_id in runs
    ]


def unexplained_cuts(
    attempts: list[KeptAttempt], runs: dict, shutdowns: list[EdgeShutdown], stalls: LoopStalls
) -> list[str]:
    """Returns a fault for each request that no server ran and whose connection the edge had no reason to close.

    A request may be in transit while the edge closes its connection: it was not forwarded, and the client may retry it.
    That is accepted if the connection closes within the slack, and the edge was shutting down or the connection had been
    idle for longer than a limit that the edge may have applied.
    """
    return [
        f"CUT: {attempt.request_id} of {attempt.kind.name} got no response from {attempt.edge}, which had no reason to close the connection"
        f" ({attempt.seconds:.3f} s after it was sent, {attempt.rest or 'on a new connection'})"
        for attempt in cut_attempts(attempts)
        if attempt.request_id not in runs and not _was_in_transit_at_close(attempt, shutdowns, stalls)
    ]


def _was_in_transit_at_close(attempt: KeptAttempt, shutdowns: list[EdgeShutdown], stalls: LoopStalls) -> bool:
    stalled = stalls.seconds_within(attempt.started_at, attempt.ended_at)
    if attempt.seconds - stalled > LOSS_SLACK:
        return False
    was_idle_too_long = attempt.rest is not None and attempt.rest.seconds > attempt.rest.shortest_limit
    return was_idle_too_long or any(shutdown.may_explain(attempt) for shutdown in shutdowns)


def unanswered_requests(attempts: list[KeptAttempt], stalls: LoopStalls) -> list[str]:
    """Returns a fault for each request with neither a response nor a closed connection in time.

    Time in which this process was stalled is not counted, since a response may have arrived but not been read.
    """
    return [
        f"UNANSWERED: {attempt.request_id} of {attempt.kind.name} at {attempt.edge}"
        for attempt in attempts
        if attempt.end is AttemptEnd.UNANSWERED
        and attempt.seconds - stalls.seconds_within(attempt.started_at, attempt.ended_at)
        >= attempt.kind.deadline.total_seconds() + RESPONSE_SLACK
    ]


def faults_in_logs(work: Path, may_components_fail: bool = False) -> list[str]:
    """Returns the lines of the nodes' logs in `work` that report a fault of the product.

    In a run in which a component is made to raise, the lines about failed components are none.
    """
    return [
        f"{log.stem}: {line}"
        for log in sorted(work.glob("*.log"))
        for line in log.read_text(errors="replace").splitlines()
        if _is_fault(line) or (COMPONENT_FAILED in line and not may_components_fail)
    ]


def _is_fault(line: str) -> bool:
    if "Traceback" in line or any(text in line for text in ERROR_TEXTS):
        return True
    return CLOSED_WITH_REQUEST in line and bool(json.loads(line)["state"] == "serving")
