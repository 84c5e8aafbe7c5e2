"""What is a fault in a run of the soak: requests without an answer, cuts without a cause, and lines of the nodes' logs."""

import json
from dataclasses import dataclass
from pathlib import Path

from harness.fakes.kept_client import AttemptEnd, KeptAttempt
from harness.fakes.loop_stalls import LoopStalls
from harness.local_cluster.nodes import BOUNDS

ANSWER_WITHIN = 0.5  # seconds beyond its deadline in which a client must see the answer to a request
LOSS_SLACK = BOUNDS["loss-slack-ms"] / 1000  # seconds: what is cut later was read, and is lost whether it ran or not
LATE_SIGHT = 0.5  # seconds by which a client may be late to see that a process has ended
CLOSED_WITH_A_REQUEST = "A connection was closed with a request on it."
ERROR_TEXTS = (
    "A task failed and is restarted.",
    "The state machine failed to process an event.",
    "Failed to execute an effect.",
)


@dataclass(slots=True)
class Leaving:
    """A time in which an edge left: from its SIGTERM to the end of its process, by the loop's clock in seconds."""

    edge: str
    since: float
    until: float = float("inf")

    def explains(self, attempt: KeptAttempt) -> bool:
        """Whether a request that nobody ran may have crossed the closing of this edge's connections."""
        return (
            self.edge == attempt.edge
            and self.since <= attempt.ended_at
            and attempt.started_at <= self.until + LATE_SIGHT
        )


def cut_attempts(attempts: list[KeptAttempt]) -> list[KeptAttempt]:
    """Requests whose connection ended without a whole answer, before their deadline: at it, an answer may be cut off."""
    return [
        attempt
        for attempt in attempts
        if attempt.end is AttemptEnd.CUT and attempt.seconds < attempt.kind.deadline.total_seconds()
    ]


def lost_requests(attempts: list[KeptAttempt], runs: dict) -> list[str]:
    """Requests that a server ran and whose connection ended without a whole answer."""
    return [
        f"LOST: {attempt.request_id} of {attempt.kind.name} ran, and its connection to {attempt.edge} ended without a whole answer"
        f" {attempt.seconds:.3f} s after it was sent"
        for attempt in cut_attempts(attempts)
        if attempt.request_id in runs
    ]


def unexplained_cuts(attempts: list[KeptAttempt], runs: dict, leavings: list[Leaving], stalls: LoopStalls) -> list[str]:
    """Requests that no server ran and that did not cross the close of their connection.

    A crossing is allowed: the request was not passed on, and its client may send it again. It shows within the slack,
    and its edge was leaving, or the connection had rested for longer than a limit by which the edge may have gone.
    """
    return [
        f"CUT: {attempt.request_id} of {attempt.kind.name} got no answer from {attempt.edge}, and crossed no close"
        f" ({attempt.seconds:.3f} s after it was sent, {attempt.rest or 'on a new connection'})"
        for attempt in cut_attempts(attempts)
        if attempt.request_id not in runs and not _crossed_a_close(attempt, leavings, stalls)
    ]


def _crossed_a_close(attempt: KeptAttempt, leavings: list[Leaving], stalls: LoopStalls) -> bool:
    stalled = stalls.seconds_within(attempt.started_at, attempt.ended_at)
    if attempt.seconds - stalled > LOSS_SLACK:
        return False
    has_rested_too_long = attempt.rest is not None and attempt.rest.seconds > attempt.rest.shortest_limit
    return has_rested_too_long or any(leaving.explains(attempt) for leaving in leavings)


def unanswered_requests(attempts: list[KeptAttempt], stalls: LoopStalls) -> list[str]:
    """Requests that got neither an answer nor the end of their connection in time.

    Time in which this process stood still counts for nothing: an answer may have come in and wait to be read.
    """
    return [
        f"UNANSWERED: {attempt.request_id} of {attempt.kind.name} at {attempt.edge}"
        for attempt in attempts
        if attempt.end is AttemptEnd.UNANSWERED
        and attempt.seconds - stalls.seconds_within(attempt.started_at, attempt.ended_at)
        >= attempt.kind.deadline.total_seconds() + ANSWER_WITHIN
    ]


def faults_in_logs(work: Path) -> list[str]:
    """Lines of the nodes' logs below `work` that tell of a fault of the product."""
    return [
        f"{log.stem}: {line}"
        for log in sorted(work.glob("*.log"))
        for line in log.read_text(errors="replace").splitlines()
        if _is_fault(line)
    ]


def _is_fault(line: str) -> bool:
    if "Traceback" in line or any(text in line for text in ERROR_TEXTS):
        return True
    return CLOSED_WITH_A_REQUEST in line and bool(json.loads(line)["state"] == "serving")
