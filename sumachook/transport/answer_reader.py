"""Reads answers of servers into memory that was reserved for them."""

from collections.abc import AsyncIterator
from datetime import timedelta

import aiohttp
from aiohttp.base_protocol import BaseProtocol

from sumachook.memory.account import Account, Purpose
from sumachook.transport.socket_buffers import READ_BYTES

SMALL_ANSWER_BYTES = 64 << 10  # an answer up to this size uses the part of the budget that is kept for small requests
RESERVED_STEP_BYTES = 128 << 10  # an answer of unknown length is reserved in steps of this size
READ_BUFFER_BYTES = 16 << 10  # of one answer, before it is handled; reading pauses at twice as many
SERVER_RECEIVE_BUFFER_BYTES = 32 << 10  # of one connection to a server, in the kernel
# What one call may hold unread while it waits for memory or for its client.
WAITING_CALL_BYTES = READ_BYTES + 2 * SERVER_RECEIVE_BUFFER_BYTES
EVENT_TERMINATORS = (b"\n\n", b"\r\n\r\n")


class AnswerReader:
    """Yields the body of one answer in chunks; the account holds all that was read until it is closed.

    While the budget has no room, the server is not read: it is held up by its own connection. `wait_at_most` bounds
    the time of each such pause.
    """

    __slots__ = ("answer", "account", "max_bytes", "wait_at_most", "reserved_bytes", "read_bytes")

    def __init__(
        self, answer: aiohttp.ClientResponse, account: Account, max_bytes: int, wait_at_most: timedelta
    ) -> None:
        self.answer = answer
        self.account = account
        self.max_bytes = max_bytes
        self.wait_at_most = wait_at_most
        self.reserved_bytes = 0
        self.read_bytes = 0

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body; raises `ClientPayloadError` if it is too long, or if there is no memory for it in time."""
        length = self.answer.content_length
        if length is not None and self.answer.method != "HEAD":
            await self._reserve(length)
        while not self.answer.content.at_eof():
            if self.read_bytes >= self.reserved_bytes:
                await self._reserve(RESERVED_STEP_BYTES)
            chunk = await self.answer.content.readany()
            self.read_bytes += len(chunk)
            self.account.note_moved(len(chunk))
            if self.read_bytes > self.max_bytes:
                raise aiohttp.ClientPayloadError(f"response body exceeds {self.max_bytes} bytes")
            if chunk:
                yield chunk

    async def _reserve(self, count: int) -> None:
        total = self.reserved_bytes + count
        if total > self.max_bytes + RESERVED_STEP_BYTES:
            raise aiohttp.ClientPayloadError(f"response body exceeds {self.max_bytes} bytes")
        if total <= SMALL_ANSWER_BYTES:  # its request was admitted with room to spare, and has run
            self.account.hold(count, Purpose.SMALL)
        elif not self.account.try_reserve(count, Purpose.ANSWER):
            await self._wait_for_memory(count)
        self.reserved_bytes = total

    async def _wait_for_memory(self, count: int) -> None:
        self.account.hold(WAITING_CALL_BYTES, Purpose.SMALL)
        self._stop_reading()
        try:
            if not await self.account.reserve(count, Purpose.ANSWER, self.wait_at_most):
                raise aiohttp.ClientPayloadError("no memory for the response body")
            self._go_on_reading()
        finally:
            self.account.release(WAITING_CALL_BYTES, Purpose.SMALL)

    def _stop_reading(self) -> None:
        """Leaves the rest of the answer unread."""
        protocol = self._protocol()
        if protocol is not None:
            protocol.pause_reading()

    def _go_on_reading(self) -> None:
        protocol = self._protocol()
        if protocol is not None:
            protocol.resume_reading()

    def _protocol(self) -> BaseProtocol | None:
        """Returns the connection on which the rest of the answer comes; None once all of it has come."""
        connection = self.answer.connection
        return None if connection is None or self.answer.content.is_eof() else connection.protocol


class UnfinishedEvent:
    """Counts the bytes of a stream since the end of its last event, which wait for the rest of their event."""

    __slots__ = ("account", "held_bytes")

    def __init__(self, account: Account) -> None:
        self.account = account
        self.held_bytes = 0

    def add(self, chunk: bytes) -> None:
        """Counts a chunk of the stream."""
        end = max(chunk.rfind(mark) + len(mark) if mark in chunk else 0 for mark in EVENT_TERMINATORS)
        pending = len(chunk) - end if end else self.held_bytes + len(chunk)
        if pending > self.held_bytes:
            self.account.hold(pending - self.held_bytes, Purpose.SMALL)
        elif pending < self.held_bytes:
            self.account.release(self.held_bytes - pending, Purpose.SMALL)
        self.held_bytes = pending
