"""Admission decisions that the rate limiter returns to the request pipelines of its edge."""

from typing import Any

import msgspec

from sumachook.quotas.events import AdmissionKey


class AdmissionDecision(msgspec.Struct, frozen=True):
    """Base class of the responses to an `AdmissionRequested` event."""

    key: AdmissionKey


class AdmissionGranted(AdmissionDecision, frozen=True):
    """Admits the request; with `is_yielding` it is over its tenant's ceiling and runs after all other requests."""

    is_yielding: bool


class AdmissionDenied(AdmissionDecision, frozen=True):
    """Denies the request; `record_fields` are added to its log record."""

    reason: str
    retry_after_s: float
    record_fields: dict[str, Any]
