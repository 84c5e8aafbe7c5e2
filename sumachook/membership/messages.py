"""The messages by which nodes check each other and spread what they know of members (SWIM)."""

from collections.abc import Sequence
from typing import Any, Self

from sumachook.membership.member import MemberUpdate, update_from_wire
from sumachook.transport.node_message import NodeMessage


class Ping(NodeMessage, frozen=True, tag="probe"):
    """Asks for a `PingAck`; carries the sender's feed number and wall clock (milliseconds since 1970) along."""

    sequence: int
    updates: tuple[MemberUpdate, ...]
    feed_number: int
    wall_clock_ms: int


class PingAck(NodeMessage, frozen=True, tag="probe_ack"):
    """Answer to a `Ping` of this sequence number."""

    sequence: int
    updates: tuple[MemberUpdate, ...]
    feed_number: int
    wall_clock_ms: int


class IndirectPingRequest(NodeMessage, frozen=True, tag="probe_via"):
    """Asks the receiver to ping the node at the address `target`, which did not answer the sender."""

    sequence: int
    target: str
    updates: tuple[MemberUpdate, ...]


class IndirectPing(NodeMessage, frozen=True, tag="probe_for"):
    """A ping on behalf of another node; `origin` is the address of the node that relays it."""

    sequence: int
    origin: str
    updates: tuple[MemberUpdate, ...]


class IndirectPingAck(NodeMessage, frozen=True, tag="via_ack"):
    """Answer to an `IndirectPing`, and then of the relaying node to the `IndirectPingRequest`."""

    sequence: int
    updates: tuple[MemberUpdate, ...]


class Join(NodeMessage, frozen=True, tag="join"):
    """The sender tells of itself, to join or to leave.

    One that joins is answered with a `ViewDifference` by its `digest` (`view_digest.py`); without a digest, as earlier
    versions send it, with a `MemberList`.
    """

    updates: tuple[MemberUpdate, ...]
    digest: bytes = b""


class MemberList(NodeMessage, frozen=True, tag="roll"):
    """All members that the sender knows of, itself among them."""

    updates: tuple[MemberUpdate, ...]


class ViewDifference(NodeMessage, frozen=True, tag="view_difference"):
    """The members that the sender knows in those buckets in which its view differs from that of a `Join`'s sender."""

    updates: tuple[MemberUpdate, ...]

    @classmethod
    def from_values(cls, values: Sequence[Any]) -> Self:
        """The message from the one document that it is on the wire."""
        (updates,) = values
        return cls(tuple(update_from_wire(*update) for update in updates))


# What a node's `Membership` takes from other nodes.
MEMBERSHIP_MESSAGES: tuple[type[NodeMessage], ...] = (
    Ping,
    PingAck,
    IndirectPingRequest,
    IndirectPing,
    IndirectPingAck,
    Join,
    MemberList,
    ViewDifference,
)
