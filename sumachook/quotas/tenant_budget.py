"""The lease issuer's state for one tenant."""

from datetime import timedelta
from typing import NamedTuple

from sumachook.quotas.amounts import UNBOUND, Amounts
from sumachook.quotas.bucket import Bucket
from sumachook.quotas.terms import QuotaTerms

RECENT = timedelta(seconds=1)  # window over which grants, demand and denials are summed
SHARE_BURST_S = 0.25  # seconds of its share that an edge may accumulate
MIN_SHARE = 1e-3  # fraction of the ceiling for an edge with almost no demand
DEMAND_MEMORY_S = 10.0  # seconds for which requests beyond the floor count against a tenant

# The smaller of these is reserved in the ceiling's bucket for the edges' own shares; any edge may use the rest.
RESERVED_S = 0.1  # reserve in seconds at the ceiling rate
RESERVED_PART = 0.25  # reserve as a fraction of the burst


class EdgeDemand(NamedTuple):
    """An edge's demand in requests per second and the time at which it was reported."""

    per_s: float
    noted_at: timedelta


class IssuedGrant(NamedTuple):
    """Requests and tokens granted at one time."""

    at: timedelta
    requests: float
    tokens: float


class ReportedDenials(NamedTuple):
    """The number of requests that an edge denied and the time at which it reported them."""

    at: timedelta
    request_count: int


class TenantBudget:
    """Token buckets for the ceiling and floor, each edge's share of the ceiling, and recent grants and denials.

    A new issuer starts with only the floor's burst, because grants of its predecessor are no longer accounted for.
    """

    __slots__ = (
        "terms",
        "ceiling",
        "floor",
        "requested",
        "demand",
        "shares",
        "recent_grants",
        "recent_denials",
        "denied_since",
        "denied_at",
        "warned_at",
    )

    def __init__(self, terms: QuotaTerms, now: timedelta):
        self.terms = terms
        self.ceiling = Bucket(terms.ceiling, terms.burst, now)
        self.floor = Bucket(terms.floor, terms.floor_burst, now)
        self.requested = Bucket(terms.floor, terms.floor_burst, now)  # debited by every request, admitted or denied
        self.ceiling.add(*terms.floor_burst)
        self.floor.add(*terms.floor_burst)
        self.requested.add(*terms.floor_burst)
        self.demand: dict[str, EdgeDemand] = {}  # recent demand by edge
        self.shares: dict[str, Bucket] = {}  # share of the ceiling by edge
        self.recent_grants: list[IssuedGrant] = []
        self.recent_denials: list[ReportedDenials] = []
        self.denied_since: timedelta | None = None
        self.denied_at = now
        self.warned_at: timedelta | None = None

    def set_terms(self, terms: QuotaTerms) -> None:
        """Applies new quota terms to the ceiling and floor buckets; fill levels above the new bounds are cut."""
        self.terms = terms
        self.ceiling.set_bounds(terms.ceiling, terms.burst)
        self.floor.set_bounds(terms.floor, terms.floor_burst)
        self.requested.set_bounds(terms.floor, terms.floor_burst)

    def refill(self, now: timedelta) -> None:
        """Refills the buckets for the time since the previous call and drops grants and denials older than `RECENT`."""
        self.ceiling.refill(now)
        self.floor.refill(now)
        self.requested.refill(now)
        self.recent_grants = [grant for grant in self.recent_grants if now - grant.at < RECENT]
        self.recent_denials = [denials for denials in self.recent_denials if now - denials.at < RECENT]

    def share_of(self, edge: str, demand_per_s: float, now: timedelta) -> Bucket:
        """Returns the bucket for an edge's share of the ceiling, in proportion to its recent demand."""
        self.demand[edge] = EdgeDemand(demand_per_s, now)
        self.demand = {name: demand for name, demand in self.demand.items() if now - demand.noted_at < RECENT}
        self.shares = {name: share for name, share in self.shares.items() if name in self.demand}
        total = sum(demand.per_s for demand in self.demand.values())
        part = max(MIN_SHARE, demand_per_s / total if total else 1.0)
        rates = Amounts(*(figure * part for figure in self.terms.ceiling))
        capacity = Amounts(*(max(1.0, figure * SHARE_BURST_S) for figure in rates))
        if edge not in self.shares:
            self.shares[edge] = Bucket(rates, capacity, now)
            self.shares[edge].add(*capacity)
        share = self.shares[edge]
        share.set_bounds(rates, capacity)
        share.refill(now)
        return share

    def note_requested(self, requests: float, tokens: float) -> None:
        """Counts requests, admitted or denied, against the floor; the debt is capped at `DEMAND_MEMORY_S` of it."""
        self.requested.withdraw(requests, tokens)
        lowest = (-DEMAND_MEMORY_S * figure for figure in self.terms.floor)
        self.requested.levels = Amounts(*map(max, self.requested.levels, lowest))

    def credit_returned(self, requests: float, tokens: float) -> None:
        """Credits amounts that were granted to an edge and returned unused."""
        for bucket in (self.ceiling, self.floor, self.requested):
            bucket.add(requests, tokens)

    @property
    def is_within_floor(self) -> bool:
        """Whether the total demand is within the floor; if so, the edges' shares are not enforced."""
        return self.requested.levels.requests >= 1 and self.requested.levels.tokens >= 0

    @property
    def unreserved(self) -> Amounts:
        """Amounts available to any edge; the reserve is granted by share, so that all edges deny the same fraction."""
        figures = zip(self.ceiling.levels, self.terms.ceiling, self.terms.burst, strict=True)
        return Amounts(
            *(
                level if level == UNBOUND else level - min(rate * RESERVED_S, burst * RESERVED_PART)
                for level, rate, burst in figures
            )
        )

    def used(self) -> tuple[float, float]:
        """Returns the requests and tokens granted in the last second."""
        return sum(grant.requests for grant in self.recent_grants), sum(grant.tokens for grant in self.recent_grants)
