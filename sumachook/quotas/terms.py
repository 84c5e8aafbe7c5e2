"""A tenant's quota limits, computed once per configuration."""

from typing import Any, NamedTuple, Self

from sumachook.configuration.tenant import Tenant
from sumachook.quotas.amounts import UNBOUND, Amounts, finite_or_none

MIN_BURST = 1.0  # a bucket with a capacity below one request would never admit any
# Maximum requests of a configured burst that an edge without an issuer may admit, or a new issuer may grant, while
# nothing is known of earlier admissions.
MAX_UNCOUNTED_BURST = 5.0
YIELD = "yield"  # value of `overCeiling` with which requests over the ceiling run at the lowest priority


class QuotaTerms(NamedTuple):
    """A tenant's limits in requests and tokens.

    `floor` and `ceiling` are rates per second; `floor_burst` and `burst` are the capacities of their token buckets. Up
    to its floor a tenant is served regardless of the usage of other tenants. With `yields`, requests over the ceiling
    are not denied but run after all other requests.
    """

    name: str
    ceiling: Amounts
    floor: Amounts
    burst: Amounts
    floor_burst: Amounts
    yields: bool

    @classmethod
    def of(cls, tenant: Tenant) -> Self:
        """Computes the terms of a configured tenant.

        >>> terms = QuotaTerms.of(Tenant("t", requests_per_s=4.0, ceiling=1.5, burst_s=0.1))
        >>> terms.ceiling.requests, terms.ceiling.tokens, terms.floor.requests, terms.burst.requests
        (6.0, inf, 2.0, 1.0)
        """
        allowance = [UNBOUND if figure is None else figure for figure in (tenant.requests_per_s, tenant.tokens_per_s)]
        ceiling = Amounts(*(figure * tenant.ceiling for figure in allowance))
        floor = Amounts(*(figure * tenant.floor for figure in allowance))
        burst = _burst(ceiling, tenant, tenant.burst)
        floor_burst = _burst(floor, tenant, _uncounted_burst(tenant))
        return cls(tenant.name, ceiling, floor, burst, floor_burst, tenant.over_ceiling == YIELD)

    @classmethod
    def by_tenant(cls, catalogue: Any) -> dict[str, Self]:
        """Returns the terms of all tenants with a request or token limit; the catalogue may be None."""
        tenants = catalogue.tenants if catalogue is not None else ()
        return {tenant.name: cls.of(tenant) for tenant in tenants if _has_bound(tenant)}

    def describe_floor(self) -> dict[str, float | None]:
        """Returns the floor rates as shown to operators."""
        return _describe_rates(self.floor)

    def describe_ceiling(self) -> dict[str, float | None]:
        """Returns the ceiling rates as shown to operators and in records of denied requests."""
        return _describe_rates(self.ceiling)


def _has_bound(tenant: Tenant) -> bool:
    return tenant.requests_per_s is not None or tenant.tokens_per_s is not None


def _burst(rates: Amounts, tenant: Tenant, requests: float | None) -> Amounts:
    """Returns the bucket capacity: `burstS` seconds of the rates, with `requests` instead if it is configured."""
    saved = Amounts(*(max(MIN_BURST, figure * tenant.burst_s) for figure in rates))
    if requests is None or rates.requests == UNBOUND:
        return saved
    return saved._replace(requests=max(MIN_BURST, requests))


def _uncounted_burst(tenant: Tenant) -> float | None:
    """Returns the floor's fraction of a configured burst, capped since the burst already used is unknown by then."""
    return None if tenant.burst is None else min(MAX_UNCOUNTED_BURST, tenant.burst * tenant.floor)


def _describe_rates(amounts: Amounts) -> dict[str, float | None]:
    return {"requestsPerS": finite_or_none(amounts.requests), "tokensPerS": finite_or_none(amounts.tokens)}
