"""Records of the replica's log file: encoding and recovery.

A file begins with the identity of the replica. Every later record only adds to the earlier ones, so a view change
writes one short record. The file is rewritten when a snapshot replaces the entries before it.
"""

from collections.abc import Iterable
from typing import Any

import msgspec

from sumachook.consensus.log import Log, Snapshot
from sumachook.consensus.views import NO_VIEW, ViewId
from sumachook.consensus.voting_members import VotingMembers

FILE = "consensus"
IDENTITY = "seat"
Record = tuple[Any, ...]


class Restored:
    """The state of a replica as recovered from its log file."""

    __slots__ = ("log", "promised", "view", "members", "followed")

    def __init__(self) -> None:
        self.log = Log()
        self.promised, self.view, self.followed = NO_VIEW, NO_VIEW, NO_VIEW
        self.members: tuple[str, ...] = ()

    def replay(self, records: Iterable[Record]) -> None:
        """Replays the records of a log file in order; raises ValueError for a record of unknown kind."""
        for record in records:
            match record:
                case ("promise", view):
                    self.promised = max(self.promised, ViewId(*view))
                case ("snapshot", number, state, voting_members, digest):
                    self.log = Log(_snapshot(number, state, voting_members, digest))
                case ("view", view, members, first, entries):
                    self._replace_entries(ViewId(*view), first, entries)
                    self.view, self.members = ViewId(*view), tuple(members)
                    self.promised = max(self.promised, self.view)
                case ("entries", view, first, entries):
                    self._replace_entries(ViewId(*view), first, entries)
                case (kind, *_) if kind != IDENTITY:
                    raise ValueError(f"unknown record {kind!r} in the log file: it was written by another version")

    def _replace_entries(self, view: ViewId, first: int, entries: Iterable[str]) -> None:
        self.followed = max(self.followed, view)
        self.log.truncate_after(first - 1)
        self.log.extend([entry.encode() for entry in entries])


def _snapshot(number: int, state: Any, voting_members: list[Any], digest: str) -> Snapshot:
    addresses, leaving, joining = voting_members
    return Snapshot(
        number, msgspec.json.encode(state), VotingMembers(dict(addresses), leaving, joining), bytes.fromhex(digest)
    )


def promise_record(view: ViewId) -> Record:
    """Returns the record of a promise: after it, no lower view is promised or joined."""
    return ("promise", tuple(view))


def entries_record(view: ViewId, first: int, entries: Iterable[bytes]) -> Record:
    """Returns the record of log entries from `first` on, received from the leader of `view`."""
    return ("entries", tuple(view), first, tuple(entry.decode() for entry in entries))


def view_record(view: ViewId, members: tuple[str, ...], first: int, entries: Iterable[bytes]) -> Record:
    """Returns the record of an installed view, with its log entries from `first` on."""
    return ("view", tuple(view), members, first, tuple(entry.decode() for entry in entries))


def all_records(name: str, restored: Any) -> tuple[Record, ...]:
    """Returns the records that represent the complete state of a replica or of a `Restored` object."""
    log, snapshot = restored.log, restored.log.snapshot
    voting_members = (
        snapshot.voting_members.addresses,
        snapshot.voting_members.leaving,
        snapshot.voting_members.joining,
    )
    records: list[Record] = [(IDENTITY, name), promise_record(restored.promised)]
    records.append(("snapshot", snapshot.number, msgspec.Raw(snapshot.state), voting_members, snapshot.digest.hex()))
    if restored.view != NO_VIEW:
        records.append(view_record(restored.view, restored.members, log.base + 1, log.entries))
        records.append(entries_record(restored.followed, log.end + 1, ()))
    else:
        records.append(entries_record(restored.followed, log.base + 1, log.entries))
    return tuple(records)
