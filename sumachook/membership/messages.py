"""SWIM messages for failure detection and for the dissemination of member updates."""

from collections.abc import Sequence
from typing import Any, Self

from sumachook.membership.member import MemberUpdate, update_from_wire
from sumachook.transport.node_message import NodeMessage


class Ping(NodeMessage, frozen=True, tag="probe"):
    """Requests a `PingAck`; carries the sender's feed number and wall clock (milliseconds since 1970)."""

    sequence: int
    updates: tuple[MemberUpdate, ...]
    feed_number: int
    wall_clock_ms: int


class PingAck(NodeMessage, frozen=True, tag="probe_ack"):
    """Acknowledges the `Ping` with this sequence number."""

    sequence: int
    updates: tuple[MemberUpdate, ...]
    feed_number: int
    wall_clock_ms: int


class IndirectPingRequest(NodeMessage, frozen=True, tag="probe_via"):
    """Asks the receiver to ping the node at the address `target`, which did not answer the sender's own ping."""

    sequence: int
    target: str
    updates: tuple[MemberUpdate, ...]


class IndirectPing(NodeMessage, frozen=True, tag="probe_for"):
    """Pings a node on behalf of another one; `origin` is the address of the relaying node."""

    sequence: int
    origin: str
    updates: tuple[MemberUpdate, ...]


class IndirectPingAck(NodeMessage, frozen=True, tag="via_ack"):
    """Acknowledges an `IndirectPing`; the relaying node then answers its `IndirectPingRequest` with another one."""

    sequence: int
    updates: tuple[MemberUpdate, ...]


class Join(NodeMessage, frozen=True, tag="join"):
    """Announces that the sender joins or leaves the cluster.

    A joining node is answered with a `ViewDifference` computed from its `digest` (`view_digest.py`). A message without
    a digest, as earlier versions send it, is answered with a `MemberList`.
    """

    updates: tuple[MemberUpdate, ...]
    digest: bytes = b""


class MemberList(NodeMessage, frozen=True, tag="roll"):
    """Lists all members known to the sender, including itself."""

    updates: tuple[MemberUpdate, ...]


class ViewDifference(NodeMessage, frozen=True, tag="view_difference"):
    """Lists the sender's members in those digest buckets that differ from the digest of a received `Join`."""

    updates: tuple[MemberUpdate, ...]

    @classmethod
    def from_values(cls, values: Sequence[Any]) -> Self:
        """Builds the message from its only field, a JSON document; raises `ValueError` if there are more fields."""
        (updates,) = values
        return cls(tuple(update_from_wire(*update) for update in updates))


# The message types that a node routes to its `Membership`.
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
