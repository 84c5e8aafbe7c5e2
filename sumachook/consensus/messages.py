"""Messages between replicas of the consensus group, and their decoding from plain values."""

from collections.abc import Sequence
from functools import cache
from typing import Any, Self

import msgspec

from sumachook.consensus.views import ViewId
from sumachook.transport.node_message import NodeMessage

PLAIN_TYPES = (int, bool, str, bytes)  # types that the codec returns without conversion


class Message(NodeMessage, frozen=True):
    """Base class of all messages between replicas.

    >>> Appended.from_values([(3, "a"), 7])
    Appended(view=ViewId(number=3, replica='a'), end=7)
    """

    @classmethod
    def from_values(cls, values: Sequence[Any]) -> Self:
        """Builds the message from decoded values, and converts nested documents to the types of their fields.

        Raises ValueError if there are too few or too many values, or one is not of the type of its field.
        """
        types = _types_of(cls)
        try:
            return cls(
                *(
                    value if field_type in PLAIN_TYPES else msgspec.convert(value, field_type)
                    for value, field_type in zip(values, types, strict=True)
                )
            )
        except msgspec.ValidationError as error:
            raise ValueError(f"invalid field values for message {cls.__name__}: {error}") from error


class Announcement(Message, frozen=True, tag="standing"):
    """Announces a replica without a vote, which wants to create a group or to become a voter of one."""

    replica: str
    address: str
    is_blank: bool


class PreVote(Message, frozen=True, tag="canvass"):
    """Asks whether the receiver would promise `view` to the sender, whose log ends at `end`; grants repeat `token`."""

    view: ViewId
    installed: ViewId
    end: int
    token: int


class PreVoteGranted(Message, frozen=True, tag="canvass_accepted"):
    """Grants a `PreVote`: the sender neither leads nor hears a leader, and has no better log.

    `start` is normally 0. A replica that has acknowledged no heartbeat since its restart, but may have before it, sends
    the number of its process run: its promise then requires that every voter grants the pre-vote.
    """

    view: ViewId
    token: int
    start: int


class Prepare(Message, frozen=True, tag="prepare"):
    """Asks for a promise to reject every lower view; `released` is a view whose leader has released its lease.

    `start` is not 0 if every voter has granted the pre-vote, so that no lease from before a restart can be valid. It is
    then the run number that the receiver sent with its grant.
    """

    view: ViewId
    voters: tuple[str, ...]
    released: ViewId
    start: int = 0


class Promise(Message, frozen=True, tag="promise"):
    """Confirms a durable promise for `view`, and describes the sender's log without its entries."""

    view: ViewId
    installed: ViewId
    delivered: int
    end: int
    digest: bytes
    first: int


class TakeOver(Message, frozen=True, tag="take_over"):
    """Asks the receiver, which has the best log, to lead in place of the sending leader or candidate.

    `learners` are the addresses of the replicas without a vote known to the sender, by name.
    """

    view: ViewId
    released: ViewId
    learners: dict[str, str]


class Install(Message, frozen=True, tag="install"):
    """Installs a view at a member: the members, the end of the log, and as many entries from `first` on as fit."""

    view: ViewId
    members: tuple[str, ...]
    first: int
    end: int
    previous: bytes
    entries: tuple[bytes, ...]


class Installed(Message, frozen=True, tag="installed"):
    """Acknowledges that the sender has synced the view and its log up to `end`."""

    view: ViewId
    end: int


class Append(Message, frozen=True, tag="append"):
    """Carries new entries of the leader; the receiver fetches those up to `end` that do not fit into one message."""

    view: ViewId
    first: int
    end: int
    committed: int
    previous: bytes
    entries: tuple[bytes, ...]


class Appended(Message, frozen=True, tag="appended"):
    """Acknowledges that the sender has synced the leader's log up to entry `end`."""

    view: ViewId
    end: int


class Fetch(Message, frozen=True, tag="fetch"):
    """Requests the leader's log from `first` on; `digest` is the digest of the sender's log before `first`.

    For a transfer in progress, `number` identifies the snapshot or large entry and `offset` counts the bytes received.
    """

    view: ViewId
    first: int
    digest: bytes
    number: int
    offset: int


class Entries(Message, frozen=True, tag="entries"):
    """Answers `Fetch` with whole entries; `is_match` is false if the two logs differ before `first`."""

    view: ViewId
    first: int
    is_match: bool
    previous: bytes
    entries: tuple[bytes, ...]


class EntryPart(Message, frozen=True, tag="entry_part"):
    """Answers `Fetch` with a part of an entry that exceeds the size of one message."""

    view: ViewId
    number: int
    offset: int
    total: int
    checksum: int
    data: bytes


class SnapshotPart(Message, frozen=True, tag="snapshot_part"):
    """Answers `Fetch` with a part of the encoded snapshot, which covers all entries up to `number`."""

    view: ViewId
    number: int
    digest: bytes
    offset: int
    total: int
    checksum: int
    data: bytes


class Heartbeat(Message, frozen=True, tag="heartbeat"):
    """Heartbeat of the leader with a round number; `echo` repeats the receiver's latest `own_round`."""

    view: ViewId
    round: int
    committed: int
    end: int
    has_lease: bool
    members: tuple[str, ...]
    echo: int


class HeartbeatAck(Message, frozen=True, tag="heartbeat_ack"):
    """Acknowledges a `Heartbeat`; the sender has synced that leader's log up to entry `end`."""

    view: ViewId
    round: int
    promised: ViewId
    end: int
    is_blank: bool
    own_round: int


class Propose(Message, frozen=True, tag="propose"):
    """Carries a part of a proposed change to the leader."""

    number: int
    offset: int
    total: int
    data: bytes


class Yield(Message, frozen=True, tag="yield"):
    """Announces that the leader of `view` has stepped down and holds no lease any more."""

    view: ViewId


class ReplicaLeaving(Message, frozen=True, tag="replica_leaving"):
    """Asks the leader to replace a voter that is shutting down."""

    replica: str


class LeavingNoted(Message, frozen=True, tag="leaving_noted"):
    """Confirms to a leaving voter that the leader knows of it, and whether a learner can replace it."""

    has_replacement: bool


class ReadIndex(Message, frozen=True, tag="read_index"):
    """Asks the leader up to which entry the sender must have delivered before it answers a read."""

    token: int


class ReadIndexAnswer(Message, frozen=True, tag="read_index_answer"):
    """Answers `ReadIndex` with the leader's commit number, which is valid only if the leader holds a lease."""

    token: int
    committed: int
    is_valid: bool


@cache
def _types_of(message_type: type[Message]) -> tuple[Any, ...]:
    return tuple(field.type for field in msgspec.structs.fields(message_type))


TYPES: dict[str, type[Message]] = {
    str(message_type.__struct_config__.tag): message_type for message_type in Message.__subclasses__()
}  # message classes by their tag on the wire
