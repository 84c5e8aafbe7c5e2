"""The sockets between nodes: datagrams for membership, framed TCP connections for all other messages."""

import asyncio
from collections import deque
from collections.abc import Callable
from datetime import timedelta
from typing import cast

from sumachook.host.events import Event, MessageReceived, UnreadableMessageReceived
from sumachook.transport.addresses import split_address
from sumachook.transport.codec import MAX_FRAME_BYTES, read_frame
from sumachook.transport.errors import UnreadableFrameError
from sumachook.transport.tcp_timeouts import set_tcp_timeouts

LENGTH_PREFIX_BYTES = 4
MAX_QUEUED_FRAMES = 4000
MAX_DATAGRAM_BYTES = 60000  # below the 65,507 of UDP over IPv4
RECONNECT_DELAY = timedelta(seconds=0.1)
CONNECT_TIMEOUT = timedelta(seconds=0.25)  # a machine without power says nothing; the next attempt finds it up
UNACKNOWLEDGED_TIMEOUT = timedelta(seconds=1.5)


class NodeConnection(asyncio.Protocol):
    """Sends frames to one other node, in order, over one connection that is made again when it breaks.

    A frame is written at once while the other end takes what is written. The oldest of those that wait are dropped
    beyond `MAX_QUEUED_FRAMES`, and all that wait where nobody takes the connection: by the time somebody does, they are
    out of date.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.queue: deque[bytes] = deque()
        self.not_empty = asyncio.Event()
        self.lost = asyncio.Event()
        self.dropped_frames = 0
        self.transport: asyncio.Transport | None = None
        self.is_paused = False

    def enqueue(self, raw: bytes) -> None:
        """Takes one frame; comes back at once."""
        if self.transport is not None and not self.is_paused and not self.transport.is_closing():
            self.transport.write(with_length(raw))
            return
        if len(self.queue) >= MAX_QUEUED_FRAMES:
            self.queue.popleft()
            self.dropped_frames += 1
        self.queue.append(raw)
        self.not_empty.set()

    async def run(self) -> None:
        """Connects and stays connected until it is cancelled."""
        host, port = split_address(self.address)
        loop = asyncio.get_running_loop()
        while True:
            await self.not_empty.wait()
            self.lost.clear()
            try:
                connecting = loop.create_connection(lambda: self, host, port)
                await asyncio.wait_for(connecting, CONNECT_TIMEOUT.total_seconds())
            except (TimeoutError, OSError):
                self._drop_queue()
                await asyncio.sleep(RECONNECT_DELAY.total_seconds())
                continue
            try:
                await self.lost.wait()
            finally:
                self._close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sends what waited."""
        self.transport = cast(asyncio.Transport, transport)
        self.is_paused = False
        set_tcp_timeouts(transport.get_extra_info("socket"), UNACKNOWLEDGED_TIMEOUT)
        self._flush()

    def connection_lost(self, exc: Exception | None) -> None:
        """Frames wait again, for the next connection."""
        self.transport = None
        self.lost.set()

    def pause_writing(self) -> None:
        """The other end is slow: frames wait."""
        self.is_paused = True

    def resume_writing(self) -> None:
        """The other end takes frames again."""
        self.is_paused = False
        self._flush()

    def _flush(self) -> None:
        while self.queue and self.transport is not None and not self.is_paused:
            self.transport.write(with_length(self.queue.popleft()))
        if not self.queue:
            self.not_empty.clear()

    def _close(self) -> None:
        if self.transport is not None:
            self.transport.close()
            self.transport = None

    def _drop_queue(self) -> None:
        self.dropped_frames += len(self.queue)
        self.queue.clear()
        self.not_empty.clear()


class FrameReceiver(asyncio.Protocol):
    """Cuts what comes on a connection of another node into frames; a frame that is too long ends the connection."""

    def __init__(self, on_frame: Callable[[bytes], None], on_too_long: Callable[[], None]) -> None:
        self.on_frame = on_frame
        self.on_too_long = on_too_long
        self.buffer = bytearray()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Another node has connected."""
        self.transport = cast(asyncio.Transport, transport)
        set_tcp_timeouts(transport.get_extra_info("socket"), UNACKNOWLEDGED_TIMEOUT)

    def data_received(self, data: bytes) -> None:
        """Gives each frame that is complete by now."""
        buffer = self.buffer
        buffer += data
        start = 0
        while len(buffer) - start >= LENGTH_PREFIX_BYTES:
            begin = start + LENGTH_PREFIX_BYTES
            length = int.from_bytes(buffer[start:begin], "big")
            if length > MAX_FRAME_BYTES:
                self.on_too_long()
                self._end()
                return
            if len(buffer) < begin + length:
                break
            start = begin + length
            self.on_frame(bytes(buffer[begin:start]))
        del buffer[:start]

    def _end(self) -> None:
        self.buffer.clear()
        if self.transport is not None:
            self.transport.abort()


def with_length(raw: bytes) -> bytes:
    """A frame as it stands on a connection.

    >>> with_length(b"abc")
    b'\\x00\\x00\\x00\\x03abc'
    """
    return len(raw).to_bytes(LENGTH_PREFIX_BYTES, "big") + raw


class NodeTransport(asyncio.DatagramProtocol):
    """Both sockets of one node's address; `on_event` gets each message, and word of what could not be read."""

    def __init__(self, address: str, cluster: str, on_event: Callable[[Event], None]) -> None:
        self.address = address
        self.cluster = cluster
        self.on_event = on_event
        self.connections: dict[str, NodeConnection] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.transport: asyncio.DatagramTransport | None = None
        self.has_ended = False  # what is still to be sent while the process ends is dropped

    async def run(self) -> None:
        """Listens until it is cancelled; raises `OSError` where the address cannot be bound."""
        host, port = split_address(self.address)
        loop = asyncio.get_running_loop()
        server = await loop.create_server(self._receiver, host, port)
        transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=(host, port))
        self.transport = transport
        self.has_ended = False
        try:
            await server.serve_forever()
        finally:
            self.transport = None
            self.has_ended = True
            server.close()
            transport.close()
            for task in self.tasks:
                task.cancel()

    def send(self, address: str, raw: bytes) -> None:
        """Sends bytes over the connection to a node, which is made if there is none; drops them once it has ended."""
        if self.has_ended:
            return
        connection = self.connections.get(address)
        if connection is None:
            connection = self.connections[address] = NodeConnection(address)
            task = asyncio.get_running_loop().create_task(connection.run())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        connection.enqueue(raw)

    def send_datagram(self, address: str, raw: bytes) -> None:
        """Sends bytes in one datagram; what is too long for one is dropped."""
        if self.transport is not None and len(raw) <= MAX_DATAGRAM_BYTES:
            self.transport.sendto(raw, split_address(address))

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Takes a datagram of any sender."""
        self._take(data)

    def error_received(self, exc: Exception) -> None:
        """Does nothing: a member that cannot be reached shows by its silence."""

    def _take(self, raw: bytes) -> None:
        try:
            frame = read_frame(self.cluster, raw)
        except UnreadableFrameError:
            self.on_event(UnreadableMessageReceived())
            return
        self.on_event(MessageReceived(frame.sender, frame.address, frame.message))

    def _receiver(self) -> FrameReceiver:
        return FrameReceiver(self._take, lambda: self.on_event(UnreadableMessageReceived()))
