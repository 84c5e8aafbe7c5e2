"""A fake server of a service without models."""

import asyncio

from aiohttp import web

from harness.fakes.response_chunks import digest_of
from harness.fakes.server import Server, sleep_within


class PlainServer(Server):
    """Runs up to `slots` requests concurrently, queues as many more, and answers each after `work_seconds`."""

    __slots__ = ("gate", "accepted", "work_seconds")

    def __init__(self, service, address, zone, slots, call_history, work_seconds=0.02):
        super().__init__(service, address, zone, slots, call_history)
        self.gate, self.accepted, self.work_seconds = asyncio.Semaphore(slots), 0, work_seconds

    async def _serve(self, request, name, body, left):
        if self.accepted >= 2 * self.slots:
            return self._refuse(503, name)
        until, self.accepted = asyncio.get_running_loop().time() + left, self.accepted + 1
        try:
            try:
                await asyncio.wait_for(self.gate.acquire(), left)
            except TimeoutError:
                return self._refuse(503, name)
            try:
                return await self._run(request, name, body, until)
            finally:
                self.gate.release()
        finally:
            self.accepted -= 1

    async def _run(self, request, name, body, until):
        digest = digest_of(body)
        self.call_history.ran(name, self.instance, self.service, request.path_qs, digest)
        self.call_history.tenant_keys.note_run(name, request.headers)
        if not await sleep_within(self.work_seconds, until):
            return web.Response(status=504, headers=self._sealed(name))
        headers = self._sealed(name)
        answer = f'{{"of":"{digest}","by":"{self.instance}"}}'.encode() + b" " * (len(body) % 1000)
        self.call_history.bodies[headers["Sumachook-Server-Seal"]] = answer
        return web.Response(body=answer, content_type="application/json", headers=headers)
