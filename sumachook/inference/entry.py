"""Entry of an admitted request into the pipeline: opens its ledger record, after which it is queued."""

from typing import Any

from sumachook.inference.inference_request import PROMPT, InferenceRequest
from sumachook.inference.request_table import RequestTable
from sumachook.ledger.events import RequestOpened
from sumachook.retry_budget.budget import inference_key


class Entry:
    """Counts a request for the retry budget and for model demand, and opens its ledger record."""

    __slots__ = ("table",)

    def __init__(self, table: RequestTable) -> None:
        self.table = table

    def take(self, request: InferenceRequest) -> list[Any]:
        """Counts the request and opens its record; called at once, or after the quota of its tenant was granted."""
        self.table.retry_budget.earn(inference_key(request.kind))
        self.table.count("admitted", request.kind)
        if request.kind == PROMPT:
            for name in dict.fromkeys((request.name, request.model.name)):
                self.table.demand[name] = self.table.demand.get(name, 0) + 1
        return [RequestOpened(self.table.record(request), request.is_safe)]
