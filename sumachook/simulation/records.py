"""Simulated server of the records service."""

from datetime import timedelta
from typing import Any

import msgspec

from sumachook.host.effects import Exit, Reply
from sumachook.host.events import Event, HttpRequestReceived, StopRequested

JSON = {"Content-Type": "application/json"}


class RecordsServer:
    """State machine that answers lookups at once, except for ids that begin with `none` (docs/design/simulation.md)."""

    __slots__ = ("name", "is_dark", "is_busy")

    def __init__(self, name: str) -> None:
        self.name, self.is_dark, self.is_busy = name, False, False

    def take(self, event: Event, now: timedelta) -> list[Any]:
        """Handles an event and returns the resulting effects; answers nothing while `is_dark` is set."""
        if isinstance(event, StopRequested):
            return [Exit(0)]
        if not isinstance(event, HttpRequestReceived) or self.is_dark:
            return []
        if self.is_busy:
            return [Reply(event.call_id, 503, JSON, b'{"error":"busy"}')]
        record = event.path.rpartition("/")[2]
        if event.method != "GET" or not event.path.startswith("/records/") or record.startswith("none"):
            return [Reply(event.call_id, 404, JSON, b'{"error":"no such record"}')]
        body = msgspec.json.encode({"id": record, "condition": "stamped", "by": self.name})
        return [Reply(event.call_id, 200, JSON, body)]
