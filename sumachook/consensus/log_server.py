"""Serves the leader's log and snapshot to lagging replicas, one part at a time."""

import zlib
from datetime import timedelta

from sumachook.consensus.installer import Installer
from sumachook.consensus.messages import Entries, EntryPart, Fetch, Message, SnapshotPart
from sumachook.consensus.progress import Progress
from sumachook.consensus.state import ReplicaState
from sumachook.consensus.timing import CHUNK_BYTES
from sumachook.consensus.views import Role
from sumachook.host.effects import Effect, Send


class LogServer:
    """Answers `Fetch` requests; each replica gets at most one message with data between two ticks."""

    __slots__ = ("state", "installer", "progress", "served", "queued")

    def __init__(self, state: ReplicaState, installer: Installer, progress: Progress) -> None:
        self.state, self.installer, self.progress = state, installer, progress
        self.served: set[str] = set()
        self.queued: dict[str, tuple[str, Fetch]] = {}

    def on_fetch(self, sender: str, address: str, message: Fetch, now: timedelta) -> list[Effect]:
        """Answers a `Fetch` at once, or at the next tick if the replica was already sent data since the last tick."""
        state = self.state
        if state.role not in (Role.LEADING, Role.INSTALLING) or message.view != state.view:
            return []
        state.heard_at[sender] = now
        self.installer.note_progress(sender, now)
        self.progress.record_transfer(sender, now)
        if sender in self.served:
            self.queued[sender] = (address, message)
            return []
        return self._serve(sender, address, message)

    def tick(self) -> list[Effect]:
        """Answers the `Fetch` requests queued since the last tick, so that a transfer does not delay heartbeats."""
        self.served.clear()
        waiting, self.queued = self.queued, {}
        return [
            effect for sender, (address, message) in waiting.items() for effect in self._serve(sender, address, message)
        ]

    def _serve(self, sender: str, address: str, message: Fetch) -> list[Effect]:
        if message.view != self.state.view:
            return []
        answer = self._answer(message)
        if not isinstance(answer, Entries) or answer.entries:
            self.served.add(sender)
        return [Send(address, answer)]

    def _answer(self, message: Fetch) -> Message:
        state, log = self.state, self.state.log
        last = message.first - 1
        if last < log.base:
            return self._snapshot_part(message)
        digest = log.digest_at(last)
        if digest is None or digest != message.digest:
            return Entries(state.view, message.first, False, b"", ())
        entries = log.entries_from(message.first, CHUNK_BYTES)
        if not entries and last < log.end:
            return self._entry_part(message)
        return Entries(state.view, message.first, True, digest, entries)

    def _snapshot_part(self, message: Fetch) -> SnapshotPart:
        state, snapshot = self.state, self.state.log.encoded_snapshot()
        offset = message.offset if message.number == snapshot.number else 0
        data = snapshot.data[offset : offset + CHUNK_BYTES]
        digest = state.log.snapshot.digest
        return SnapshotPart(state.view, snapshot.number, digest, offset, len(snapshot.data), snapshot.checksum, data)

    def _entry_part(self, message: Fetch) -> EntryPart:
        number = message.first
        entry = self.state.log.entry(number)
        offset = message.offset if message.number == number else 0
        data = entry[offset : offset + CHUNK_BYTES]
        return EntryPart(self.state.view, number, offset, len(entry), zlib.crc32(entry), data)
