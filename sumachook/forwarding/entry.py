"""The pipeline pass that queues an admitted request for server selection."""

from typing import Any

from sumachook.forwarding.forwarded_request import ForwardedRequest
from sumachook.forwarding.request_table import RequestTable
from sumachook.retry_budget.budget import service_key


class Entry:
    """Queues admitted requests; from here on they earn retry credit and count as demand for their model."""

    __slots__ = ("table",)

    def __init__(self, table: RequestTable) -> None:
        self.table = table

    def take(self, request: ForwardedRequest) -> list[Any]:
        """Queues the request for server selection and counts it."""
        table = self.table
        table.waiting[request.number] = request
        table.newly_waiting.add(request.number)
        table.retry_budget.earn(service_key(request.service))
        table.count("admitted", request.route.kind)
        if request.service in table.models and request.may_be_configured:
            begun = table.begun_by_service.setdefault(request.service, {})
            begun[request.name] = begun.get(request.name, 0) + 1
        return []
