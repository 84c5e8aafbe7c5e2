"""Authenticates clients by API key and determines the tenant and the urgency of a request."""

from collections.abc import Iterable, Mapping
from datetime import timedelta
from random import Random
from typing import Any, NamedTuple, Self

from sumachook.configuration.http_route import HttpRoute
from sumachook.configuration.tenant import Tenant
from sumachook.forwarding.credential import Credential
from sumachook.requests.failures import FailureKind, RequestFailure

SECRET_BYTES = 32


class AccessDecision(NamedTuple):
    """The result of an access check: the tenant of the request (None if it has none), or the reason to refuse it."""

    tenant: Tenant | None = None
    failure: RequestFailure | None = None


class AccessRules:
    """Maps the digests of all API keys of one configuration to tenants, so that checking a key is one dict lookup.

    As soon as one tenant has API keys, every request needs a valid key, except on public routes and on routes that
    a tenant owns. A key sent on such a route is checked as well: an unknown key is refused on every route.
    """

    __slots__ = ("tenants", "secret", "tenant_by_digest", "owner_by_route", "requires_key", "lowest_priority")

    def __init__(self, tenants: tuple[Tenant, ...], secret: bytes) -> None:
        self.tenants = tenants
        self.secret = secret
        self.tenant_by_digest = {Credential(key).digest(secret): tenant for tenant in tenants for key in tenant.keys}
        self.owner_by_route: Mapping[str, Tenant] = {route: each for each in tenants for route in each.http_routes}
        self.requires_key = any(tenant.is_known_by_keys for tenant in tenants)
        self.lowest_priority = max((tenant.priority for tenant in tenants), default=0)

    @classmethod
    def none(cls) -> Self:
        """Returns the empty rules that apply until the first configuration arrives."""
        return cls((), b"")

    def check(self, route: HttpRoute, credentials: tuple[Credential, ...]) -> AccessDecision:
        """Returns the tenant of a request on `route` that carries `credentials`, or why it is refused."""
        if not self.requires_key:
            return AccessDecision(self.owner_by_route.get(route.name))
        if len(credentials) > 1:
            return AccessDecision(failure=FailureKind.UNKNOWN_CALLER.because("more than one key"))
        if credentials:
            tenant = self.tenant_by_digest.get(credentials[0].digest(self.secret))
            if tenant is None:
                return AccessDecision(failure=FailureKind.UNKNOWN_CALLER.because("the key is not known"))
            return AccessDecision(tenant)
        owner = self.owner_by_route.get(route.name)
        if owner is None and not route.public:
            return AccessDecision(failure=FailureKind.UNKNOWN_CALLER.because("a key is needed"))
        return AccessDecision(owner)

    def priority_of(self, tenant: Tenant | None) -> int:
        """Returns the priority of a tenant; a request without one gets the lowest priority of any tenant."""
        return self.lowest_priority if tenant is None else tenant.priority


class UrgencyScale:
    """Maps a tenant's priority, then a route's, to one urgency level from 0 (served first) to `LOWEST_URGENCY`.

    >>> scale = UrgencyScale((1, 0), (2, 0))
    >>> [scale.level(*pair) for pair in ((0, 0), (0, 2), (1, 0), (1, 2))]
    [0, 1, 2, 3]
    >>> crowded = UrgencyScale(range(5), range(5))
    >>> crowded.level(0, 0), crowded.level(0, 4), crowded.level(4, 4)
    (0, 1, 9)
    """

    LOWEST_URGENCY = 9

    __slots__ = ("levels",)

    def __init__(self, tenant_priorities: Iterable[int], route_priorities: Iterable[int]) -> None:
        routes = sorted(set(route_priorities))
        pairs = [(tenant, route) for tenant in sorted(set(tenant_priorities)) for route in routes]
        count = max(len(pairs), self.LOWEST_URGENCY + 1)
        self.levels = {pair: index * (self.LOWEST_URGENCY + 1) // count for index, pair in enumerate(pairs)}

    @classmethod
    def of(cls, catalogue: Any) -> Self:
        """Builds the scale of a configuration; without tenants the priority of a route is the urgency itself."""
        routes = {route.priority for route in catalogue.http_routes}
        if not catalogue.tenants:
            routes |= set(range(cls.LOWEST_URGENCY + 1))
        return cls({tenant.priority for tenant in catalogue.tenants} or {0}, routes)

    def level(self, tenant_priority: int, route_priority: int) -> int:
        """Returns the urgency of a request; an unknown pair, from an earlier configuration, gets the lowest one."""
        return self.levels.get((tenant_priority, route_priority), self.LOWEST_URGENCY)


class ClientAccess:
    """Holds the access rules and the urgency scale of an edge, recomputed for each new configuration.

    `credential_lifetime` is for how long API keys stay valid without contact with a core; None means forever.
    """

    __slots__ = ("random", "secret", "rules", "urgency_scale", "credential_lifetime")

    def __init__(self, random: Random) -> None:
        self.random = random
        self.secret = b""  # keys the digests of API keys; drawn at random when a configuration first has one
        self.rules = AccessRules.none()
        self.urgency_scale = UrgencyScale((), ())
        self.credential_lifetime: timedelta | None = None

    def refresh(self, catalogue: Any) -> None:
        """Recomputes rules and scale after a change of the configuration."""
        if not self.secret and any(tenant.keys for tenant in catalogue.tenants):
            self.secret = self.random.randbytes(SECRET_BYTES)
        if catalogue.tenants is not self.rules.tenants:
            self.rules = AccessRules(catalogue.tenants, self.secret)
        self.urgency_scale = UrgencyScale.of(catalogue)
