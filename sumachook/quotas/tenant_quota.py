"""An edge's quota state for one tenant."""

from collections import deque
from dataclasses import dataclass
from datetime import timedelta

from sumachook.quotas.amounts import NOTHING, UNBOUND, Amounts
from sumachook.quotas.bucket import ROUNDING, Bucket
from sumachook.quotas.events import AdmissionKey
from sumachook.quotas.pending_admission import PendingAdmission
from sumachook.quotas.terms import QuotaTerms

DEMAND_SMOOTHING = 0.8  # weight of the previous average in the exponential moving average of each tick


@dataclass(slots=True)
class Lease:
    """Requests and tokens that this edge may use until `expires_at`."""

    requests: float
    tokens: float
    expires_at: timedelta


class TenantQuota:
    """Leases, pending requests, recent demand, and the edge's part of the floor for times without an issuer."""

    __slots__ = (
        "terms",
        "leases",
        "local",
        "pending",
        "request_count",
        "token_count",
        "demand_per_s",
        "tokens_per_request",
        "exhausted_until",
        "retry_after_s",
        "used",
        "returned",
        "refused",
        "next_borrow_at",
        "next_prefetch_at",
        "admitted_total",
        "refused_total",
        "yielded_total",
        "charged_total",
        "reported_count",
        "requests_per_s",
    )

    def __init__(self, terms: QuotaTerms, now: timedelta):
        self.terms = terms
        self.leases: deque[Lease] = deque()
        self.local = Bucket(NOTHING, NOTHING, now)
        self.pending: dict[AdmissionKey, PendingAdmission] = {}
        # recent demand
        self.request_count = 0  # requests since the last tick
        self.token_count = 0
        self.demand_per_s = 0.0
        self.tokens_per_request = 0.0
        # from the latest response of the issuer
        self.exhausted_until = now
        self.retry_after_s = 0.0
        self.used: tuple[float, ...] = (0, 0)
        # to be sent to the issuer with the next request
        self.returned = NOTHING
        self.refused = 0
        self.next_borrow_at = now
        self.next_prefetch_at = now
        # totals since the edge started
        self.admitted_total = 0
        self.refused_total = 0
        self.yielded_total = 0
        self.charged_total = 0
        # request rate for usage reports
        self.reported_count = 0  # requests since the previous report
        self.requests_per_s = 0.0

    def set_terms(self, terms: QuotaTerms, edge_count: int) -> None:
        """Applies new terms; the local bucket gets 1 / `edge_count` of the floor, none if the count is 0 (unknown)."""
        self.terms = terms
        part = 1 / edge_count if edge_count else 0.0
        rates = Amounts(*(figure if figure == UNBOUND else figure * part for figure in terms.floor))
        capacity = Amounts(*(figure if figure == UNBOUND else figure * part for figure in terms.floor_burst))
        if (rates, capacity) != (self.local.rates, self.local.capacity):
            self.local.set_bounds(rates, capacity)

    # demand ------------------------------------------------------------------------

    def note_request(self, tokens: int) -> None:
        """Counts an incoming request and its estimated tokens towards the demand."""
        self.request_count += 1
        self.reported_count += 1
        self.token_count += tokens

    def update_demand(self, seconds: float) -> None:
        """Updates the moving average of the demand at the end of a tick that lasted `seconds`."""
        if self.request_count:
            self.tokens_per_request = self.token_count / self.request_count
        if seconds > 0:
            new_part = (1 - DEMAND_SMOOTHING) * self.request_count / seconds
            self.demand_per_s = DEMAND_SMOOTHING * self.demand_per_s + new_part
        self.request_count = 0
        self.token_count = 0

    # leases ------------------------------------------------------------------------

    @property
    def available(self) -> tuple[float, float]:
        """Total requests and tokens left in all leases."""
        return sum(lease.requests for lease in self.leases), sum(lease.tokens for lease in self.leases)

    def spend(self, tokens: int) -> bool:
        """Debits one request from the leases, oldest first; returns False, with no change, if they do not cover it."""
        available_requests, available_tokens = self.available
        if available_requests + ROUNDING < 1 or available_tokens + ROUNDING < tokens:
            return False
        missing_requests, missing_tokens = 1.0, float(tokens)
        for lease in self.leases:
            requests_part = min(lease.requests, missing_requests)
            tokens_part = min(lease.tokens, missing_tokens)
            lease.requests -= requests_part
            lease.tokens -= tokens_part
            missing_requests -= requests_part
            missing_tokens -= tokens_part
        while self.leases and self.leases[0].requests <= ROUNDING and self.leases[0].tokens <= ROUNDING:
            self.leases.popleft()
        return True

    def spend_local(self, tokens: int, now: timedelta) -> bool:
        """Debits one request from this edge's part of the floor; returns False if it does not cover it."""
        self.local.refill(now)
        return self.local.spend(1, tokens)

    def add_borrowed(self, amounts: Amounts) -> None:
        """Adds amounts borrowed from another edge to the local bucket, up to the whole floor burst of the tenant."""
        figures = zip(self.local.levels, self.terms.floor_burst, amounts, strict=True)
        self.local.levels = Amounts(
            *(
                level if level == UNBOUND else max(level, min(floor_burst, level + amount))
                for level, floor_burst, amount in figures
            )
        )

    def add_returned(self, requests: float, tokens: float) -> None:
        """Records unused amounts to return to the issuer with the next request, up to the burst."""
        self.returned = Amounts(
            min(self.terms.burst.requests, self.returned.requests + requests),
            min(self.terms.burst.tokens, self.returned.tokens + tokens),
        )

    def expire_leases(self, now: timedelta, stale_after: timedelta) -> None:
        """Returns unused amounts of expired leases to the issuer.

        Leases that expired `stale_after` ago or earlier are dropped: the edge was suspended, and the issuer may no
        longer account for them.
        """
        while self.leases and self.leases[0].expires_at <= now:
            lease = self.leases.popleft()
            if now - lease.expires_at < stale_after:
                self.add_returned(lease.requests, lease.tokens)
