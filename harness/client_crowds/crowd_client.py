"""Connections of a crowd: each sends blocks that were made beforehand, then stays open and may read slowly."""

import asyncio
import contextlib
import socket
from collections.abc import Iterable
from dataclasses import dataclass

SMALL_BUFFER_BYTES = 4 << 10
CONNECT_TIMEOUT_S = 5.0
OPENED_AT_ONCE = 50
RECONNECT_DELAY_S = 0.5
READ_INTERVAL_S = 1.0


@dataclass(frozen=True, slots=True)
class Script:
    """What one connection does: sends `blocks` with `pause_s` before each but the first, then holds.

    With `read_bytes_s` it reads that many bytes a second; with 0 it reads nothing. One that insists connects again
    whenever its connection ends.
    """

    blocks: tuple[bytes, ...]
    pause_s: float = 0.0
    read_bytes_s: int = 0
    insists: bool = False


class Crowd:
    """`count` connections to one address that follow the same script; `async with` opens them, its end closes them."""

    __slots__ = ("address", "script", "count", "sockets", "tasks", "connected")

    def __init__(self, address: str, script: Script, count: int):
        self.address, self.script, self.count = address, script, count
        self.sockets: list[socket.socket] = []
        self.tasks: list[asyncio.Task] = []
        self.connected = 0  # number of connections that came up

    async def __aenter__(self):
        gate = asyncio.Semaphore(OPENED_AT_ONCE)
        loop = asyncio.get_running_loop()
        opened = [loop.create_future() for _ in range(self.count)]
        self.tasks = [loop.create_task(self._run(gate, each)) for each in opened]
        await asyncio.gather(*opened)
        return self

    async def __aexit__(self, *_):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for opened in self.sockets:
            opened.close()

    async def _run(self, gate: asyncio.Semaphore, opened: asyncio.Future):
        """Opens one connection and follows the script; sets `opened` after the first attempt to connect."""
        while True:
            connection = await self._connect(gate)
            if not opened.done():
                opened.set_result(None)
            if connection is not None:
                await self._follow(connection)
            if not self.script.insists:
                return
            await asyncio.sleep(RECONNECT_DELAY_S)

    async def _connect(self, gate: asyncio.Semaphore) -> socket.socket | None:
        host, _, port = self.address.rpartition(":")
        connection = socket.socket()
        connection.setblocking(False)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        self.sockets.append(connection)
        async with gate:
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    await asyncio.get_running_loop().sock_connect(connection, (host, int(port)))
            except (OSError, TimeoutError):
                connection.close()
                return None
        self.connected += 1
        return connection

    async def _follow(self, connection: socket.socket):
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            for number, block in enumerate(self.script.blocks):
                if number:
                    await asyncio.sleep(self.script.pause_s)
                await loop.sock_sendall(connection, block)
            while self.script.read_bytes_s and await loop.sock_recv(connection, self.script.read_bytes_s):
                await asyncio.sleep(READ_INTERVAL_S)
            while self.script.insists and await loop.sock_recv(connection, SMALL_BUFFER_BYTES):
                pass
        if self.script.insists:
            connection.close()


def http_head(method: str, path: str, host: str, headers: Iterable[tuple[str, str]] = ()) -> bytes:
    """Returns the head of a request up to and including its blank line."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", *(f"{name}: {value}" for name, value in headers)]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"
