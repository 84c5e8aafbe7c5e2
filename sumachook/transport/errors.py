"""Errors in frames received from other nodes."""

from enum import StrEnum

from sumachook.exceptions import ProtocolError


class FrameProblem(StrEnum):
    """Reason why a received frame was rejected."""

    MALFORMED = "malformed"
    TOO_LONG = "too long"
    OTHER_CLUSTER = "other cluster"
    UNKNOWN_KIND = "unknown kind"


class UnreadableFrameError(ProtocolError):
    """Raised for a frame that holds no valid message of this cluster; the receiver drops and counts it."""

    def __init__(self, problem: FrameProblem, detail: str) -> None:
        super().__init__(f"{problem}: {detail}")
        self.problem = problem
