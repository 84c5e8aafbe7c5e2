"""Charges forwarded requests to the quota of their tenant."""

from typing import Any

from sumachook.quotas.events import Pipeline
from sumachook.requests.quota_charge import QuotaCharge


class ForwardingQuotaCharge(QuotaCharge):
    """Charges a request the tokens that its client declares, and refunds those that an event stream did not produce."""

    __slots__ = ("table",)

    def __init__(self, table: Any) -> None:
        super().__init__(Pipeline.PROXY)
        self.table = table

    def unused_tokens(self, request: Any, is_done: bool) -> int | None:
        """Returns the unused tokens of an event stream, or None for other responses.

        Each event of a stream counts as `stride` tokens, a property of the service's engine.
        """
        if not request.is_event_stream:
            return None
        service = self.table.services.get(request.service)
        stride = service.engine.stride if service is not None and service.engine is not None else 1
        unused: int = request.metadata.max_tokens - request.events * stride
        return unused
