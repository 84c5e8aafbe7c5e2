"""The messages between the source of the change feed, in a core, and its followers, in edges."""

from sumachook.transport.node_message import NodeMessage


class Follow(NodeMessage, frozen=True, tag="follow"):
    """A follower subscribes: send what comes after change `number`; the next heartbeat repeats `nonce`."""

    number: int
    nonce: int


class Snapshot(NodeMessage, frozen=True, tag="image"):
    """The packed state up to change `number`, where the changes themselves are gone or longer than it."""

    number: int
    packed: bytes


class SnapshotPart(NodeMessage, frozen=True, tag="image_part"):
    """The bytes from `offset` on of a packed state of `total` bytes that is too long for one message."""

    number: int
    offset: int
    total: int
    data: bytes


class ChangeBatch(NodeMessage, frozen=True, tag="news"):
    """Committed entries in order, numbered from `first` on."""

    first: int
    entries: tuple[bytes, ...]


class FeedHeartbeat(NodeMessage, frozen=True, tag="feed_beat"):
    """The sender holds all changes up to `number` and is in a working view; `nonce` is the follower's last one.

    `wall_clock_ms` is the sender's wall clock, as a vote on the cluster's time.
    """

    number: int
    nonce: int
    wall_clock_ms: int


class Confirm(NodeMessage, frozen=True, tag="confirm"):
    """A follower has applied all changes up to `number`; the next heartbeat repeats `nonce`."""

    number: int
    nonce: int


class Confirmed(NodeMessage, frozen=True, tag="confirmed"):
    """A core passes on to the others that the follower `node` has applied all changes up to `number`."""

    node: str
    number: int


# What an edge's `Follower` takes, and what a core's `Source` does.
FOLLOWER_MESSAGES: tuple[type[NodeMessage], ...] = (Snapshot, SnapshotPart, ChangeBatch, FeedHeartbeat)
SOURCE_MESSAGES: tuple[type[NodeMessage], ...] = (Follow, Confirm, Confirmed)
