"""The replicated log as stored by one replica: a snapshot and the entries after it."""

import zlib
from collections.abc import Sequence
from hashlib import blake2b
from typing import Any, NamedTuple

import msgspec

from sumachook.consensus.voting_members import VotingMembers
from sumachook.transport.codec import as_tuples, read_entry

NO_DIGEST = b""
VOTING_MEMBERS_CHANGE_PREFIXES = (b'["found"', b'["seat-')


class Snapshot(msgspec.Struct, frozen=True):
    """The state after entry `number` as JSON, with the voting members and the log digest at that entry.

    The state is stored encoded because the embedding program continues to modify its own copy.
    """

    number: int
    state: bytes
    voting_members: VotingMembers
    digest: bytes


NO_SNAPSHOT = Snapshot(0, b"null", VotingMembers(), NO_DIGEST)


class VotingMembersChange(NamedTuple):
    """The voting members that apply from entry `number` on."""

    number: int
    voting_members: VotingMembers


class _SnapshotDocument(msgspec.Struct, frozen=True):
    """The JSON document of a snapshot on the wire, in which the state is embedded without being quoted again."""

    number: int
    state: msgspec.Raw
    voting_members: VotingMembers
    digest: bytes


class EncodedSnapshot(msgspec.Struct, frozen=True):
    """A snapshot encoded as bytes, with a CRC-32 checksum, for transfer in parts."""

    number: int
    data: bytes
    checksum: int


def encode_snapshot(snapshot: Snapshot) -> EncodedSnapshot:
    """Encodes a snapshot as one JSON document and computes its checksum."""
    document = _SnapshotDocument(snapshot.number, msgspec.Raw(snapshot.state), snapshot.voting_members, snapshot.digest)
    data = msgspec.json.encode(document)
    return EncodedSnapshot(snapshot.number, data, zlib.crc32(data))


def decode_snapshot(data: bytes) -> Snapshot:
    """Decodes a snapshot from the bytes that `encode_snapshot` produced."""
    document = msgspec.json.decode(data, type=_SnapshotDocument)
    return Snapshot(document.number, bytes(document.state), document.voting_members, document.digest)


def decode_state(snapshot: Snapshot) -> Any:
    """Decodes the embedding program's state from a snapshot; JSON arrays become tuples."""
    return as_tuples(msgspec.json.decode(snapshot.state))


def _chained_digest(digest: bytes, entry: bytes) -> bytes:
    return blake2b(digest + entry, digest_size=8).digest()


class Log:
    """Entries numbered from `base + 1`, each with a digest of the log up to it, and the history of voting members.

    >>> from sumachook.transport.codec import pack_entry
    >>> log = Log()
    >>> log.extend([pack_entry(("found", {"a": "x:1", "b": "y:2"})), pack_entry(("seat-out", "b"))])
    >>> log.end, log.voting_members.addresses
    (2, {'a': 'x:1'})
    >>> log.truncate_after(1); log.voting_members.addresses
    {'a': 'x:1', 'b': 'y:2'}
    >>> log.merge(1, [log.entry(1), b'["founded"]', b'["x"]']), log.merge(2, [b'["founded"]']), log.end
    (2, None, 3)
    """

    __slots__ = ("snapshot", "entries", "digests", "voting_members_history", "size", "_encoded")

    def __init__(self, snapshot: Snapshot = NO_SNAPSHOT) -> None:
        self.snapshot = snapshot
        self.entries: list[bytes] = []
        self.digests: list[bytes] = [snapshot.digest]
        self.voting_members_history = [VotingMembersChange(snapshot.number, snapshot.voting_members)]
        self.size = 0
        self._encoded: EncodedSnapshot | None = None

    @property
    def base(self) -> int:
        """The number of the last entry covered by the snapshot."""
        return self.snapshot.number

    @property
    def end(self) -> int:
        """The number of the last entry in the log."""
        return self.base + len(self.entries)

    @property
    def voting_members(self) -> VotingMembers:
        """The voting members as of the last entry, committed or not."""
        return self.voting_members_history[-1].voting_members

    def voting_members_at(self, number: int) -> VotingMembers:
        """Returns the voting members as of entry `number`."""
        history = reversed(self.voting_members_history)
        return next(change.voting_members for change in history if change.number <= number)

    @property
    def last_voting_members_change(self) -> int:
        """The number of the last entry that changed the voting members, or the number of the snapshot."""
        return self.voting_members_history[-1].number

    def entry(self, number: int) -> bytes:
        """Returns entry `number`, which must come after the snapshot."""
        return self.entries[number - self.base - 1]

    def digest_at(self, number: int) -> bytes | None:
        """Returns the digest of the log up to entry `number`, or None if it is before the snapshot or after the end."""
        return self.digests[number - self.base] if self.base <= number <= self.end else None

    def extend(self, entries: Sequence[bytes]) -> None:
        """Appends entries with their digests, and records each change of the voting members."""
        for entry in entries:
            self.entries.append(entry)
            self.digests.append(_chained_digest(self.digests[-1], entry))
            self.size += len(entry)
            if entry.startswith(VOTING_MEMBERS_CHANGE_PREFIXES):
                after = self.voting_members.after(read_entry(entry))
                self.voting_members_history.append(VotingMembersChange(self.end, after))

    def merge(self, first: int, entries: Sequence[bytes]) -> int | None:
        """Merges the leader's entries from `first` on: keeps equal entries, replaces the log from the first difference.

        Returns the number of the first new entry, or None. `first` is at most one beyond the end of the log.
        """
        for number, entry in enumerate(entries, first):
            if number <= self.base or (number <= self.end and self.entry(number) == entry):
                continue
            self.truncate_after(number - 1)
            self.extend(entries[number - first :])
            return number
        return None

    def truncate_after(self, last: int) -> None:
        """Removes all entries after `last`."""
        kept = max(0, last - self.base)
        self.size -= sum(map(len, self.entries[kept:]))
        del self.entries[kept:]
        del self.digests[kept + 1 :]
        while self.voting_members_history[-1].number > last and len(self.voting_members_history) > 1:
            self.voting_members_history.pop()

    def entries_from(self, first: int, max_bytes: int) -> tuple[bytes, ...]:
        """Returns consecutive entries from `first` on, with a total size of at most `max_bytes`."""
        chosen: list[bytes] = []
        size = 0
        for entry in self.entries[max(0, first - self.base - 1) :]:
            size += len(entry)
            if size > max_bytes:
                break
            chosen.append(entry)
        return tuple(chosen)

    def bytes_after(self, number: int) -> int:
        """Returns the total size in bytes of all entries after `number`."""
        return sum(map(len, self.entries[max(0, number - self.base) :]))

    def compact(self, last: int, state: Any) -> None:
        """Replaces all entries up to `last` by a snapshot of `state`."""
        digest = self.digests[last - self.base]
        kept = last - self.base
        self.snapshot = Snapshot(last, msgspec.json.encode(state), self.voting_members_at(last), digest)
        self._encoded = None
        self.size -= sum(map(len, self.entries[:kept]))
        del self.entries[:kept]
        del self.digests[:kept]
        later = [change for change in self.voting_members_history if change.number > last]
        self.voting_members_history = [VotingMembersChange(last, self.snapshot.voting_members), *later]

    def encoded_snapshot(self) -> EncodedSnapshot:
        """Returns the encoded snapshot, which is cached until the next compaction."""
        if self._encoded is None:
            self._encoded = encode_snapshot(self.snapshot)
        return self._encoded
