"""The messages between voters about leases of singleton roles."""

from sumachook.transport.node_message import NodeMessage

RELEASED = -1.0  # as `RenewLease.sent`: the sender holds the role no more and will renew no more under this fence


class ClaimLease(NodeMessage, frozen=True, tag="bid"):
    """The sender wants to hold a vacant role under `fence`; a later round of its claim replaces the earlier ones."""

    role: str
    fence: int
    round: int


class ClaimVote(NodeMessage, frozen=True, tag="vote"):
    """The sender votes for the receiver's claim of this round."""

    role: str
    fence: int
    round: int


class RenewLease(NodeMessage, frozen=True, tag="renew"):
    """The holder of a role asks to prolong its lease; `sent` is its own clock in seconds, or `RELEASED`."""

    role: str
    fence: int
    sent: float


class LeaseRenewed(NodeMessage, frozen=True, tag="renewed"):
    """The sender has noted the renewal and will vote for no successor for a while; `sent` is that of the request."""

    role: str
    fence: int
    sent: float


# What a core's `Leases` take from other cores.
LEASE_MESSAGES: tuple[type[NodeMessage], ...] = (ClaimLease, ClaimVote, RenewLease, LeaseRenewed)
