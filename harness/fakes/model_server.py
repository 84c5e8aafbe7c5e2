"""A fake model server with one batch, a prompt cache, models loaded by orders, and event streams as responses."""

import asyncio
from heapq import heappop, heappush
from itertools import count

from aiohttp import web

from harness.fakes.delayed_view import DelayedView
from harness.fakes.model_cache import ModelCache
from harness.fakes.prompt_cache import PromptCache
from harness.fakes.response_chunks import STRIDE, digest_of, event_count, event_data
from harness.fakes.server import SEAL, Server, sleep_within

PREFILL_TOKENS_PER_S, TOKEN_SECONDS, QUEUE, STATUS_LAG = 12000.0, 0.008, 8, 0.3


class ModelServer(Server):
    """Streams responses for its loaded models; the more requests run, the slower the tokens are produced."""

    __slots__ = ("engine", "model_cache", "prompt_cache", "queue", "running", "order", "cache_used", "history")

    def __init__(self, service, address, zone, engine: dict, call_history, models=()):
        super().__init__(service, address, zone, engine["slot-count"], call_history)
        self.engine, self.model_cache, self.prompt_cache = (
            engine,
            ModelCache(self.instance, engine, call_history, models),
            PromptCache(engine["cache-tokens"]),
        )
        self.queue, self.running, self.order, self.cache_used = [], 0, count(), 0
        self.history = DelayedView(self._status, STATUS_LAG, self._status())

    def entry(self):
        return {**super().entry(), "stage": "combined", "models": self._models()}

    def _add_paths(self, app):
        super()._add_paths(app)
        app.router.add_get("/report", self._report)
        app.router.add_post("/order", self._take_order)

    def _models(self):
        return [
            {"name": model, "version": 1, "adapters": sorted(adapters)}
            for model, adapters in self.model_cache.models.items()
        ]

    async def listen(self):
        await super().listen()
        self.history.begin()

    async def end(self):
        self.history.end()
        self.model_cache.end()
        await super().end()

    async def _report(self, request):
        self.last_call_at = asyncio.get_running_loop().time()
        return web.json_response(self.history.shown())

    def _status(self):
        return {
            "stage": "combined",
            "models": self._models(),
            "busy": self.model_cache.order is not None,
            "call-sequence": self.model_cache.sequence,
            "waiting": self._waiting(),
            "running": self.running,
            "cache-used": self.cache_used,
            "cache-total": self.engine["cache-tokens"],
            "handles": 0,
        }

    def _waiting(self) -> int:
        return sum(not admission.done() for *_, admission in self.queue)

    async def _take_order(self, request):
        if request.headers.get("Sumachook-Expect-Instance", self.instance) != self.instance:
            return web.Response(status=421)
        self.last_call_at = asyncio.get_running_loop().time()
        try:
            doc = await request.json()
        except ValueError:
            return web.Response(status=400)
        status = self.model_cache.take(doc)
        if status == 202 and doc["operation"] == "unloading" and not doc.get("adapter"):
            self.prompt_cache.drop(doc["model"])
        self._refuse_changing()
        return web.Response(status=status)

    def _refuse_changing(self):
        for _, _, model, adapter, admission in self.queue:
            if not admission.done() and self.model_cache.is_changing(model, adapter):
                admission.set_result(False)
        self._admit()

    # request handling ------------------------------------------------------------------

    async def _serve(self, request, name, body, left):
        model, _, adapter = request.headers.get("Sumachook-Model", "").partition("/")
        if self.model_cache.is_changing(model, adapter):
            return self._refuse(503, name)
        if not self.model_cache.is_held(model, adapter):
            return self._refuse(421, name)
        tokens_in, tokens_out = (int(count) for count in request.headers["Sumachook-Token-Counts"].split(","))
        if self._waiting() >= QUEUE or tokens_in + tokens_out > self.engine["cache-tokens"]:
            return self._refuse(503, name)
        until = asyncio.get_running_loop().time() + left
        admission = asyncio.get_running_loop().create_future()
        heappush(
            self.queue,
            (int(request.headers.get("Sumachook-Urgency-Level", "5")), next(self.order), model, adapter, admission),
        )
        self._admit()
        try:
            is_admitted = await asyncio.wait_for(asyncio.shield(admission), left)
        except TimeoutError:
            is_admitted = False
        except asyncio.CancelledError:
            self._withdraw(admission)
            raise
        if not is_admitted:
            self._withdraw(admission)
            return self._refuse(503, name)
        self.cache_used += tokens_in + tokens_out
        self.model_cache.add_run(model, 1)
        try:
            return await self._run(request, name, body, until, model, tokens_out)
        finally:
            self.cache_used -= tokens_in + tokens_out
            self.model_cache.add_run(model, -1)
            self._release_slot()

    def _admit(self):
        while self.queue and self.running < self.slots:
            *_, admission = heappop(self.queue)
            if not admission.done():
                self.running += 1
                admission.set_result(True)

    def _withdraw(self, admission):
        """Withdraws a request from admission; frees its slot if it has been admitted."""
        if not admission.done():
            admission.set_result(False)
        elif admission.result():
            self._release_slot()

    def _release_slot(self):
        self.running -= 1
        self._admit()

    async def _run(self, request, name, body, until, model, tokens_out):
        """Runs an admitted request: prefill, then a stream of events.

        The request counts as run from its first token on; a prefill that exceeds the deadline counts as not run.
        """
        parts = tuple(
            (part.partition(":")[0], int(part.partition(":")[2]))
            for part in request.headers.get("Sumachook-Prompt-Prefix", "").split(",")
            if part
        )
        uncached = self.prompt_cache.take(request.headers["Sumachook-Model"], parts)
        if not await sleep_within(uncached / PREFILL_TOKENS_PER_S + self._token_seconds(), until):
            return self._refuse(503, name)
        digest, total = digest_of(body), event_count(tokens_out)
        begin = int(request.headers.get("Last-Event-Id") or 0) + 1
        self.call_history.ran(name, self.instance, self.service, request.path_qs, digest)
        self.call_history.tenant_keys.note_run(name, request.headers)
        headers = self._sealed(name)
        self.call_history.bodies[headers[SEAL]] = (digest, total)
        answer = web.StreamResponse(headers={"Content-Type": "text/event-stream", **headers})
        answer.enable_chunked_encoding()
        await answer.prepare(request)
        for number in range(begin, total + 1):
            await answer.write(f"id: {number}\ndata: {event_data(digest, number)}\n\n".encode())
            if number < total and not await sleep_within(self._token_seconds() * STRIDE, until):
                request.transport.abort()
                return answer
        await answer.write_eof()
        return answer

    def _token_seconds(self) -> float:
        return TOKEN_SECONDS * (1 + self.running / self.slots)
