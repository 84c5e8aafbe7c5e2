"""A request in progress at an HTTP server, and the writing of its response."""

import asyncio
from typing import TypeVar

from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, StreamResponse
from multidict import CIMultiDict

from sumachook.host.effects import AbortResponse, BeginResponse, EndResponse, ReadBody, Reply, SendChunk
from sumachook.memory.account import Purpose
from sumachook.transport.client_connection import ClientConnection

AnyResponse = TypeVar("AnyResponse", bound=StreamResponse)
ResponseEffect = ReadBody | Reply | BeginResponse | SendChunk | EndResponse | AbortResponse

# A longer response body is written in pieces of this size, each once the client has taken the one before, so that
# no copy of the whole body waits for it.
PIECE_BYTES = 64 << 10


class Exchange:
    """A request in progress and the queue of its response effects; `unsent_bytes` counts the body bytes in it.

    `transport` is set while the response is a stream and no effect is queued: chunks are then written directly.
    `counted_bytes` is what the connection's account holds for bytes that the client has not taken yet.
    """

    __slots__ = ("connection", "effects", "unsent_bytes", "counted_bytes", "is_over", "transport")

    def __init__(self, connection: ClientConnection) -> None:
        self.connection = connection
        self.effects: asyncio.Queue[ResponseEffect] = asyncio.Queue()
        self.unsent_bytes = 0
        self.counted_bytes = 0
        self.is_over = False
        self.transport: asyncio.Transport | None = None

    def count_unsent(self, count: int) -> None:
        """Sets how many bytes of the stream wait for the client."""
        if count > self.counted_bytes:
            self.connection.account.hold(count - self.counted_bytes, Purpose.SMALL)
        elif count < self.counted_bytes:
            self.connection.account.release(self.counted_bytes - count, Purpose.SMALL)
        self.counted_bytes = count

    def write_chunk(self, data: bytes) -> None:
        """Writes data in chunked transfer coding; drops it if the client has just disconnected."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        transport.write(b"%x\r\n%b\r\n" % (len(data), data))
        unsent = transport.get_write_buffer_size()
        if unsent or self.counted_bytes:
            self.count_unsent(unsent)


async def write_reply(request: BaseRequest, exchange: Exchange, reply: Reply) -> StreamResponse:
    """Returns a complete response; one with a long body is written here, the caller writes any other."""
    headers = CIMultiDict(reply.headers)
    if len(reply.body) <= PIECE_BYTES:
        exchange.connection.account.hold(len(reply.body), Purpose.SMALL)
        return close_if_requested(Response(status=reply.status, headers=headers, body=reply.body))
    exchange.connection.account.hold(len(reply.body), Purpose.ANSWER)
    answer = close_if_requested(StreamResponse(status=reply.status, headers=headers))
    answer.content_length = len(reply.body)
    await answer.prepare(request)
    with memoryview(reply.body) as body:
        for start in range(0, len(body), PIECE_BYTES):
            piece = body[start : start + PIECE_BYTES]
            await answer.write(piece)
            exchange.connection.account.note_moved(len(piece))
    return answer


def close_if_requested(answer: AnyResponse) -> AnyResponse:
    """Makes the response the last one on its connection if its headers say `Connection: close`."""
    if answer.headers.get("Connection", "").lower() == "close":
        answer.force_close()
    return answer
