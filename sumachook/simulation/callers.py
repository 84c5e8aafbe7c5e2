"""Simulated clients that send a deployment's traffic and record every request and its outcome."""

from datetime import timedelta
from random import Random
from typing import Any

import msgspec

from sumachook.calls.run_status import CallFailure
from sumachook.host.effects import CancelCall, Exit, Fetch
from sumachook.host.events import (
    CallEvent,
    CallFailed,
    Event,
    RequestSent,
    ResponseEnded,
    ResponseHeadReceived,
    ResponseReceived,
    ServerEventReceived,
    StopRequested,
    Tick,
)

CONNECT_TIMEOUT = timedelta(seconds=2)
PENDING, OK, FAULT, CUT, NONE = "pending", "ok", "fault", "cut", "none"


class Call:
    """A request of a client with the outcome that the client recorded."""

    __slots__ = (
        "number",
        "kind",
        "group",
        "edge",
        "sent_at",
        "ended_at",
        "outcome",
        "status",
        "run",
        "fault_class",
        "request",
        "text",
        "first_token_at",
        "finish_reason",
        "is_stream",
        "patience",
        "moves",
        "model",
        "key",
        "safe",
        "tag",
        "has_moved",
        "is_done",
        "caller",
        "tried_zones",
    )

    ended_at: timedelta | None
    status: int | None
    run: str | None
    fault_class: str | None
    first_token_at: timedelta | None
    finish_reason: str | None

    def __init__(
        self,
        number: int,
        tag: str,
        group: dict[str, Any],
        edge: Any,
        now: timedelta,
        model: Any,
        patience: timedelta,
        safe: bool,
        moves: int = 0,
        tried_zones: tuple[str, ...] = (),
    ) -> None:
        self.tag, self.caller, self.tried_zones = tag, group["caller"], tried_zones
        self.number, self.group, self.edge, self.sent_at, self.model = number, group["name"], edge, now, model
        self.kind, self.is_stream, self.patience, self.safe = group["kind"], group.get("stream", True), patience, safe
        self.ended_at, self.outcome, self.status, self.run, self.fault_class, self.request = (
            None,
            PENDING,
            None,
            None,
            None,
            "",
        )
        self.text, self.first_token_at, self.finish_reason, self.moves, self.key, self.has_moved, self.is_done = (
            "",
            None,
            None,
            moves,
            "",
            False,
            False,
        )


class Callers:
    """State machine that sends requests at the deployment's traffic rates and keeps each call.

    A client has one edge address in each zone. If its connection is refused, or the node answers that it is draining,
    evacuated or not ready, the client sends the request at once to an edge of a zone not tried yet; it retries in no
    other case. In a traffic group, `keyed` is the share of prompts with an idempotency key, and `again` the share of
    those that are sent a second time under the same key to another edge, as after a double click
    (docs/design/simulation.md).
    """

    __slots__ = (
        "edges",
        "groups",
        "callers",
        "random",
        "calls",
        "open",
        "next_request_at",
        "is_on",
        "pace",
        "start_at",
        "stop_after",
        "name",
        "zones",
    )

    calls: list[Call]
    open: dict[int, Call]

    def __init__(
        self,
        edges: dict[str, Any],
        traffic: list[Any],
        catalogue: dict[str, Any],
        random: Random,
        now: timedelta,
        pace: float = 1.0,
        stop_after: timedelta | None = None,
        name: str = "callers",
        zones: dict[str, str] | None = None,
    ) -> None:
        self.name = name
        self.zones = {edge: (zones or {}).get(edge, edge) for edge in edges}  # without zones, each edge is its own zone
        self.edges, self.groups, self.random = dict(edges), traffic, random
        self.callers = {caller["name"]: caller for caller in catalogue["callers"]}
        self.calls, self.open, self.is_on, self.pace, self.start_at, self.stop_after = (
            [],
            {},
            True,
            pace,
            now,
            stop_after,
        )
        self.next_request_at = {
            group["name"]: now + timedelta(seconds=random.expovariate(group["rate"] * pace)) for group in traffic
        }

    def take(self, event: Event, now: timedelta) -> list[Any]:
        """Handles an event and returns the resulting effects; the clients exit on a stop request."""
        if isinstance(event, Tick):
            return self._tick(now)
        if isinstance(event, CallEvent):
            return self._handle_call(event, now)
        return [Exit(0)] if isinstance(event, StopRequested) else []

    def _tick(self, now: timedelta) -> list[Any]:
        out = []
        if self.stop_after is not None and now - self.start_at > self.stop_after:
            self.is_on = False
            if not self.open:
                return [Exit(0)]
        for group in self.groups:
            while self.is_on and now >= self.next_request_at[group["name"]]:
                self.next_request_at[group["name"]] += timedelta(
                    seconds=self.random.expovariate(group["rate"] * self.pace)
                )
                out += self._send_new_request(group, now)
        for number, call in list(self.open.items()):
            if now - call.sent_at > call.patience * 1.5 + timedelta(seconds=5):
                del self.open[number]
                call.outcome, call.ended_at = NONE, now
                out.append(CancelCall(("call", number)))
        return out

    def _send_new_request(self, group: dict[str, Any], now: timedelta) -> list[Any]:
        is_keyed = group.get("keyed") and self.random.random() < group["keyed"]
        key = f"{self.name}-{len(self.calls)}" if is_keyed else ""
        out = self.ask(group, now, key=key)
        if is_keyed and self.random.random() < group.get("again", 0.0):
            first = self.calls[-1]
            others = [edge for edge in sorted(self.edges) if edge != first.edge]
            out += self.ask(group, now, self.random.choice(others) if others else None, first.model, key)
        return out

    def ask(
        self,
        group: dict[str, Any],
        now: timedelta,
        edge: Any = None,
        model: Any = None,
        key: str = "",
        moves: int = 0,
        tried_zones: tuple[str, ...] = (),
    ) -> list[Any]:
        """Records a new call of the traffic group and returns the effect that sends its request.

        Without `edge` or `model` a random one is chosen.
        """
        caller = self.callers[group["caller"]]
        edge = edge or self.random.choice(sorted(self.edges))
        is_lookup = group["kind"] == "lookup"
        model = None if is_lookup else model or self._choose_model(group)
        patience = timedelta(seconds=caller.get("lookupPatience", 5.0) if is_lookup else caller["patience"])
        number = len(self.calls)
        tag = f"{self.name} {number}"
        call = Call(
            number,
            tag,
            group,
            edge,
            now,
            model,
            patience,
            is_lookup or caller.get("safe", False),
            moves,
            (*tried_zones, self.zones.get(edge, edge)),
        )
        call.key = key
        self.calls.append(call)
        self.open[number] = call
        headers = {"Authorization": f"Bearer {caller['key']}", "X-Request-Id": tag}
        if is_lookup:
            method, path, body = "GET", f"/records/{group.get('prefix', 'r')}{number}", b""
        else:
            headers["Content-Type"] = "application/json"
            if key:
                headers["Idempotency-Key"] = key
            method, path = "POST", "/v1/chat/completions"
            body = msgspec.json.encode(
                {
                    "model": model,
                    "stream": call.is_stream,
                    "max_tokens": group.get("maxTokens", 64),
                    "messages": [{"role": "user", "content": tag}],
                }
            )
        mode = "events" if not is_lookup and call.is_stream else "whole"
        limit = patience * 1.5 + timedelta(seconds=5)
        url = f"http://{self.edges[edge]}{path}"
        return [Fetch(("call", number), method, url, headers, body, CONNECT_TIMEOUT, limit, mode)]

    def _choose_model(self, group: dict[str, Any]) -> Any:
        """Chooses a model of the group at random, weighted 1, 1/2, 1/3 and so on in their order (Zipf)."""
        names = group["models"]
        return self.random.choices(names, [1 / place for place in range(1, len(names) + 1)])[0]

    def _handle_call(self, event: CallEvent, now: timedelta) -> list[Any]:
        _, number = event.call_id
        call = self.open.get(number)
        if call is None or isinstance(event, RequestSent):
            return []
        match event:
            case ResponseHeadReceived(_, status, headers):
                call.status, call.request = status, headers.get("x-request-id", "")
                return []
            case ServerEventReceived(_, _, data):
                return self._handle_server_event(call, data, now)
            case ResponseReceived(_, status, headers, body):
                return self._handle_whole_response(call, status, headers, body, now)
            case ResponseEnded():
                return self._end_call(call, OK if call.is_done else CUT, now)
            case CallFailed(_, failure):
                return self._handle_failure(call, failure, now)
        raise TypeError(f"callers cannot handle the event {event!r}")

    def _handle_failure(self, call: Any, failure: str, now: timedelta) -> list[Any]:
        call.fault_class = call.fault_class or failure
        if CallFailure(failure).was_before_first_byte:
            return self._end_call(call, NONE, now) + self._resend_in_another_zone(call, now)
        return self._end_call(call, CUT if call.status == 200 else NONE, now)

    def _handle_server_event(self, call: Any, data: str, now: timedelta) -> list[Any]:
        if data == "[DONE]":
            call.is_done = True
            return []
        doc = msgspec.json.decode(data)
        if "fault" in doc:
            call.fault_class, call.run = doc["fault"]["class"], doc["fault"]["run"]
            return []
        choice = (doc.get("choices") or [{}])[0]
        text = choice.get("delta", {}).get("content") or ""
        if text and call.first_token_at is None:
            call.first_token_at = now
        call.text += text
        call.finish_reason = choice.get("finish_reason") or call.finish_reason
        return []

    def _handle_whole_response(self, call: Any, status: int, headers: Any, body: bytes, now: timedelta) -> list[Any]:
        call.status, call.request = status, headers.get("x-request-id", "")
        if status == 200:
            call.is_done, call.run = True, "yes"
            if call.kind == "prompt":
                doc = msgspec.json.decode(body)
                call.text, call.finish_reason = (
                    doc["choices"][0]["message"]["content"],
                    doc["choices"][0]["finish_reason"],
                )
            else:
                call.text = msgspec.json.decode(body)["id"]
            return self._end_call(call, OK, now)
        doc = msgspec.json.decode(body)
        fault = doc.get("fault", {}) if isinstance(doc, dict) else {}
        call.fault_class, call.run, call.request = fault.get("class"), fault.get("run"), fault.get("request", "")
        out = self._end_call(call, FAULT, now)
        return (
            out + self._resend_in_another_zone(call, now)
            if call.fault_class in ("draining", "evacuated", "not-ready") and call.run == "no"
            else out
        )

    def _end_call(self, call: Any, outcome: str, now: timedelta) -> list[Any]:
        call.outcome, call.ended_at = outcome, now
        self.open.pop(call.number, None)
        return []

    def _resend_in_another_zone(self, call: Any, now: timedelta) -> list[Any]:
        """Resends a request that was certainly not run to an edge in a zone not tried yet, at most twice."""
        others = [edge for edge in sorted(self.edges) if self.zones[edge] not in call.tried_zones]
        if call.moves >= 2 or not others:
            return []
        group = next((group for group in self.groups if group["name"] == call.group), None)
        if group is None:
            return []
        call.has_moved = True
        return self.ask(group, now, self.random.choice(others), call.model, call.key, call.moves + 1, call.tried_zones)
