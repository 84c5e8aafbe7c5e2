"""Claims tenant quota for a request, and refunds the unused part when the request ends."""

from datetime import timedelta
from typing import Any

from sumachook.calls.run_status import RunStatus
from sumachook.quotas.events import AdmissionKey, AdmissionRequested, Pipeline, UsageSettled
from sumachook.requests.in_flight_request import InFlightRequest


class QuotaCharge:
    """Charges requests to tenant quotas: one that did not run is refunded in full, one that ran its unused tokens."""

    __slots__ = ("pipeline",)

    def __init__(self, pipeline: Pipeline) -> None:
        self.pipeline = pipeline

    def claim(self, request: InFlightRequest, key: int | str, now: timedelta) -> list[Any]:
        """Requests admission for the tokens of a request; `key` is its key in the request table."""
        if request.tenant is None:
            return []
        admission_key = AdmissionKey(self.pipeline, key)
        return [AdmissionRequested(admission_key, request.tenant, request.charged_tokens, request.deadline - now)]

    def settle(self, request: InFlightRequest, key: int | str, is_done: bool) -> list[Any]:
        """Refunds the quota that the request claimed but did not use."""
        if request.tenant is None or request.is_yielding or request.quota_details:
            return []
        admission_key = AdmissionKey(self.pipeline, key)
        if request.run_status is RunStatus.NOT_RUN and not is_done:
            return [UsageSettled(admission_key, request.tenant, 1, request.charged_tokens)]
        unused = self.unused_tokens(request, is_done)
        return [] if unused is None else [UsageSettled(admission_key, request.tenant, 0, max(0, unused))]

    def unused_tokens(self, request: Any, is_done: bool) -> int | None:
        """Returns how many claimed tokens were not generated, or None if the pipeline does not count them."""
        raise NotImplementedError
