"""Deduplicates operators' requests by their request ids."""

from collections.abc import Callable

from sumachook.control_state.fields import CompletedRequest, StateFields
from sumachook.control_state.results import ChangeResult, Outcome, rejected

MAX_REQUESTS = 1000  # completed requests that are kept for deduplication; an operator retries a request within seconds


def run_once(
    state: StateFields, request: str, content_digest: str, apply_change: Callable[[], ChangeResult]
) -> ChangeResult:
    """Runs `apply_change` for a new request id, and returns the stored result for a repeat of a completed request.

    The same id with other content is rejected. A request without an id is always run.
    """
    if not request:
        return apply_change()
    completed = state.requests.get(request)
    if completed is not None:
        is_repeat = completed.content_digest == content_digest
        return completed.result if is_repeat else rejected("request", "this id belongs to another order")
    result = apply_change()
    if result.outcome is not Outcome.UNKNOWN:
        state.requests[request] = CompletedRequest(content_digest, result.truncated())
        while len(state.requests) > MAX_REQUESTS:
            del state.requests[next(iter(state.requests))]
    return result
