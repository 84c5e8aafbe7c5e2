"""Sockets between nodes: UDP datagrams for membership, length-prefixed frames over TCP for all other messages."""

import asyncio
from collections import deque
from collections.abc import Callable
from datetime import timedelta
from typing import cast

from sumachook.host.events import Event, MessageReceived, UnreadableMessageReceived
from sumachook.memory.account import Purpose
from sumachook.memory.budget import DEFAULT_MEMORY_MB, MemoryBudget, budget_for
from sumachook.transport.addresses import split_address
from sumachook.transport.codec import MAX_FRAME_BYTES, read_frame
from sumachook.transport.connection_slots import DEFAULT_DESCRIPTORS, ConnectionSlots, share_descriptors
from sumachook.transport.errors import UnreadableFrameError
from sumachook.transport.socket_buffers import NODE_RECEIVE_BUFFER_BYTES, limit_reads, limit_receive_buffer
from sumachook.transport.tcp_timeouts import set_tcp_timeouts

LENGTH_PREFIX_BYTES = 4
READ_BYTES = 128 << 10  # most bytes that one read of a connection between nodes returns
CONNECTION_BYTES = 4 << 10  # memory of a connection between nodes without a frame
MAX_QUEUED_FRAMES = 4000
MAX_PEERS = 4000  # addresses that are remembered at once
MAX_DATAGRAM_BYTES = 60000  # below the 65,507 bytes that UDP over IPv4 allows
RECONNECT_DELAY = timedelta(seconds=0.1)
CONNECT_TIMEOUT = timedelta(seconds=0.25)  # a machine without power never answers; the next attempt may find it up
UNACKNOWLEDGED_TIMEOUT = timedelta(seconds=1.5)


class NodeConnection(asyncio.Protocol):
    """Sends frames to one other node, in order, over one TCP connection that is re-established when it breaks.

    A frame is written at once unless the write buffer is full. When more than `MAX_QUEUED_FRAMES` are queued, the
    oldest ones are dropped; while memory is short, all of those for a node that reads nothing. When a connection
    attempt fails, all queued frames are dropped, since they would be out of date by the time the node accepts a
    connection.
    """

    def __init__(self, address: str, budget: MemoryBudget | None = None) -> None:
        self.address = address
        self.account = (budget or budget_for(DEFAULT_MEMORY_MB)).open("frames for a node", self._evict)
        self.queue: deque[bytes] = deque()
        self.not_empty = asyncio.Event()
        self.lost = asyncio.Event()
        self.dropped_frames = 0
        self.transport: asyncio.Transport | None = None
        self.is_paused = False
        self.task: asyncio.Task[None] | None = None  # runs `run`

    @property
    def is_unused(self) -> bool:
        """Whether the node is not connected and no frame waits for it."""
        return self.transport is None and not self.queue

    def enqueue(self, raw: bytes) -> None:
        """Writes or queues one frame without blocking."""
        if self.transport is not None and not self.is_paused and not self.transport.is_closing():
            self.transport.write(with_length_prefix(raw))
            return
        if len(self.queue) >= MAX_QUEUED_FRAMES:
            self._pop_frame()
            self.dropped_frames += 1
        self.queue.append(raw)
        self.account.hold(len(raw), Purpose.SMALL)
        self.not_empty.set()

    async def run(self) -> None:
        """Connects when frames are queued, and reconnects after a failure, until cancelled."""
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
        """Sends the queued frames."""
        self.transport = cast(asyncio.Transport, transport)
        self.is_paused = False
        set_tcp_timeouts(transport.get_extra_info("socket"), UNACKNOWLEDGED_TIMEOUT)
        self._flush()

    def connection_lost(self, exc: Exception | None) -> None:
        """Reports the loss to `run`, which reconnects; further frames are queued until then."""
        self.transport = None
        self.lost.set()

    def pause_writing(self) -> None:
        """Starts queueing frames, since the other node reads slowly and the write buffer is full."""
        self.is_paused = True

    def resume_writing(self) -> None:
        """Sends the queued frames once the write buffer has drained."""
        self.is_paused = False
        self._flush()

    def _flush(self) -> None:
        while self.queue and self.transport is not None and not self.is_paused:
            self.transport.write(with_length_prefix(self._pop_frame()))
        if not self.queue:
            self.not_empty.clear()

    def _close(self) -> None:
        if self.transport is not None:
            self.transport.close()
            self.transport = None

    def _pop_frame(self) -> bytes:
        raw = self.queue.popleft()
        self.account.release(len(raw), Purpose.SMALL)
        return raw

    def _drop_queue(self) -> None:
        self.dropped_frames += len(self.queue)
        self.queue.clear()
        self.account.shrink_to(0)
        self.not_empty.clear()

    def _evict(self) -> int:
        """Drops what waits for a node that reads nothing, and its connection; returns the bytes freed."""
        freed = self.account.held_bytes
        if self.transport is not None:
            self.transport.abort()
        self._drop_queue()
        return freed


class FrameReceiver(asyncio.Protocol):
    """Splits the bytes from another node's connection into frames.

    An oversized frame aborts the connection, as does a long one that finds no memory: its sender connects again.
    """

    def __init__(
        self,
        on_frame: Callable[[bytes], None],
        on_too_long: Callable[[], None],
        budget: MemoryBudget | None = None,
        slots: ConnectionSlots | None = None,
    ) -> None:
        self.on_frame = on_frame
        self.on_too_long = on_too_long
        self.buffer = bytearray()
        self.transport: asyncio.Transport | None = None
        self.account = (budget or budget_for(DEFAULT_MEMORY_MB)).open("connection of a node", self._evict)
        self.slots = slots or ConnectionSlots(share_descriptors(DEFAULT_DESCRIPTORS).nodes)
        self.reserved_bytes = 0  # of the frame that is being received

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sets the TCP timeouts of a connection that another node has opened."""
        self.transport = cast(asyncio.Transport, transport)
        set_tcp_timeouts(transport.get_extra_info("socket"), UNACKNOWLEDGED_TIMEOUT)
        limit_reads(transport, READ_BYTES)
        self.account.hold(CONNECTION_BYTES, Purpose.SMALL)
        if not self.slots.take(self.account):
            self._end()

    def connection_lost(self, exc: Exception | None) -> None:
        """Frees what was received of an unfinished frame."""
        self.buffer.clear()
        self.slots.leave(self.account)
        self.account.close()

    def data_received(self, data: bytes) -> None:
        """Passes each complete frame to `on_frame`; buffers an incomplete one."""
        buffer = self.buffer
        buffer += data
        self.account.note_moved(len(data))
        start = 0
        while len(buffer) - start >= LENGTH_PREFIX_BYTES:
            begin = start + LENGTH_PREFIX_BYTES
            length = int.from_bytes(buffer[start:begin], "big")
            if length > MAX_FRAME_BYTES:
                self.on_too_long()
                self._end()
                return
            if len(buffer) < begin + length:
                if not self._reserve(length):
                    self._end()
                    return
                break
            start = begin + length
            self.on_frame(bytes(buffer[begin:start]))
            self._reserve(0)
        del buffer[:start]

    def _reserve(self, length: int) -> bool:
        """Reserves the bytes of the frame that is being received; returns False if there is no room for them."""
        if length == self.reserved_bytes:
            return True
        self.account.shrink_to(CONNECTION_BYTES)
        self.reserved_bytes = 0
        if not self.account.try_reserve(length, Purpose.SMALL):
            self.account.budget.make_room(length, Purpose.SMALL)  # for the sender's next connection
            self.account.budget.note_refusal(Purpose.SMALL)
            return False
        self.reserved_bytes = length
        return True

    def _evict(self) -> int:
        """Ends a connection in the middle of a frame, or one that is not used; returns the bytes freed."""
        self._end()
        return self.account.held_bytes

    def _end(self) -> None:
        self.buffer.clear()
        if self.transport is not None:
            self.transport.abort()


def with_length_prefix(raw: bytes) -> bytes:
    """Prefixes a frame with its length, as it is sent on a connection.

    >>> with_length_prefix(b"abc")
    b'\\x00\\x00\\x00\\x03abc'
    """
    return len(raw).to_bytes(LENGTH_PREFIX_BYTES, "big") + raw


class NodeTransport(asyncio.DatagramProtocol):
    """TCP and UDP sockets of a node's address; emits an event for each received message or unreadable frame."""

    def __init__(
        self,
        address: str,
        cluster: str,
        on_event: Callable[[Event], None],
        budget: MemoryBudget | None = None,
        slots: ConnectionSlots | None = None,
    ) -> None:
        self.address = address
        self.cluster = cluster
        self.on_event = on_event
        self.budget = budget or budget_for(DEFAULT_MEMORY_MB)
        self.slots = slots or ConnectionSlots(share_descriptors(DEFAULT_DESCRIPTORS).nodes)
        self.connections: dict[str, NodeConnection] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.transport: asyncio.DatagramTransport | None = None
        self.has_ended = False  # set during shutdown, when messages to be sent are dropped

    async def run(self) -> None:
        """Listens until cancelled; raises `OSError` if the address cannot be bound."""
        host, port = split_address(self.address)
        loop = asyncio.get_running_loop()
        server = await loop.create_server(self._new_frame_receiver, host, port)
        for listening in server.sockets:
            limit_receive_buffer(listening, NODE_RECEIVE_BUFFER_BYTES)
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
        """Sends a frame over the connection to a node, opening one if needed; drops the frame during shutdown."""
        if self.has_ended:
            return
        connection = self.connections.get(address)
        if connection is None:
            if len(self.connections) >= MAX_PEERS:
                self._forget_unused()
            connection = self.connections[address] = NodeConnection(address, self.budget)
            task = connection.task = asyncio.get_running_loop().create_task(connection.run())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        connection.enqueue(raw)

    def _forget_unused(self) -> None:
        """Forgets the addresses of nodes to which nothing is connected or queued: peers may name any address."""
        for address, connection in list(self.connections.items()):
            if connection.is_unused and connection.task is not None:
                connection.task.cancel()
                connection.account.close()
                del self.connections[address]

    def send_datagram(self, address: str, raw: bytes) -> None:
        """Sends bytes in one datagram; drops them above `MAX_DATAGRAM_BYTES`."""
        if self.transport is not None and len(raw) <= MAX_DATAGRAM_BYTES:
            self.transport.sendto(raw, split_address(address))

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Decodes a datagram from any sender."""
        self._receive_frame(data)

    def error_received(self, exc: Exception) -> None:
        """Ignores socket errors: pings that go unanswered reveal an unreachable member."""

    def _receive_frame(self, raw: bytes) -> None:
        try:
            frame = read_frame(self.cluster, raw)
        except UnreadableFrameError:
            self.on_event(UnreadableMessageReceived())
            return
        self.on_event(MessageReceived(frame.sender, frame.address, frame.message))

    def _new_frame_receiver(self) -> FrameReceiver:
        return FrameReceiver(self._receive_frame, self._note_too_long, self.budget, self.slots)

    def _note_too_long(self) -> None:
        self.on_event(UnreadableMessageReceived())
