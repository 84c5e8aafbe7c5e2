"""JSON responses to callers of a node's HTTP address."""

from typing import Any

import msgspec

from sumachook.host.effects import Reply
from sumachook.host.events import CallId

JSON = {"Content-Type": "application/json"}


def reply(call_id: CallId, status: int, body: Any, retry_after: float | None = None) -> Reply:
    """Creates the response to a call with a JSON document; `retry_after` is in seconds."""
    headers = {**JSON, "Retry-After": str(retry_after)} if retry_after else JSON
    return Reply(call_id, status, headers, msgspec.json.encode(body))


def fault_reply(
    call_id: CallId, status: int, name: str, reason: str, retry_after: float | None = None, **more: Any
) -> Reply:
    """Creates an error response with a fault class and reason; `more` adds fields beside these."""
    return reply(call_id, status, {"fault": {"class": name, "reason": reason, **more}}, retry_after)


def internal_error(call_id: CallId) -> Reply:
    """Creates the 500 response to a request that failed because of an exception; the log has its cause."""
    return fault_reply(call_id, 500, "inner", "see the log")


def redirect(call_id: CallId, http_address: str, path: str) -> Reply:
    """Creates a 307 redirect to this path at another node; it states that nothing was applied."""
    body = {"fault": {"class": "redirected", "reason": f"ask {http_address}", "applied": "no"}}
    headers = {**JSON, "Location": f"http://{http_address}{path}"}
    return Reply(call_id, 307, headers, msgspec.json.encode(body))
