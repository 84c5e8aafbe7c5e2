"""The messages between the sources of the change feed in cores and the followers in edges."""

from sumachook.transport.node_message import NodeMessage


class Follow(NodeMessage, frozen=True, tag="follow"):
    """Subscribes a follower to the changes after `number`; the next heartbeat repeats `nonce`."""

    number: int
    nonce: int


class Snapshot(NodeMessage, frozen=True, tag="image"):
    """Carries the packed state up to change `number`, sent if the changes up to it are evicted or exceed a batch."""

    number: int
    packed: bytes


class SnapshotPart(NodeMessage, frozen=True, tag="image_part"):
    """Carries the bytes from `offset` on of a packed state of `total` bytes that is too long for one message."""

    number: int
    offset: int
    total: int
    data: bytes


class ChangeBatch(NodeMessage, frozen=True, tag="news"):
    """Carries consecutive committed entries, the first of which is change `first`."""

    first: int
    entries: tuple[bytes, ...]


class FeedHeartbeat(NodeMessage, frozen=True, tag="feed_beat"):
    """Reports that a core in a working view has all changes up to `number`; repeats the follower's last nonce.

    `wall_clock_ms` is the sender's wall clock, from which receivers estimate the cluster's time.
    """

    number: int
    nonce: int
    wall_clock_ms: int


class Confirm(NodeMessage, frozen=True, tag="confirm"):
    """Confirms that a follower has applied all changes up to `number`; the next heartbeat repeats `nonce`."""

    number: int
    nonce: int


class Confirmed(NodeMessage, frozen=True, tag="confirmed"):
    """Tells the other cores that the follower `node` has applied all changes up to `number`."""

    node: str
    number: int


# The messages that the `Follower` of an edge and the `Source` of a core handle.
FOLLOWER_MESSAGES: tuple[type[NodeMessage], ...] = (Snapshot, SnapshotPart, ChangeBatch, FeedHeartbeat)
SOURCE_MESSAGES: tuple[type[NodeMessage], ...] = (Follow, Confirm, Confirmed)
