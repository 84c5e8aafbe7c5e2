"""Fetches the missing part of the leader's log, one message at a time."""

import zlib
from datetime import timedelta

import msgspec

from sumachook.consensus.events import EntriesSynced
from sumachook.consensus.followed_log import FollowedLog
from sumachook.consensus.log import decode_snapshot
from sumachook.consensus.messages import Entries, EntryPart, Fetch, SnapshotPart
from sumachook.consensus.state import ReplicaState
from sumachook.consensus.timing import FETCH_RETRY_INTERVAL, MAX_SNAPSHOT_BYTES
from sumachook.host.effects import Effect, Send


class _Transfer(msgspec.Struct):
    """The received part of a snapshot or a large entry; resumable after a lost connection or with a new leader."""

    number: int
    total: int
    checksum: int
    data: bytearray

    def is_same(self, part: EntryPart | SnapshotPart) -> bool:
        return (self.number, self.total, self.checksum) == (part.number, part.total, part.checksum)


class CatchUp:
    """Keeps one `Fetch` outstanding, from the end of the local log or, on mismatch, from the last delivered entry.

    `cursor` is the end of the local log prefix that is assumed to match the leader's log.
    """

    __slots__ = ("state", "followed", "cursor", "fetch_sent_at", "transfer")

    def __init__(self, state: ReplicaState, followed: FollowedLog) -> None:
        self.state, self.followed = state, followed
        self.cursor = 0
        self.fetch_sent_at: timedelta | None = None
        self.transfer: _Transfer | None = None

    def begin(self) -> None:
        """Starts fetching from another leader, at the end of the local log."""
        self.cursor, self.fetch_sent_at = self.state.log.end, None

    def fetch(self, now: timedelta) -> list[Effect]:
        """Sends the next `Fetch`, unless a response is outstanding for less than `FETCH_RETRY_INTERVAL`."""
        if self.fetch_sent_at is not None and now - self.fetch_sent_at < FETCH_RETRY_INTERVAL:
            return []
        self.fetch_sent_at = now
        followed, transfer = self.followed, self.transfer
        self.cursor = max(followed.matched, min(self.cursor, self.state.log.end))
        digest = self.state.log.digest_at(self.cursor) or b""
        number, offset = (transfer.number, len(transfer.data)) if transfer is not None else (0, 0)
        return [Send(followed.address, Fetch(followed.view, self.cursor + 1, digest, number, offset))]

    def _fetch_next(self, now: timedelta) -> list[Effect]:
        self.fetch_sent_at = None
        return self.fetch(now) if self.followed.is_behind or self.cursor < self.followed.end else []

    def on_entries(self, message: Entries, now: timedelta) -> list[Effect]:
        """Appends fetched entries, or falls back to the last delivered entry if the logs differ."""
        if message.view != self.followed.view or message.first != self.cursor + 1:
            return []
        log = self.state.log
        if not message.is_match or log.digest_at(self.cursor) != message.previous:
            if self.cursor == self.followed.matched:
                return []  # the matched prefix differs too: the leader is about to install another view
            self.cursor = self.followed.matched
            return self._fetch_next(now)
        out = self.followed.merge_entries(message.first, message.entries)
        self.cursor = self.followed.matched
        return out + self._fetch_next(now)

    def on_entry_part(self, message: EntryPart, now: timedelta) -> list[Effect]:
        """Adds a part of a large entry; appends the entry once it is complete."""
        if message.view != self.followed.view or message.number != self.cursor + 1:
            return []
        data = self._assemble(message)
        out: list[Effect] = []
        if data is not None:
            out = self.followed.merge_entries(message.number, (data,))
            self.cursor = self.followed.matched
        return out + self._fetch_next(now)

    def on_snapshot_part(self, message: SnapshotPart, now: timedelta) -> list[Effect]:
        """Adds a part of a snapshot and installs it once complete, unless the local log already covers it."""
        state, followed = self.state, self.followed
        if message.view != followed.view or message.number <= followed.matched:
            return []
        if state.log.digest_at(message.number) == message.digest:  # the local log already contains these entries
            self.cursor = message.number
            return followed.merge_entries(message.number + 1, ()) + self._fetch_next(now)
        data = self._assemble(message)
        out: list[Effect] = []
        if data is not None:
            out = state.install_snapshot(decode_snapshot(data))
            state.followed = followed.view
            self.cursor = followed.matched = followed.submitted = message.number
            out.append(state.rewrite_records(EntriesSynced(followed.view, followed.address, message.number)))
        return out + self._fetch_next(now)

    def _assemble(self, part: EntryPart | SnapshotPart) -> bytes | None:
        """Returns the complete data after the last part if its CRC-32 matches, else None."""
        if part.total > MAX_SNAPSHOT_BYTES:
            return None
        if self.transfer is None or not self.transfer.is_same(part):
            self.transfer = _Transfer(part.number, part.total, part.checksum, bytearray())
        transfer = self.transfer
        if part.offset == len(transfer.data):
            transfer.data += part.data
        if len(transfer.data) < transfer.total:
            return None
        self.transfer, data = None, bytes(transfer.data)
        return data if zlib.crc32(data) == transfer.checksum else None
