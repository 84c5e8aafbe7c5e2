"""Simulated platform that publishes the list of servers."""

from datetime import timedelta
from typing import Any

import msgspec

from sumachook.host.effects import Exit, Reply
from sumachook.host.events import Event, HttpRequestReceived, StopRequested

JSON = {"Content-Type": "application/json"}


class Platform:
    """State machine that answers GET /servers, POST /leaving {"name", "leaving"} and POST /servers {"servers"}."""

    __slots__ = ("servers", "leavings", "extra")

    leavings: dict[str, list[list[timedelta | None]]]
    extra: list[Any]

    def __init__(self, servers: list[dict[str, Any]]) -> None:
        self.servers = {server["name"]: {**server} for server in servers}
        self.leavings = {}  # server -> [[start, end or None]] of its leaving periods, for the invariant checker
        self.extra = []  # further entries of the list, valid or not

    def take(self, event: Event, now: timedelta) -> list[Any]:
        """Handles an event and returns the resulting effects; records when servers start and stop leaving."""
        self._note(now)
        if isinstance(event, StopRequested):
            return [Exit(0)]
        if not isinstance(event, HttpRequestReceived):
            return []
        call_id, method, path, body = event.call_id, event.method, event.path, event.body
        if method == "POST" and path == "/leaving":
            doc = msgspec.json.decode(body)
            if doc["name"] not in self.servers:
                return [Reply(call_id, 404, JSON, b'{"error":"no such server"}')]
            self.servers[doc["name"]]["leaving"] = doc.get("leaving", True)
        elif method == "POST" and path == "/servers":
            self.servers = {server["name"]: server for server in msgspec.json.decode(body)["servers"]}
        elif path != "/servers":
            return [Reply(call_id, 404, JSON, b'{"error":"not found"}')]
        return [Reply(call_id, 200, JSON, msgspec.json.encode({"servers": [*self.servers.values(), *self.extra]}))]

    def _note(self, now: timedelta) -> None:
        for name, server in self.servers.items():
            leaving_periods = self.leavings.setdefault(name, [])
            is_open = bool(leaving_periods) and leaving_periods[-1][1] is None
            if server.get("leaving") and not is_open:
                leaving_periods.append([now, None])
            elif not server.get("leaving") and is_open:
                leaving_periods[-1][1] = now
