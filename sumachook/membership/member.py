"""Member records, their statuses, and the updates about them that nodes exchange."""

from datetime import timedelta
from enum import StrEnum
from typing import Any, NamedTuple


class MemberStatus(StrEnum):
    """Status of a member; of two updates with the same incarnation, the status further down in this list wins."""

    ALIVE = "alive"
    SUSPECT = "suspect"  # did not answer its pings in time and may still refute the suspicion
    GONE = "gone"  # did not refute the suspicion before the timeout
    LEFT = "left"  # announced its own departure


REMOVED_STATUSES = (MemberStatus.GONE, MemberStatus.LEFT)
LIVE_STATUSES = (MemberStatus.ALIVE, MemberStatus.SUSPECT)  # a suspect counts as live until its suspicion times out


class MemberUpdate(NamedTuple):
    """A node's state as sent between nodes, in the order of the fields on the wire.

    A node raises its `incarnation` to refute updates about itself; `restart_epoch` identifies one run of its process.
    """

    node: str
    address: str
    role: str
    zone: str
    incarnation: int
    status: MemberStatus
    http_address: str
    restart_epoch: int


_STATUSES = {status.value: status for status in MemberStatus}


def update_from_wire(
    node: str,
    address: str,
    role: str,
    zone: str,
    incarnation: int,
    status: str,
    http_address: str,
    restart_epoch: int,
) -> MemberUpdate:
    """Builds an update from its decoded fields; an unknown status, as a later version may send it, stays a string."""
    known_status: Any = _STATUSES.get(status, status)
    return MemberUpdate(node, address, role, zone, incarnation, known_status, http_address, restart_epoch)


class Member:
    """Last known state of one node; `status_since` is the monotonic time at which it got its status."""

    __slots__ = (
        "node",
        "address",
        "role",
        "zone",
        "incarnation",
        "status",
        "http_address",
        "restart_epoch",
        "status_since",
    )

    def __init__(self, update: MemberUpdate, now: timedelta):
        (
            self.node,
            self.address,
            self.role,
            self.zone,
            self.incarnation,
            self.status,
            self.http_address,
            self.restart_epoch,
        ) = update
        self.status_since = now

    def to_update(self) -> MemberUpdate:
        """Returns the update that describes this member to other nodes."""
        return MemberUpdate(
            self.node,
            self.address,
            self.role,
            self.zone,
            self.incarnation,
            self.status,
            self.http_address,
            self.restart_epoch,
        )
