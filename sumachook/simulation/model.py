"""Simulated model server that streams answers, loads models and records what it ran."""

from datetime import timedelta
from typing import Any
from zlib import crc32

import msgspec
from assel import Event, send

from sumachook.host.effects import BeginResponse, EndResponse, Exit, Reply, SendChunk
from sumachook.host.events import Body, ClientDisconnected, HttpRequestReceived, StopRequested, Tick

JSON = {"Content-Type": "application/json"}
EVENTS_PER_RUN = 8
KEEP_DISCONNECTED = timedelta(seconds=5)
WARMING_STEP, WARMING_PERIOD = timedelta(seconds=1.5), timedelta(seconds=4.5)
ALL_MODELS = "all models"


def max_while_warming(age: timedelta) -> int:
    """Returns the bound of rule 8 on requests at a model or server that has been warming for `age`.

    Edges allow two at first, doubled every 1.5 s (docs/design/inference.md). The bound is twice that, since edges may
    disagree on which other edges exist.
    """
    return 4 << int(age / WARMING_STEP)


class Record:
    """Record of the runs and orders of one server; it survives the server's crashes (docs/design/simulation.md).

    `runs` counts the runs of each call by its tag. `broken` lists orders that no server may ever get, `stale` the
    orders under old fencing tokens. `warm_peak` is the largest number of requests running or queued, of a model or of
    all, in the first step of warming, `floods` the times when that number exceeded its bound in this or a later step.
    """

    __slots__ = ("runs", "broken", "loads", "warm_peak", "stale", "orders", "floods")

    runs: dict[str, int]
    broken: list[Any]
    loads: list[Any]
    warm_peak: dict[Any, Any]
    stale: list[Any]
    orders: list[Any]
    floods: list[Any]

    def __init__(self) -> None:
        self.runs, self.broken, self.loads, self.warm_peak, self.stale, self.orders, self.floods = (
            {},
            [],
            [],
            {},
            [],
            [],
            [],
        )

    def server_record(self) -> dict[str, Any]:
        """Returns the document that `/proof` answers with; `orders` is not part of it."""
        return {
            "runs": self.runs,
            "broken": self.broken,
            "loads": self.loads,
            "warmPeak": self.warm_peak,
            "stale": self.stale,
            "floods": self.floods,
        }


class Run:
    """A prompt that runs or is queued, with the events generated so far."""

    __slots__ = (
        "request",
        "cid",
        "model",
        "requested_model",
        "events",
        "generated",
        "token_count",
        "started_at",
        "event_interval",
        "disconnected_at",
        "is_done",
        "sent_count",
        "has_head",
        "tag",
    )

    events: list[Any]
    started_at: timedelta  # set, with `event_interval`, when the run begins
    event_interval: timedelta
    disconnected_at: timedelta | None

    def __init__(self, request: Any, cid: Any, model: Any, requested_model: Any, token_count: int, tag: str) -> None:
        self.tag, self.request, self.cid, self.model, self.requested_model, self.token_count = (
            tag,
            request,
            cid,
            model,
            requested_model,
            token_count,
        )
        self.events, self.generated, self.disconnected_at, self.is_done = [], 0, None, False
        self.sent_count, self.has_head = 0, False


class ModelServer:
    """State machine of a model server that records its runs and orders (docs/design/simulation.md)."""

    __slots__ = (
        "name",
        "memory",
        "places",
        "slots",
        "sizes",
        "adapters",
        "rates",
        "held",
        "active",
        "waiting",
        "by_request",
        "record",
        "fence",
        "is_dark",
        "has_ids",
        "skips",
        "ends_after",
        "ready_at",
        "prefill",
        "load_rate",
        "cold_at",
        "is_busy",
        "says_done",
    )

    active: dict[Any, Any]
    waiting: list[Any]
    by_request: dict[Any, Any]
    ready_at: dict[Any, Any]

    cold_at: timedelta | None
    ends_after: int | None

    def __init__(
        self,
        listed: dict[str, Any],
        catalogue: dict[str, Any],
        held: Any = (),
        load_rate: float = 4.0,
        has_ids: bool = True,
        record: Any = None,
    ) -> None:
        self.name, self.memory, self.places, self.slots = (
            listed["name"],
            listed["memory"],
            listed["places"],
            listed["slots"],
        )
        self.sizes = {model["name"]: model["memory"] for model in catalogue["models"]}
        self.rates = {model["name"]: model["decodeRate"] for model in catalogue["models"]}
        self.adapters = {adapter["name"]: adapter["model"] for adapter in catalogue.get("adapters", ())}
        self.held: dict[str, str | timedelta] = dict.fromkeys((*held, *listed.get("holds", ())), "loaded")
        self.active, self.waiting, self.by_request, self.record = {}, [], {}, record or Record()
        self.fence, self.is_dark, self.has_ids, self.skips, self.ends_after, self.is_busy, self.says_done = (
            0,
            False,
            has_ids,
            0,
            None,
            False,
            False,
        )
        self.ready_at, self.prefill, self.load_rate, self.cold_at = {}, timedelta(seconds=0.1), load_rate, None

    def take(self, event: Event, now: timedelta) -> list[Any]:
        """Handles an event and returns the resulting effects."""
        match event:
            case Tick():
                return self._tick(now)
            case ClientDisconnected(call_id):
                return self._handle_disconnect(call_id, now)
            case HttpRequestReceived(call_id, method, path, headers, body):
                return self._http(call_id, method, path, headers, body, now)
            case StopRequested():
                return [Exit(0)]
        return []

    def _http(self, cid: Any, method: str, path: str, headers: Any, body: Body, now: timedelta) -> list[Any]:
        if self.is_dark:
            return []
        if path == "/models":
            data = [
                {"id": name, "status": {"value": value if isinstance(value, str) else "loading"}}
                for name, value in self.held.items()
                if name in self.sizes
            ]
            return [_reply(cid, 200, {"data": data})]
        if path == "/v1/models":
            adapters: list[dict[str, str | None]] = [
                {"id": name, "parent": self.adapters.get(name)}
                for name, value in self.held.items()
                if value == "loaded"
            ]
            return [_reply(cid, 200, {"object": "list", "data": adapters})]
        if path == "/proof":
            return [_reply(cid, 200, self.record.server_record())]
        if method == "POST" and path == "/v1/chat/completions":
            return self._prompt(cid, headers, msgspec.json.decode(body), now)
        if method == "GET" and path.startswith("/v1/chat/completions/"):
            return self._resume(cid, path.rpartition("/")[2], headers, now)
        if method == "POST":
            return self._order(cid, path, headers, msgspec.json.decode(body), now)
        return [_reply(cid, 404, {"error": {"message": "not found"}})]

    # orders ------------------------------------------------------------------------

    def _order(self, cid: Any, path: str, headers: Any, body: dict[str, Any], now: timedelta) -> list[Any]:
        fence = int(headers.get("x-sumachook-fence", "0"))
        if fence < self.fence:
            self.record.stale.append((now.total_seconds(), fence, self.fence))
            return [_reply(cid, 409, {"error": {"message": f"fence {fence} is older than {self.fence}"}})]
        self.fence = fence
        name: str = body.get("model") or body.get("lora_name", "")
        is_adapter = "lora" in path
        self.record.orders.append((now, fence, path, name))
        if "unload" in path:
            for item in [name] + [adapter for adapter, model in self.adapters.items() if model == name]:
                self.held.pop(item, None)
            return [_reply(cid, 200, {"success": True})]
        if name in self.held:
            return [_reply(cid, 400, {"error": {"message": "already loaded"}})]
        if name not in self.sizes and name not in self.adapters:
            return [_reply(cid, 404, {"error": {"message": "no such weights"}})]
        size = 0.1 if is_adapter else self.sizes.get(name, 0.0)
        if self._used() + size > self.memory + 1e-6:
            self.record.broken.append(f"{self.name}: {name} beyond memory, {self._used()} + {size} of {self.memory}")
            return [_reply(cid, 507, {"error": {"message": "out of memory"}})]
        if is_adapter and sum(item in self.adapters for item in self.held) >= self.places:
            self.record.broken.append(f"{self.name}: {name} beyond {self.places} adapter places")
            return [_reply(cid, 507, {"error": {"message": "no adapter place"}})]
        if is_adapter and self.held.get(self.adapters.get(name, "")) != "loaded":
            return [_reply(cid, 400, {"error": {"message": "base model is not loaded"}})]
        self.held[name] = now + timedelta(seconds=size / self.load_rate + 0.2)
        self.record.loads.append((now.total_seconds(), size, name))
        return [_reply(cid, 200, {"success": True})]

    def _used(self) -> float:
        used: float = sum(self.sizes.get(name, 0.1) for name in self.held)
        return used

    # prompts -------------------------------------------------------------------------

    def _prompt(self, cid: Any, headers: Any, body: dict[str, Any], now: timedelta) -> list[Any]:
        requested_model, request = body["model"], headers.get("x-request-id", "")
        model = self.adapters.get(requested_model, requested_model)
        if self.held.get(requested_model) != "loaded" or self.held.get(model) != "loaded":
            return [_reply(cid, 404, {"error": {"message": f"model {requested_model} is not loaded"}})]
        if self.is_busy or len(self.active) + len(self.waiting) >= self.slots * 3:
            return [Reply(cid, 429, {**JSON, "Retry-After": "1"}, b'{"error":{"message":"busy"}}')]
        token_count = min(body.get("max_tokens", 64), 12 + crc32(request.encode()) % 60)
        tag = str(body["messages"][-1].get("content"))
        run = Run(request, cid, model, requested_model, token_count, tag)
        self.record.runs[tag] = self.record.runs.get(tag, 0) + 1
        self.by_request[request] = run
        self.waiting.append(run)
        pending_runs = [other for other in [*self.active.values(), *self.waiting] if other.disconnected_at is None]
        self._note_warming(model, self.ready_at.get(model), sum(other.model == model for other in pending_runs), now)
        self._note_warming(ALL_MODELS, self.cold_at, len(pending_runs), now)
        self._begin(now)
        return []

    def _note_warming(self, what: str, since: Any, busy: int, now: timedelta) -> None:
        age = now - since if since is not None else WARMING_PERIOD
        if age >= WARMING_PERIOD:
            return
        if age < WARMING_STEP:
            self.record.warm_peak[what] = max(self.record.warm_peak.get(what, 0), busy)
        if busy > max_while_warming(age):
            self.record.floods.append((what, now.total_seconds(), age.total_seconds(), busy, max_while_warming(age)))

    def _begin(self, now: timedelta) -> None:
        while self.waiting and len(self.active) < self.slots:
            run = self.waiting.pop(0)
            run.started_at, run.event_interval = (
                now + self.prefill,
                timedelta(seconds=run.token_count / self.rates[run.model] / EVENTS_PER_RUN),
            )
            self.active[run.request] = run

    def _finish_loads(self, now: timedelta) -> None:
        """Marks finished loads as ready; the first model on a server without loaded models makes the server cold."""
        for name, value in list(self.held.items()):
            if isinstance(value, str) or now < value:
                continue
            if name in self.sizes:
                self.ready_at[name] = now
                if not any(self.held.get(other) == "loaded" for other in self.sizes):
                    self.cold_at = now
            self.held[name] = "loaded"

    def _tick(self, now: timedelta) -> list[Any]:
        out: list[Any] = []
        self._finish_loads(now)
        if self.is_dark:
            return []  # events are kept back, since a stream cannot skip any
        for run in list(self.active.values()):
            out += self._generate_events(run, now)
            if run.is_done:
                del self.active[run.request]
        self._begin(now)
        for request, run in list(self.by_request.items()):
            if run.disconnected_at is not None and now - run.disconnected_at > KEEP_DISCONNECTED:
                del self.by_request[request]
                self.active.pop(request, None)
                if run in self.waiting:
                    self.waiting.remove(run)
        return out

    def _generate_events(self, run: Run, now: timedelta) -> list[Any]:
        if run.disconnected_at is not None and not run.generated:
            run.is_done = True
            return []
        while run.generated <= EVENTS_PER_RUN and now >= run.started_at + run.event_interval * run.generated:
            if run.generated < EVENTS_PER_RUN:
                choice = {"index": 0, "delta": {"content": f"{run.tag}/{self.name}/{run.generated} "}}
                run.events.append({"choices": [choice], "model": run.requested_model})
            else:
                run.events.append(
                    {
                        "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}],
                        "usage": {"completion_tokens": run.token_count},
                    }
                )
            run.generated += 1
        return self._flush(run, now)

    def _flush(self, run: Run, now: timedelta) -> list[Any]:
        """Returns effects that send the client the remaining events; a disconnected client may resume later."""
        if run.disconnected_at is not None:
            run.is_done = run.generated > EVENTS_PER_RUN
            return []
        out: list[Any] = []
        if run.events and not run.has_head:
            run.has_head = True
            out.append(BeginResponse(run.cid, 200, {"Content-Type": "text/event-stream"}))
        for number in range(run.sent_count, len(run.events)):
            event_id = f"{run.request}:{number}" if self.has_ids else None
            data = msgspec.json.encode(run.events[number]).decode()
            out.append(SendChunk(run.cid, send(Event(data=data, id=event_id))))
        run.sent_count = max(run.sent_count, len(run.events))
        if (
            self.ends_after is not None and run.sent_count >= self.ends_after
        ):  # a clean end of the response without a finish reason
            run.is_done, run.disconnected_at = True, now
            done_event = [SendChunk(run.cid, send(Event(data="[DONE]")))] if self.says_done else []
            return [*out, *done_event, EndResponse(run.cid)]
        if run.generated > EVENTS_PER_RUN:
            out += [SendChunk(run.cid, send(Event(data="[DONE]"))), EndResponse(run.cid)]
            run.is_done, run.disconnected_at = True, now
        return out

    def _handle_disconnect(self, cid: Any, now: timedelta) -> list[Any]:
        for run in self.by_request.values():
            if run.cid == cid and run.disconnected_at is None:
                run.disconnected_at = now
        return []

    def _resume(self, cid: Any, request: Any, headers: Any, now: timedelta) -> list[Any]:
        run = self.by_request.get(request)
        last = headers.get("last-event-id", "")
        if not self.has_ids or run is None or not last.startswith(request + ":"):
            return [_reply(cid, 404, {"error": {"message": "nothing to resume"}})]
        run.cid, run.sent_count, run.has_head, run.disconnected_at = (
            cid,
            int(last.rpartition(":")[2]) + 1 + self.skips,
            False,
            None,
        )
        return self._flush(run, now)


def _reply(cid: Any, status: int, doc: Any) -> Any:
    return Reply(cid, status, JSON, msgspec.json.encode(doc))
