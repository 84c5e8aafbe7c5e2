"""The messages that voters exchange about leases of singleton roles."""

from sumachook.transport.node_message import NodeMessage

RELEASED = -1.0  # value of `RenewLease.sent`: the sender has released the role and will not renew with this token


class ClaimLease(NodeMessage, frozen=True, tag="bid"):
    """Claims a vacant role under the fencing token `fence`; a later round of the claim replaces earlier ones."""

    role: str
    fence: int
    round: int


class ClaimVote(NodeMessage, frozen=True, tag="vote"):
    """Votes for the receiver's claim of this role, fencing token and round."""

    role: str
    fence: int
    round: int


class RenewLease(NodeMessage, frozen=True, tag="renew"):
    """Requests renewal of the sender's lease of a role; `sent` is the sender's clock in seconds, or `RELEASED`."""

    role: str
    fence: int
    sent: float


class LeaseRenewed(NodeMessage, frozen=True, tag="renewed"):
    """Acknowledges a renewal: the sender votes for no successor while the lease lasts; `sent` repeats the request."""

    role: str
    fence: int
    sent: float


# The messages from other cores that the `Leases` of a core handle.
LEASE_MESSAGES: tuple[type[NodeMessage], ...] = (ClaimLease, ClaimVote, RenewLease, LeaseRenewed)
