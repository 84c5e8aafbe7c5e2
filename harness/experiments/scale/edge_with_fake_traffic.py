"""An edge without HTTP: the real state machine over real node sockets, with fake clients and servers in the same process."""

import asyncio

from sumachook.host.effects import AbortResponse, EndResponse, ForwardRequest, Reply, Send, SendDatagram
from sumachook.host.events import (
    ProxyRequestReceived,
    RequestSent,
    ResponseChunkReceived,
    ResponseEnded,
    ResponseHeadReceived,
    Tick,
)
from sumachook.nodes.inbox import Inbox
from sumachook.transport.codec import Codec
from sumachook.transport.node_transport import NodeTransport

FIRST_CHUNK_AFTER, RESPONSE_TIME = 0.3, 2.0
RESPONSE_HEADERS = (("Content-Type", "text/event-stream"), ("X-Server-Seal", "1"))


class EdgeWithFakeTraffic:
    """Runs an edge; `ask` sends it the request of a fake client and keeps only the outcome."""

    __slots__ = ("machine", "clock", "node_transport", "codec", "inbox", "number", "outcomes", "ids")

    def __init__(self, machine, clock, cluster):
        self.machine, self.clock, settings = machine, clock, machine.settings
        self.inbox = Inbox(self._take, self._do)
        self.node_transport = NodeTransport(settings.address, cluster, self.inbox.put)
        self.codec = Codec(cluster, machine.node, settings.address, machine.restart_epoch)
        self.number, self.outcomes, self.ids = 0, [], {}

    async def run(self, first_after: float, tick: float):
        serving = asyncio.get_running_loop().create_task(self.node_transport.run())
        while self.node_transport.transport is None:
            await asyncio.sleep(0.01)
        await asyncio.sleep(first_after)
        try:
            while True:
                self.inbox.put(Tick())
                await asyncio.sleep(tick)
        finally:
            serving.cancel()

    def ask(self, path: str, host: str, name: str, deadline_ms: int):
        self.number += 1
        request = f"{self.machine.node}-{self.machine.restart_epoch}-{self.number}"
        headers = (
            ("Host", host),
            ("X-Request-Id", request),
            ("X-Deadline-Ms", str(deadline_ms)),
            ("X-Model", name),
            ("X-Token-Counts", "491,409"),
        )
        self.ids["front", self.number] = request
        self.inbox.put(ProxyRequestReceived(("front", self.number), "POST", path, headers, b"{}"))

    def _take(self, event):
        return self.machine.take(event, self.clock.mono())

    def _do(self, effect):
        match effect:
            case Send(address, message):
                self.node_transport.send(address, self.codec.pack(message))
            case SendDatagram(address, message):
                self.node_transport.send_datagram(address, self.codec.pack(message))
            case ForwardRequest(call_id=call_id, headers=headers):
                self._serve(call_id, next(value for name, value in headers if name.lower() == "x-request-id"))
            case Reply(call_id, status):
                self._note_outcome(call_id, status)
            case EndResponse(call_id):
                self._note_outcome(call_id, "end")
            case AbortResponse(call_id):
                self._note_outcome(call_id, "drop")

    def _note_outcome(self, call_id, outcome):
        self.ids.pop(call_id, None)
        self.outcomes.append(outcome)

    def _serve(self, call_id, request):
        loop = asyncio.get_running_loop()
        headers = (*RESPONSE_HEADERS, ("X-Request-Id", request))
        loop.call_soon(self.inbox.put, RequestSent(call_id))
        loop.call_later(FIRST_CHUNK_AFTER, self.inbox.put, ResponseHeadReceived(call_id, 200, headers))
        loop.call_later(FIRST_CHUNK_AFTER, self.inbox.put, ResponseChunkReceived(call_id, b"id: 1\ndata: a\n\n"))
        loop.call_later(RESPONSE_TIME, self.inbox.put, ResponseChunkReceived(call_id, b"id: 2\ndata: b\n\n"))
        loop.call_later(RESPONSE_TIME, self.inbox.put, ResponseEnded(call_id))
