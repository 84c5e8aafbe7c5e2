"""Quota charges of prompts: estimated tokens at admission, actual tokens at the end."""

from typing import Any

from sumachook.host.events import Body
from sumachook.inference.inference_request import InferenceRequest
from sumachook.quotas.events import Pipeline
from sumachook.requests.quota_charge import QuotaCharge

CHARS_PER_TOKEN = 4  # estimate for a prompt, whose tokens are not counted before it runs


class InferenceQuotaCharge(QuotaCharge):
    """Charges a prompt for its text and the longest possible answer, and refunds the answer tokens not generated."""

    __slots__ = ()

    def __init__(self) -> None:
        super().__init__(Pipeline.INFERENCE)

    def estimate(self, request: InferenceRequest, body: Body) -> int:
        """Returns the estimated tokens of the prompt plus the maximum tokens of the answer; 0 for a lookup."""
        return -(-len(body) // CHARS_PER_TOKEN) + int(request.body["max_tokens"]) if request.body else 0

    def unused_tokens(self, request: Any, is_done: bool) -> int | None:
        """Returns the charged answer tokens that were not generated, or None unless a prompt got its whole answer."""
        return request.body["max_tokens"] - request.tokens if request.body and is_done else None
