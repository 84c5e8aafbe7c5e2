"""Error replies to callers, with a `Retry-After` header where a retry may succeed."""

from typing import Any

import msgspec

from sumachook.host.effects import Reply
from sumachook.inference.request_table import RequestTable
from sumachook.requests.failures import RETRYABLE_BY_CALLER, RequestFailure

JSON = {"Content-Type": "application/json"}
# Default Retry-After in seconds where no server stated one; randomized so that callers do not all retry at once.
MIN_RETRY_AFTER_S = 1
RETRY_AFTER_SPREAD_S = 2


class Refuse:
    """Replies to a request with the failure that ended it."""

    __slots__ = ("table",)

    def __init__(self, table: RequestTable) -> None:
        self.table = table

    def take(
        self,
        call_id: Any,
        failure: RequestFailure,
        request_id: str = "",
        tries: int = 0,
        run: str = "no",
        retry_after: float | None = None,
    ) -> list[Any]:
        """Returns the error reply; `run` states whether the request may have run, `retry_after` is in seconds."""
        self.table.count("refused", failure.name)
        headers = dict(JSON)
        body = {"class": failure.name, "reason": failure.reason, "tries": tries, "run": run, "request": request_id}
        if failure.kind in RETRYABLE_BY_CALLER:
            if retry_after is None:
                retry_after = MIN_RETRY_AFTER_S + self.table.random.random() * RETRY_AFTER_SPREAD_S
            body["retryAfterSeconds"] = round(retry_after, 2)
            headers["Retry-After"] = str(max(1, round(retry_after)))
        return [Reply(call_id, failure.status, headers, msgspec.json.encode({"fault": body}))]
