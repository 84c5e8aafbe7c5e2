"""What is known of one node."""

from datetime import timedelta
from enum import StrEnum
from typing import Any, NamedTuple


class MemberStatus(StrEnum):
    """How a member stands; among updates of one incarnation the later one of this list wins."""

    ALIVE = "alive"
    SUSPECT = "suspect"  # it did not answer in time and may still object
    GONE = "gone"  # suspected for too long
    LEFT = "left"  # it said itself that it leaves


REMOVED_STATUSES = (MemberStatus.GONE, MemberStatus.LEFT)
LIVE_STATUSES = (MemberStatus.ALIVE, MemberStatus.SUSPECT)  # a suspect is counted on until its time is over


class MemberUpdate(NamedTuple):
    """What one node tells of another, in the order of the fields on the wire.

    A node raises its `incarnation` to object to what is said of it; `restart_epoch` names one run of its process.
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
    """The update from its fields as they were read; a status that a later version may send stays a string."""
    known_status: Any = _STATUSES.get(status, status)
    return MemberUpdate(node, address, role, zone, incarnation, known_status, http_address, restart_epoch)


class Member:
    """One node as it was last heard of, and since when (monotonic time) it has had that status."""

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
        """What is told of this member to others."""
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
