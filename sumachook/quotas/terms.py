"""A tenant's figures, worked out once a configuration."""

from typing import Any, NamedTuple, Self

from sumachook.configuration.tenant import Tenant
from sumachook.quotas.amounts import UNBOUND, Amounts, shown

MIN_BURST = 1.0  # a bucket that never holds one request would admit none
# Requests of a stated burst that may be let in, or lent by a new issuer, without a count of what was let in before.
MAX_UNCOUNTED_BURST = 5.0
YIELD = "yield"  # the setting under which requests over the ceiling run where servers are free


class QuotaTerms(NamedTuple):
    """What a tenant may use, in requests and tokens.

    `floor` and `ceiling` are a second, `floor_burst` and `burst` are what may be saved up of them; up to its floor a
    tenant is served whatever others use. `yields` tells that requests over the ceiling are not refused but give way
    to all others.
    """

    name: str
    ceiling: Amounts
    floor: Amounts
    burst: Amounts
    floor_burst: Amounts
    yields: bool

    @classmethod
    def of(cls, tenant: Tenant) -> Self:
        """The terms of a tenant of the configuration.

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
        """The terms of all tenants with a bound, of a configuration that may be None."""
        tenants = catalogue.tenants if catalogue is not None else ()
        return {tenant.name: cls.of(tenant) for tenant in tenants if _has_bound(tenant)}

    def shown_floor(self) -> dict[str, float | None]:
        """The floor for operators."""
        return _shown(self.floor)

    def shown_ceiling(self) -> dict[str, float | None]:
        """The ceiling for operators and refused callers."""
        return _shown(self.ceiling)


def _has_bound(tenant: Tenant) -> bool:
    return tenant.requests_per_s is not None or tenant.tokens_per_s is not None


def _burst(rates: Amounts, tenant: Tenant, requests: float | None) -> Amounts:
    """What may be saved up: `burstS` seconds of these rates, or so many requests where they are stated."""
    saved = Amounts(*(max(MIN_BURST, figure * tenant.burst_s) for figure in rates))
    if requests is None or rates.requests == UNBOUND:
        return saved
    return saved._replace(requests=max(MIN_BURST, requests))


def _uncounted_burst(tenant: Tenant) -> float | None:
    """The floor's part of a stated burst: nobody knows by then how much of the burst has been used."""
    return None if tenant.burst is None else min(MAX_UNCOUNTED_BURST, tenant.burst * tenant.floor)


def _shown(amounts: Amounts) -> dict[str, float | None]:
    return {"requestsPerS": shown(amounts.requests), "tokensPerS": shown(amounts.tokens)}
