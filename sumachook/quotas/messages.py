"""Quota messages between edges and cores, and among edges."""

from collections.abc import Sequence
from typing import Any, NamedTuple, Self

from sumachook.quotas.amounts import Amounts
from sumachook.transport.node_message import NodeMessage


class LeaseDemand(NamedTuple):
    """An edge's demand for one tenant.

    `pending_tokens` lists the tokens of each pending request. `requests` and `tokens` are prefetched ahead of demand,
    and `demand_per_s` is the edge's request rate. `refused` counts the requests denied since the previous message.
    `returned_requests` and `returned_tokens` are unused amounts that go back to the issuer.
    """

    pending_tokens: Sequence[int]
    requests: float
    tokens: float
    demand_per_s: float
    refused: int
    returned_requests: float
    returned_tokens: float


class LeaseGrant(NamedTuple):
    """The issuer's grant to an edge for one tenant.

    `decisions` holds the decision on each pending request. `requests` and `tokens` are leased ahead of demand.
    `used_requests` and `used_tokens` are the totals granted to all edges in the last second.
    """

    decisions: Sequence[bool]
    requests: float
    tokens: float
    retry_after_s: float
    used_requests: float
    used_tokens: float


class LeaseRequest(NodeMessage, frozen=True, tag="allow_ask"):
    """An edge's request to the lease issuer, with its demand for each tenant."""

    number: int
    demands: dict[str, LeaseDemand]

    @classmethod
    def from_values(cls, values: Sequence[Any]) -> Self:
        """Builds the message from its decoded field values, in the order of the fields."""
        number, demands = values
        return cls(number, {tenant: LeaseDemand(*demand) for tenant, demand in demands.items()})


class LeaseResponse(NodeMessage, frozen=True, tag="allow_give"):
    """Response to the `LeaseRequest` with this number; a higher `fence` supersedes responses under lower ones."""

    fence: int
    number: int
    grants: dict[str, LeaseGrant]

    @classmethod
    def from_values(cls, values: Sequence[Any]) -> Self:
        """Builds the message from its decoded field values, in the order of the fields."""
        fence, number, grants = values
        return cls(fence, number, {tenant: LeaseGrant(*grant) for tenant, grant in grants.items()})


class BorrowRequest(NodeMessage, frozen=True, tag="allow_beg"):
    """An edge's request to other edges, while there is no issuer, for the unused part of their floors, by tenant."""

    number: int
    wanted: dict[str, Amounts]

    @classmethod
    def from_values(cls, values: Sequence[Any]) -> Self:
        """Builds the message from its decoded field values, in the order of the fields."""
        number, wanted = values
        return cls(number, {tenant: Amounts(*amounts) for tenant, amounts in wanted.items()})


class BorrowResponse(NodeMessage, frozen=True, tag="allow_lend"):
    """Response to the `BorrowRequest` with this number: amounts that the sender took from its part of the floor."""

    number: int
    lent: dict[str, Amounts]

    @classmethod
    def from_values(cls, values: Sequence[Any]) -> Self:
        """Builds the message from its decoded field values, in the order of the fields."""
        number, lent = values
        return cls(number, {tenant: Amounts(*amounts) for tenant, amounts in lent.items()})


class UsageReport(NodeMessage, frozen=True, tag="allow_report"):
    """An edge's quota usage as shown to operators: one document per tenant."""

    report: dict[str, dict[str, Any]]
