"""The source of the change feed, which runs in each core."""

from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from datetime import timedelta
from itertools import islice
from typing import Any

from sumachook.changefeed.events import EntryDelivered, ServeRequested, SnapshotRestored
from sumachook.changefeed.messages import (
    ChangeBatch,
    Confirm,
    Confirmed,
    FeedHeartbeat,
    Follow,
    Snapshot,
    SnapshotPart,
)
from sumachook.changefeed.snapshot import PART_BYTES, pack_snapshot, split_snapshot
from sumachook.changefeed.state import ReplicatedState
from sumachook.host.effects import Send
from sumachook.host.events import Event, MessageReceived, Tick
from sumachook.runtime.cluster_clock import ClusterClock

MAX_ENTRIES = 600  # number of recent entries kept for followers that lag behind
MAX_ENTRIES_BYTES = 8 << 20  # total size of the entries kept for followers
MAX_BATCH_ENTRIES = 64
MAX_BATCH_BYTES = 1 << 20  # a quarter of the maximum frame size (`transport/codec.py`)
HEARTBEAT_INTERVAL = timedelta(seconds=0.25)  # a follower abandons a core after four intervals without proof
FOLLOWER_TIMEOUT = timedelta(seconds=3)  # a follower confirms each heartbeat; a silent one follows another core


@dataclass(slots=True)
class Subscriber:
    """An edge that follows this core: the last change sent to it, the time of its last message, and its last nonce."""

    address: str
    sent: int
    last_message_at: timedelta
    nonce: int


class Source:
    """Sends committed changes to followers; see docs/design.md, "Feed".

    A core sends only while it is in a working view, since a core that has just restarted may have an older state. A
    follower gets the entries after its last one, or one snapshot instead if these are evicted or longer than a batch.
    """

    __slots__ = (
        "state",
        "entries",
        "first_number",
        "entries_bytes",
        "followers",
        "confirmed",
        "next_heartbeat",
        "core_addresses",
        "cluster_clock",
        "is_fresh",
        "last_snapshot",
        "last_batch",
    )

    def __init__(
        self,
        state: ReplicatedState,
        core_addresses: Callable[[], Sequence[str]],
        now: timedelta,
        cluster_clock: ClusterClock,
        is_fresh: Callable[[timedelta], bool],
    ) -> None:
        self.state = state
        self.core_addresses = core_addresses
        self.cluster_clock = cluster_clock
        self.is_fresh = is_fresh
        self.entries: deque[bytes] = deque()
        self.first_number = state.number + 1
        self.entries_bytes = 0
        self.followers: dict[str, Subscriber] = {}
        self.confirmed: dict[str, int] = {}
        self.next_heartbeat = now
        self.last_snapshot = Snapshot(0, b"")
        self.last_batch = ChangeBatch(0, ())

    def take(self, event: Event, now: timedelta) -> list[Send]:
        """Handles a delivered entry, a snapshot, a message or a tick; returns the messages to send."""
        match event:
            case MessageReceived(sender, address, message):
                return self._on_message(sender, address, message, now)
            case EntryDelivered(number, entry):
                self._handle_delivered(number, entry)
            case SnapshotRestored(number):
                self._handle_restored(number)
            case ServeRequested():
                return self._serve_all(now)
            case Tick():
                return self._handle_tick(now)
        return []

    def _on_message(self, sender: str, address: str, message: Any, now: timedelta) -> list[Send]:
        match message:
            case Follow():
                return self._on_follow(sender, address, message, now)
            case Confirm():
                return self._on_confirm(sender, message, now)
            case Confirmed(node, number):
                self.confirmed[node] = max(self.confirmed.get(node, 0), number)
        return []

    # keeping recent entries ---------------------------------------------------------------

    def _handle_delivered(self, number: int, entry: bytes) -> None:
        if number != self._next_number:  # an entry is missing: followers that lack it get a snapshot
            self._handle_restored(number - 1)
        self.entries.append(entry)
        self.entries_bytes += len(entry)
        while self._is_over_limit():
            self.entries_bytes -= len(self.entries.popleft())
            self.first_number += 1

    @property
    def _next_number(self) -> int:
        """The number of the entry that follows the ones kept."""
        return self.first_number + len(self.entries)

    def _is_over_limit(self) -> bool:
        is_too_large = self.entries_bytes > MAX_ENTRIES_BYTES and len(self.entries) > 1
        return is_too_large or len(self.entries) > MAX_ENTRIES

    def _handle_restored(self, number: int) -> None:
        self.entries.clear()
        self.last_batch = ChangeBatch(0, ())
        self.first_number = number + 1
        self.entries_bytes = 0

    # sending to followers ---------------------------------------------------------------

    def _handle_tick(self, now: timedelta) -> list[Send]:
        self.followers = {
            node: follower
            for node, follower in self.followers.items()
            if now - follower.last_message_at <= FOLLOWER_TIMEOUT
        }
        effects = self._serve_all(now)
        if now >= self.next_heartbeat:
            self.next_heartbeat = now + HEARTBEAT_INTERVAL
            for follower in self.followers.values():
                effects += self._heartbeat(follower, now)
        return effects

    def _heartbeat(self, follower: Subscriber, now: timedelta) -> list[Send]:
        if not self.is_fresh(now):
            return []
        heartbeat = FeedHeartbeat(self.state.number, follower.nonce, self.cluster_clock.wall_clock_ms)
        return [Send(follower.address, heartbeat)]

    def _serve_all(self, now: timedelta) -> list[Send]:
        return [effect for follower in self.followers.values() for effect in self._serve(follower, now)]

    def _serve(self, follower: Subscriber, now: timedelta) -> list[Send]:
        """Returns the next entries for a follower, or a snapshot if these exceed a batch or some were evicted."""
        if follower.sent >= self.state.number or not self.is_fresh(now):
            return []
        if self._next_number != self.state.number + 1:  # entries that the state applied are missing here
            self._handle_restored(self.state.number)
        if follower.sent + 1 < self.first_number or self._exceeds_batch(follower.sent):
            return self._send_snapshot(follower)
        start = follower.sent + 1
        begin = start - self.first_number
        entries = tuple(islice(self.entries, begin, begin + MAX_BATCH_ENTRIES))
        follower.sent += len(entries)
        return [Send(follower.address, self._batch(start, entries))]

    def _batch(self, first: int, entries: tuple[bytes, ...]) -> ChangeBatch:
        """Returns the same message object for followers that need the same entries, so that it is encoded only once."""
        if first != self.last_batch.first or len(entries) != len(self.last_batch.entries):
            self.last_batch = ChangeBatch(first, entries)
        return self.last_batch

    def _exceeds_batch(self, sent: int) -> bool:
        """Returns whether the entries after `sent` exceed a batch, so that a snapshot is the faster transfer."""
        return sum(map(len, islice(self.entries, sent + 1 - self.first_number, None))) > MAX_BATCH_BYTES

    def _send_snapshot(self, follower: Subscriber) -> list[Send]:
        snapshot = self._snapshot()
        follower.sent = snapshot.number
        messages: list[Snapshot] | list[SnapshotPart] = [snapshot]
        if len(snapshot.packed) > PART_BYTES:
            messages = split_snapshot(snapshot.number, snapshot.packed)
        return [Send(follower.address, message) for message in messages]

    def _snapshot(self) -> Snapshot:
        """Returns the last snapshot while the entries after it are kept and fit in one batch, else a new one."""
        number = self.last_snapshot.number
        if number + 1 < self.first_number or self._exceeds_batch(number):
            self.last_snapshot = Snapshot(self.state.number, pack_snapshot(self.state.snapshot()))
        return self.last_snapshot

    # handling messages from followers and other cores --------------------------------------

    def _on_follow(self, sender: str, address: str, message: Follow, now: timedelta) -> list[Send]:
        follower = Subscriber(address, message.number, now, message.nonce)
        self.followers[sender] = follower
        return self._serve(follower, now) + self._heartbeat(follower, now)

    def _on_confirm(self, sender: str, message: Confirm, now: timedelta) -> list[Send]:
        follower = self.followers.get(sender)
        if follower is not None:
            follower.last_message_at = now
            follower.nonce = max(follower.nonce, message.nonce)
        if self.confirmed.get(sender) == message.number:
            return []
        self.confirmed[sender] = message.number
        return [Send(core, Confirmed(sender, message.number)) for core in self.core_addresses()]
