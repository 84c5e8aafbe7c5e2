"""Outcomes that the ledger writer returns to the request pipelines of its edge."""

from enum import Enum

import msgspec


class UnrecordedReason(Enum):
    """Reason why a request was not recorded; the value is the text in the client's error response."""

    NO_QUORUM = "no two keepers answered"


class RecordingOutcome(msgspec.Struct, frozen=True):
    """Base class of the outcomes of a `RequestOpened` event."""

    request: str


class Recorded(RecordingOutcome, frozen=True):
    """The request may proceed: its record is durable on two replicas, or overdue and the request may run twice."""


class Unrecorded(RecordingOutcome, frozen=True):
    """The request must be rejected, since its record is not durable."""

    reason: UnrecordedReason


class DuplicateKey(RecordingOutcome, frozen=True):
    """The idempotency key was already used by the request that `first` describes ("request", "state", "run")."""

    first: dict[str, str]
