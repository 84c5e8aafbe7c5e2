"""The pipeline pass that handles the rate limiter's decisions on requests waiting for quota."""

from datetime import timedelta
from typing import Any

from sumachook.quotas.effects import AdmissionDecision, AdmissionDenied, AdmissionGranted
from sumachook.requests.failures import FailureKind


class QuotaDecision:
    """Lets granted requests proceed, with low priority if over quota, and ends denied ones as not run."""

    __slots__ = ("entry", "settle", "table")

    def __init__(self, table: Any, entry: Any, settle: Any) -> None:
        self.table = table
        self.entry = entry
        self.settle = settle

    def take(self, decision: AdmissionDecision, now: timedelta) -> list[Any]:
        """Processes `decision`, the rate limiter's reply to an `AdmissionRequested`."""
        request = self.table.requests.get(decision.key.request)
        if request is None:
            return []
        match decision:
            case AdmissionGranted():
                request.is_yielding = decision.is_yielding
                entered: list[Any] = self.entry.take(request)
                return entered
            case AdmissionDenied():
                request.retry_after = decision.retry_after_s
                request.quota_details = decision.record_fields
                settled: list[Any] = self.settle.take(request, FailureKind.ALLOWANCE.because(decision.reason), now)
                return settled
        raise TypeError(f"unexpected rate limiter decision: {decision!r}")
