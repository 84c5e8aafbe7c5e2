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
    Reports show the state of `report_delay` ago. `repeat_status` answers a repetition of the order that is being
    carried out; such a repetition does not advance the sequence.
    """

    __slots__ = (
        "name",
        "engine",
        "models",
        "stored_models",
        "busy",
        "sequence",
        "fence",
        "record",
        "report_delay",
        "reports",
        "running",
        "load_slowdown",
        "repeat_status",
    )

    busy: tuple[timedelta, str, str, str] | None  # end time, verb, model and adapter of the order in progress
    load_slowdown: Callable[[], float]
    record: list[Any]
    running: dict[Any, Any]

    def __init__(
        self,
        name: str,
        engine: Any,
        models: Any = (),
        report_delay: timedelta = timedelta(milliseconds=200),
        repeat_status: int = 202,
    ) -> None:
        self.name, self.engine, self.report_delay, self.load_slowdown = name, engine, report_delay, lambda: 1.0
        self.models = {model: set(adapters) for model, adapters in dict(models).items()}
        self.stored_models, self.busy, self.sequence, self.fence = set(self.models), None, 0, 0
        self.record, self.running, self.repeat_status = [], {}, repeat_status
        self.reports = [(timedelta(0), self._report())]

    def take(self, method: str, path: str, body: bytes, now: timedelta) -> tuple[int, bytes]:
        """Returns the status and body of the answer to a request; every request but GET /report is an order."""
        self._finish_order(now)
        if (method, path) == ("GET", "/report"):
            return 200, msgspec.json.encode(self._delayed_report(now))
        order = msgspec.json.decode(body)
        answer = self._order(
            order["verb"], order["model"], order.get("adapter", ""), order["fence"], order.get("sequence"), now
        )
        self.reports.append((now, self._report()))
        return answer, b""

    def restart(self, now: timedelta) -> None:
        """Restarts the server with no models and with fence and sequence at zero; the disk keeps its models."""
        self.models, self.busy, self.sequence, self.fence = {}, None, 0, 0
        self.reports = [(now, self._report())]

    def _order(self, verb: str, model: Any, adapter: str, fence: int, sequence: int | None, now: timedelta) -> Any:
        self.record.append((now, "order", (verb, model, adapter, fence)))
        if fence < self.fence:
            self.record.append((now, "old fence", (fence, self.fence)))
            return 412
        self.fence = fence
        if self.busy is not None:
            return self.repeat_status if self.busy[1:] == (verb, model, adapter) else 409
        is_loaded = model in self.models and (not adapter or adapter in self.models[model])
        if is_loaded == (verb == "load"):
            return 200
        if sequence is not None and sequence != self.sequence:
            return 409
        models_by_name = {item.name: item for item in self.engine.models}
        if verb == "load" and adapter and model not in self.models:
            return 400
        self.sequence += 1
        if verb == "unload":
            duration = (
                timedelta(milliseconds=2)
                if adapter
                else max(timedelta(milliseconds=3), self.running.get(model, now) - now)
            )
        elif adapter:
            duration = timedelta(milliseconds=12)
            if (
                sum(map(len, self.models.values())) + 1 > self.engine.adapter_places
                or self._used(models_by_name) + models_by_name[model].adapter_mb > self.engine.memory_mb
            ):
                self.record.append((now, "breach", (verb, model, adapter)))
        else:
            is_stored = model not in self.stored_models
            duration = timedelta(milliseconds=models_by_name[model].load_ms) * (
                self.load_slowdown() if is_stored else 0.3
            )
            self.record.append((now, "stored" if is_stored else "own", model))
            if self._used(models_by_name) + models_by_name[model].size_mb > self.engine.memory_mb:
                self.record.append((now, "breach", (verb, model, adapter)))
        self.busy = (now + duration, verb, model, adapter)
        return 202

    def _used(self, models_by_name: Any) -> Any:
        return sum(
            models_by_name[model].size_mb + len(adapters) * models_by_name[model].adapter_mb
            for model, adapters in self.models.items()
        )

    def _finish_order(self, now: timedelta) -> None:
        if self.busy is None or now < self.busy[0]:
            return
        at, verb, model, adapter = self.busy
        self.busy = None
        if verb == "load" and adapter:
            self.models.setdefault(model, set()).add(adapter)
        elif verb == "load":
            self.models[model] = set()
            self.stored_models.add(model)
        elif adapter:
            self.models.get(model, set()).discard(adapter)
        else:
            self.models.pop(model, None)
        self.reports.append((at, self._report()))

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

    def _delayed_report(self, now: timedelta) -> Any:
        known = [item for item in self.reports if item[0] <= now - self.report_delay] or self.reports[:1]
        self.reports = self.reports[len(known) - 1 :]
        return known[-1][1]
