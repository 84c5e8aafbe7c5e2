"""A fake server of a service without models."""

import asyncio

from aiohttp import web

from harness.fakes.response_chunks import digest_of
from harness.fakes.server import NOT_RUN, REQUEST, Server, sleep_within


class PlainServer(Server):
    """Runs up to `slots` requests concurrently, queues as many more, and answers each after `work_seconds`."""

    __slots__ = ("gate", "accepted", "work_seconds", "full_until", "late_copies")

    def __init__(self, service, address, zone, slots, call_history, work_seconds=0.02):
        super().__init__(service, address, zone, slots, call_history)
        self.gate, self.accepted, self.work_seconds = asyncio.Semaphore(slots), 0, work_seconds
        self.full_until = 0.0  # the loop's time until which every request is refused as by a full server
        self.late_copies = {}  # refusals that are sent once more in the place of the next response, by connection

    async def _serve(self, request, name, body, left):
        if late_copy := self.late_copies.pop(request.protocol, b""):
            request.transport.write(late_copy)
        if asyncio.get_running_loop().time() < self.full_until:
            self.late_copies[request.protocol] = _refusal(name)
            return self._refuse(503, name)
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


def _refusal(name: str) -> bytes:
    """Returns a complete response that refuses a request, as bytes."""
    lines = ("HTTP/1.1 503 Service Unavailable", f"{REQUEST}: {name}", f"{NOT_RUN}: 1", "Content-Length: 0")
    return "\r\n".join(lines).encode() + b"\r\n\r\n"
