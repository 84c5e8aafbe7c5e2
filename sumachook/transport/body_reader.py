"""Reads the body of a request into memory that was reserved for it."""

import asyncio
from datetime import timedelta

from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response

from sumachook.memory.account import Purpose
from sumachook.transport.client_connection import ClientConnection
from sumachook.transport.connection_limits import ConnectionLimits
from sumachook.transport.refusals import body_evicted, body_stalled, out_of_memory, too_large

SMALL_BODY_BYTES = 64 << 10  # a body up to this size uses the part of the budget that is kept for small requests
RESERVED_STEP_BYTES = 64 << 10  # a body of unknown length is reserved in steps of this size
ROOM_TIMEOUT = timedelta(seconds=0)  # a body is refused at once if evictions make no room for it


class BodyReader:
    """Reads one body: reserves its bytes before they are read, and ends early if it is too long or stalls.

    A stalled body may be evicted while memory is short: then it is answered with 408, which promises that it never ran.
    """

    __slots__ = ("request", "connection", "limits", "body")

    def __init__(self, request: BaseRequest, connection: ClientConnection, limits: ConnectionLimits) -> None:
        self.request = request
        self.connection = connection
        self.limits = limits
        self.body = bytearray()

    async def read(self) -> bytes | bytearray | Response:
        """Returns the complete body, or the error response to send instead."""
        length = self.request.content_length
        if (length or 0) > self.limits.body_bytes:
            return too_large(self.limits.body_bytes)
        if length is not None and not await self._reserve(length, length):
            return out_of_memory()
        self.connection.is_reading_body = True
        try:
            return await self._read_all(0 if length is None else length)
        except TimeoutError:
            return body_evicted() if self.connection.is_body_evicted else body_stalled(self.limits.idle_timeout)
        finally:
            self.connection.is_reading_body = False

    async def _read_all(self, reserved: int) -> bytes | bytearray | Response:
        max_bytes, content = self.limits.body_bytes, self.request.content
        while not content.at_eof():
            if len(self.body) > max_bytes:
                return too_large(max_bytes)
            if len(self.body) >= reserved:
                reserved += RESERVED_STEP_BYTES
                if not await self._reserve(RESERVED_STEP_BYTES, reserved):
                    return out_of_memory()
            async with asyncio.timeout(self.limits.idle_timeout) as timeout:
                self.connection.body_timeout = timeout
                self.body += await content.read(min(max_bytes + 1, reserved) - len(self.body))
            if self.connection.is_body_evicted:
                return body_evicted()
        if len(self.body) > max_bytes:
            return too_large(max_bytes)
        return self.body if len(self.body) > SMALL_BODY_BYTES else bytes(self.body)

    async def _reserve(self, count: int, total: int) -> bool:
        purpose = Purpose.SMALL if total <= SMALL_BODY_BYTES else Purpose.BODY
        return await self.connection.account.reserve(count, purpose, ROOM_TIMEOUT)
