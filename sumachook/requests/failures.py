"""Failure kinds of requests, with their HTTP statuses and whether they may be retried."""

from enum import StrEnum

import msgspec


class FailureKind(StrEnum):
    """The class of a failure; its value appears in error responses and in ledger records."""

    UNREACHABLE = "unreachable"
    RESET = "reset"
    OVERLOAD = "overload"
    UPSTREAM = "upstream"
    NO_MODEL = "no-model"
    WAKE_TIMEOUT = "wake-timeout"
    REFUSED = "refused"
    FIRST_TOKEN_TIMEOUT = "first-token-timeout"
    TOTAL_TIMEOUT = "total-timeout"
    CUT = "cut"
    DEADLINE = "cutoff"
    UNRECORDED = "unrecorded"
    DUPLICATE = "duplicate"
    EVACUATED = "evacuated"
    DRAINING = "draining"
    NOT_READY = "not-ready"
    MALFORMED = "malformed"
    UNKNOWN_CALLER = "unknown-caller"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not-found"
    HUNG_UP = "hung-up"
    ALLOWANCE = "allowance"

    def because(self, reason: str = "") -> "RequestFailure":
        """Returns a failure of this kind with the given reason."""
        return RequestFailure(self, reason)


class RequestFailure(msgspec.Struct, frozen=True):
    """Describes why a request, or one attempt of it, failed.

    >>> failure = FailureKind.OVERLOAD.because("line counter holds 64")
    >>> failure.kind is FailureKind.OVERLOAD, failure.name, failure.status
    (True, 'overload', 429)
    """

    kind: FailureKind
    reason: str = ""

    @property
    def name(self) -> str:
        """The name of the kind of failure, as written to error responses and ledger records."""
        return self.kind.value

    @property
    def status(self) -> int:
        """The HTTP status of the error response for this failure."""
        return HTTP_STATUSES[self.kind]


HTTP_STATUSES = {
    FailureKind.UNREACHABLE: 502,
    FailureKind.RESET: 502,
    FailureKind.UPSTREAM: 502,
    FailureKind.OVERLOAD: 429,
    FailureKind.NO_MODEL: 404,
    FailureKind.WAKE_TIMEOUT: 504,
    FailureKind.REFUSED: 400,
    FailureKind.FIRST_TOKEN_TIMEOUT: 504,
    FailureKind.TOTAL_TIMEOUT: 504,
    FailureKind.CUT: 502,
    FailureKind.DEADLINE: 504,
    FailureKind.UNRECORDED: 503,
    FailureKind.DUPLICATE: 409,
    FailureKind.EVACUATED: 503,
    FailureKind.DRAINING: 503,
    FailureKind.NOT_READY: 503,
    FailureKind.MALFORMED: 400,
    FailureKind.UNKNOWN_CALLER: 401,
    FailureKind.FORBIDDEN: 403,
    FailureKind.NOT_FOUND: 404,
    FailureKind.HUNG_UP: 499,
    FailureKind.ALLOWANCE: 429,
}

# Failures after which the edge may retry the request itself.
RESENDABLE = frozenset(
    {
        FailureKind.UNREACHABLE,
        FailureKind.RESET,
        FailureKind.OVERLOAD,
        FailureKind.UPSTREAM,
        FailureKind.FIRST_TOKEN_TIMEOUT,
    }
)

# Failures after which the client may retry later; the error response says when (`Retry-After`).
RETRYABLE_BY_CALLER = RESENDABLE | {
    FailureKind.WAKE_TIMEOUT,
    FailureKind.TOTAL_TIMEOUT,
    FailureKind.DEADLINE,
    FailureKind.UNRECORDED,
    FailureKind.EVACUATED,
    FailureKind.DRAINING,
    FailureKind.NOT_READY,
    FailureKind.ALLOWANCE,
}
