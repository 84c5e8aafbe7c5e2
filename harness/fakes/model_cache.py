"""The models that a fake model server has loaded, and the single load or unload order in progress."""

import asyncio

LOCAL_DISK_FACTOR, ADAPTER_SECONDS, UNLOAD_SECONDS = 0.3, 0.012, 0.003


class ModelCache:
    """Executes load and unload orders one at a time.

    `take(order)` returns the HTTP status of the response. `is_held` and `is_changing` return whether a model, or an
    adapter of it, is loaded or is being loaded or unloaded. Orders that break a rule are noted in the call history.
    """

    __slots__ = (
        "instance",
        "engine",
        "call_history",
        "models",
        "stored_on_disk",
        "order",
        "sequence",
        "fence",
        "holder",
        "running",
        "runs_changed",
        "tasks",
    )

    def __init__(self, instance: str, engine: dict, call_history, models=()):
        self.instance, self.engine, self.call_history = instance, engine, call_history
        self.models, self.stored_on_disk = {model: set() for model in models}, set(models)
        self.order, self.sequence, self.fence, self.holder = None, 0, 0, ""
        self.running, self.runs_changed, self.tasks = {}, asyncio.Event(), set()

    def is_held(self, model: str, adapter: str = "") -> bool:
        return model in self.models and (not adapter or adapter in self.models[model])

    def is_changing(self, model: str, adapter: str = "") -> bool:
        """Whether the order in progress loads or unloads the model or the adapter that a request needs."""
        return self.order is not None and self.order[1] == model and self.order[2] in ("", adapter)

    def add_run(self, model: str, change: int):
        self.running[model] = self.running.get(model, 0) + change
        self.runs_changed.set()

    def end(self):
        for task in self.tasks:
            task.cancel()

    def take(self, doc) -> int:
        if (
            not isinstance(doc, dict)
            or doc.get("operation") not in ("loading", "unloading")
            or not isinstance(doc.get("model"), str)
        ):
            return 400
        holder, fence = doc.get("holder"), doc.get("fence-number")
        if not isinstance(holder, str) or not isinstance(fence, int):
            return 400
        if fence < self.fence:
            return 412
        if fence == self.fence and self.holder not in ("", holder):
            self.call_history.noted.append(
                f"ONE: {self.instance} got orders from {self.holder} and {holder} with the same fencing token {fence}"
            )
        self.fence, self.holder = fence, holder
        order = (doc["operation"] == "loading", doc["model"], doc.get("adapter") or "")
        return self._begin(order, doc.get("expected-count"))

    def _begin(self, order, expected) -> int:
        is_load, model, adapter = order
        if order == self.order:
            return 202
        if self.order is not None:
            return 409
        if self.is_held(model, adapter) == is_load:
            return 200
        item = next((item for item in self.engine["models"] if item["name"] == model), None)
        if expected is not None and expected != self.sequence:
            return 409
        if item is None or (
            adapter
            and (model not in self.models or adapter not in {f"a{number + 1}" for number in range(item["adapters"])})
        ):
            return 400
        self.sequence, self.order = self.sequence + 1, order
        if is_load:
            self._check_memory(item, adapter)
        task = asyncio.ensure_future(self._execute(order, self._seconds(order, item)))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return 202

    def _check_memory(self, item, adapter):
        sizes = {other["name"]: other for other in self.engine["models"]}
        used = sum(
            sizes[model]["weights-mb"] + len(adapters) * sizes[model]["adapter-size-mb"]
            for model, adapters in self.models.items()
        )
        more = item["adapter-size-mb"] if adapter else item["weights-mb"]
        if used + more > self.engine["weights-mb"] + 1e-6:
            self.call_history.noted.append(
                f"LIMIT: {self.instance} was ordered {item['name']} {adapter} beyond its memory, {used} + {more} MB"
            )
        if adapter and sum(map(len, self.models.values())) >= self.engine["adapter-slot-count"]:
            self.call_history.noted.append(
                f"LIMIT: {self.instance} was ordered {item['name']} {adapter} beyond its adapter slots"
            )

    def _seconds(self, order, item) -> float:
        is_load, model, adapter = order
        if not is_load:
            return UNLOAD_SECONDS
        if adapter:
            return ADAPTER_SECONDS
        if model in self.stored_on_disk:
            return item["load-time-s"] * LOCAL_DISK_FACTOR
        self.call_history.loads.append(asyncio.get_running_loop().time())
        return item["load-time-s"] * (1 + sum(self.running.values()) / self.engine["slot-count"])

    async def _execute(self, order, seconds):
        is_load, model, adapter = order
        self.runs_changed.set()  # queued requests for the affected model or adapter are rejected
        while not is_load and not adapter and self.running.get(model):
            self.runs_changed.clear()
            await self.runs_changed.wait()
        await asyncio.sleep(seconds)
        if is_load and adapter:
            self.models[model].add(adapter)
        elif is_load:
            self.models[model] = set()
            self.stored_on_disk.add(model)
        elif adapter:
            self.models[model].discard(adapter)
        else:
            del self.models[model]
        self.order = None
        self.runs_changed.set()
