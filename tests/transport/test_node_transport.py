"""Sockets between nodes during shutdown (docs/design/transport.md).

A second signal to leave, or to reload the settings, can arrive while the tasks of a node are being cancelled. Messages that
the node sent then went to a closed socket: the signal's callback raised, and the remaining effects were dropped.
"""

import asyncio

import pytest

from harness.local_cluster.loopback import free_address, wait_until_serving
from sumachook.memory.account import Purpose
from sumachook.memory.budget import MEBIBYTE, MemoryBudget
from sumachook.transport.connection_slots import ConnectionSlots
from sumachook.transport.node_transport import (
    MAX_PEERS,
    FrameReceiver,
    NodeConnection,
    NodeTransport,
    with_length_prefix,
)

BOUND = 8.0
TURNS = 20
FRAME_BYTES = MEBIBYTE


class Wire(asyncio.Transport):
    """A transport that records whether it was aborted."""

    def __init__(self):
        super().__init__()
        self.is_aborted = False

    def abort(self):
        self.is_aborted = True

    def get_extra_info(self, name, default=None):
        return None


def receiver(budget, frames, monkeypatch, slots=None):
    """Returns a connected receiver of frames and its transport."""
    monkeypatch.setattr("sumachook.transport.node_transport.set_tcp_timeouts", lambda *what: None)
    frame_receiver, wire = FrameReceiver(frames.append, lambda: None, budget, slots), Wire()
    frame_receiver.connection_made(wire)
    return frame_receiver, wire


def test_long_frame_is_reserved_before_it_is_read_and_released_with_its_last_byte(monkeypatch):
    """Given the first bytes of a long frame, all of it is counted; once it is delivered, nothing of it is."""
    budget, frames = MemoryBudget(4 * FRAME_BYTES), []
    frame_receiver, wire = receiver(budget, frames, monkeypatch)
    raw = with_length_prefix(b"x" * FRAME_BYTES)
    frame_receiver.data_received(raw[:100])
    assert FRAME_BYTES <= budget.held_bytes < FRAME_BYTES + 64 * 1024
    frame_receiver.data_received(raw[100:])
    assert frames == [b"x" * FRAME_BYTES] and budget.held_bytes < 64 * 1024 and not wire.is_aborted


def test_long_frame_without_room_ends_its_connection_and_short_ones_pass(monkeypatch):
    """Given unfinished frames that use up the budget, a further long one ends its own connection, while a short frame on
    another connection is delivered; nothing is counted for the ended one."""
    budget, frames = MemoryBudget(3 * FRAME_BYTES), []
    begun = with_length_prefix(b"x" * FRAME_BYTES)[:-1]
    held = [receiver(budget, frames, monkeypatch) for _ in range(3)]
    for frame_receiver, _ in held:
        frame_receiver.data_received(begun)
    assert [wire.is_aborted for _, wire in held] == [False, False, True]
    other, wire = receiver(budget, frames, monkeypatch)
    other.data_received(with_length_prefix(b"news"))
    held[2][0].connection_lost(None)
    assert frames == [b"news"] and not wire.is_aborted and budget.held_bytes < 2.5 * FRAME_BYTES


def test_stalled_frame_makes_room_for_a_later_one(monkeypatch):
    """Given a frame that stops one byte short, its connection is ended once another frame needs its room."""
    now, frames = [100.0], []
    budget = MemoryBudget(2 * FRAME_BYTES, lambda: now[0])
    stalled, wire = receiver(budget, frames, monkeypatch)
    stalled.data_received(with_length_prefix(b"x" * FRAME_BYTES)[:-1])
    now[0] += 10
    first, first_wire = receiver(budget, frames, monkeypatch)
    first.data_received(with_length_prefix(b"y" * FRAME_BYTES)[:-1])
    assert wire.is_aborted and first_wire.is_aborted  # the sender of the second one connects again
    stalled.connection_lost(None)
    first.connection_lost(None)
    again, again_wire = receiver(budget, frames, monkeypatch)
    again.data_received(with_length_prefix(b"y" * FRAME_BYTES))
    assert frames == [b"y" * FRAME_BYTES] and not again_wire.is_aborted


def test_idle_connection_of_a_node_makes_room_for_a_new_one(monkeypatch):
    """Given as many connections as nodes may open, the one that is idle longest is ended for a new one."""
    now, slots = [100.0], ConnectionSlots(2)
    budget = MemoryBudget(FRAME_BYTES, lambda: now[0])
    wires = [receiver(budget, [], monkeypatch, slots)[1] for _ in range(2)]
    now[0] += 5
    _, newest = receiver(budget, [], monkeypatch, slots)
    assert sum(wire.is_aborted for wire in wires) == 1 and not newest.is_aborted


def test_frames_for_a_node_that_reads_nothing_are_dropped_when_memory_is_short():
    """Given frames that wait for a node, they are counted, and dropped with its connection when another peer needs the room."""
    now = [100.0]
    budget = MemoryBudget(4 * FRAME_BYTES, lambda: now[0])
    connection = NodeConnection("127.0.0.1:9", budget)
    connection.transport, connection.is_paused = Wire(), True
    for _ in range(3):
        connection.enqueue(b"x" * FRAME_BYTES)
    assert budget.held_bytes == 3 * FRAME_BYTES
    now[0] += 10
    budget.open("another").hold(2 * FRAME_BYTES, Purpose.SMALL)
    assert not connection.queue and connection.dropped_frames == 3 and connection.transport.is_aborted
    assert budget.held_bytes == 2 * FRAME_BYTES


@pytest.mark.parametrize("count", [MAX_PEERS + 10])
def test_addresses_that_peers_name_are_forgotten_when_they_are_too_many(count):
    """Given more addresses than are remembered, those without a connection or a frame are forgotten with their tasks."""

    async def run():
        transport = NodeTransport(free_address(), "c", lambda event: None)
        for number in range(count):
            transport.send(f"127.0.0.{1 + number % 200}:{1 + number // 200}", b"x")
            connection = transport.connections[f"127.0.0.{1 + number % 200}:{1 + number // 200}"]
            connection._drop_queue()
        remembered = len(transport.connections)
        for task in list(transport.tasks):
            task.cancel()
        await asyncio.gather(*transport.tasks, return_exceptions=True)
        return remembered

    assert asyncio.run(asyncio.wait_for(run(), BOUND)) <= MAX_PEERS


def test_messages_sent_after_shutdown_are_dropped():
    """After the transport's task has ended, messages and datagrams are dropped without an error or a new connection."""

    async def run():
        transport = NodeTransport(free_address(), "c", lambda event: None)
        task = asyncio.get_running_loop().create_task(transport.run())
        await wait_until_serving(lambda: transport.transport is not None, task)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        for _ in range(TURNS):
            await asyncio.sleep(0)
        transport.send_datagram(free_address(), b"late")
        transport.send(free_address(), b"late")
        return set(transport.tasks)

    assert asyncio.run(asyncio.wait_for(run(), BOUND)) == set()
