"""Fake engine server for provisioner tests, with memory limit, disk, order sequence and fencing tokens.

It carries out one order at a time.
"""

from collections.abc import Callable
from datetime import timedelta
from typing import Any

import msgspec


class FakeEngineServer:
    """Answers requests (method, path, body, now) with (status, body) in the format of `loom/port.py`.

    `record` lists the orders and events as (time, kind, details); an order that exceeds the memory or the adapter
    places is recorded as a breach. `running` maps each model to the end of its last run, for which an unload waits.
    Reports show the state of `lag` ago. `repeat` is the status that answers a repetition of the order that is being
    carried out; such a repetition does not advance the sequence.
    """

    __slots__ = (
        "name",
        "engine",
        "models",
        "had",
        "busy",
        "sequence",
        "fence",
        "record",
        "lag",
        "shown",
        "running",
        "slowness",
        "repeat",
    )

    busy: tuple[timedelta, str, str, str] | None  # end time, verb, model and adapter of the order in progress
    slowness: Callable[[], float]
    record: list[Any]
    running: dict[Any, Any]

    def __init__(
        self, name: str, engine: Any, models: Any = (), lag: timedelta = timedelta(milliseconds=200), repeat: int = 202
    ) -> None:
        self.name, self.engine, self.lag, self.slowness = name, engine, lag, lambda: 1.0
        self.models = {model: set(adapters) for model, adapters in dict(models).items()}
        self.had, self.busy, self.sequence, self.fence = set(self.models), None, 0, 0
        self.record, self.running, self.repeat = [], {}, repeat
        self.shown = [(timedelta(0), self._report())]

    def take(self, method: str, path: str, body: bytes, now: timedelta) -> tuple[int, bytes]:
        """Returns the status and body of the answer to a request; every request but GET /report is an order."""
        self._settle(now)
        if (method, path) == ("GET", "/report"):
            return 200, msgspec.json.encode(self._shown(now))
        order = msgspec.json.decode(body)
        answer = self._order(
            order["verb"], order["model"], order.get("adapter", ""), order["fence"], order.get("sequence"), now
        )
        self.shown.append((now, self._report()))
        return answer, b""

    def restart(self, now: timedelta) -> None:
        """Restarts the server with no models and with fence and sequence at zero; the disk keeps its models."""
        self.models, self.busy, self.sequence, self.fence = {}, None, 0, 0
        self.shown = [(now, self._report())]

    def _order(self, verb: str, model: Any, adapter: str, fence: int, sequence: int | None, now: timedelta) -> Any:
        self.record.append((now, "order", (verb, model, adapter, fence)))
        if fence < self.fence:
            self.record.append((now, "old fence", (fence, self.fence)))
            return 412
        self.fence = fence
        if self.busy is not None:
            return self.repeat if self.busy[1:] == (verb, model, adapter) else 409
        holds = model in self.models and (not adapter or adapter in self.models[model])
        if holds == (verb == "load"):
            return 200
        if sequence is not None and sequence != self.sequence:
            return 409
        items = {item.name: item for item in self.engine.models}
        if verb == "load" and adapter and model not in self.models:
            return 400
        self.sequence += 1
        if verb == "unload":
            span = (
                timedelta(milliseconds=2)
                if adapter
                else max(timedelta(milliseconds=3), self.running.get(model, now) - now)
            )
        elif adapter:
            span = timedelta(milliseconds=12)
            if (
                sum(map(len, self.models.values())) + 1 > self.engine.adapter_places
                or self._used(items) + items[model].adapter_mb > self.engine.memory_mb
            ):
                self.record.append((now, "breach", (verb, model, adapter)))
        else:
            is_stored = model not in self.had
            span = timedelta(milliseconds=items[model].load_ms) * (self.slowness() if is_stored else 0.3)
            self.record.append((now, "stored" if is_stored else "own", model))
            if self._used(items) + items[model].size_mb > self.engine.memory_mb:
                self.record.append((now, "breach", (verb, model, adapter)))
        self.busy = (now + span, verb, model, adapter)
        return 202

    def _used(self, items: Any) -> Any:
        return sum(
            items[model].size_mb + len(adapters) * items[model].adapter_mb for model, adapters in self.models.items()
        )

    def _settle(self, now: timedelta) -> None:
        if self.busy is None or now < self.busy[0]:
            return
        at, verb, model, adapter = self.busy
        self.busy = None
        if verb == "load" and adapter:
            self.models.setdefault(model, set()).add(adapter)
        elif verb == "load":
            self.models[model] = set()
            self.had.add(model)
        elif adapter:
            self.models.get(model, set()).discard(adapter)
        else:
            self.models.pop(model, None)
        self.shown.append((at, self._report()))

    def _report(self) -> dict[str, Any]:
        models = [{"name": model, "adapters": sorted(adapters)} for model, adapters in self.models.items()]
        return {
            "models": models,
            "busy": self.busy is not None,
            "sequence": self.sequence,
            "waiting": 0,
            "running": 0,
            "cacheUsed": 0,
            "cacheTotal": 0,
        }

    def _shown(self, now: timedelta) -> Any:
        known = [item for item in self.shown if item[0] <= now - self.lag] or self.shown[:1]
        self.shown = self.shown[len(known) - 1 :]
        return known[-1][1]
