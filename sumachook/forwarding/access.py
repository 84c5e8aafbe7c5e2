"""Who may send requests on a route, and for which tenant."""

from collections.abc import Iterable, Mapping
from datetime import timedelta
from random import Random
from typing import Any, NamedTuple, Self

from sumachook.configuration.http_route import HttpRoute
from sumachook.configuration.tenant import Tenant
from sumachook.forwarding.credential import Credential
from sumachook.requests.failures import FailureKind, RequestFailure

SECRET_BYTES = 32


class Access(NamedTuple):
    """What was found of a request: its tenant, None where it has none, or why it is refused."""

    tenant: Tenant | None = None
    failure: RequestFailure | None = None


class AccessRules:
    """The keys of a configuration's tenants by their digests, made once a configuration: a look-up is one probe.

    As soon as one tenant is known by keys, a request needs one of its own, except on public routes and on routes that
    a tenant owns. A key that is stated is looked up on these as well: one that nobody holds is refused on every route.
    """

    __slots__ = ("tenants", "secret", "tenant_by_digest", "owner_by_route", "is_key_needed", "lowest_priority")

    def __init__(self, tenants: tuple[Tenant, ...], secret: bytes) -> None:
        self.tenants = tenants
        self.secret = secret
        self.tenant_by_digest = {Credential(key).digest(secret): tenant for tenant in tenants for key in tenant.keys}
        self.owner_by_route: Mapping[str, Tenant] = {route: each for each in tenants for route in each.http_routes}
        self.is_key_needed = any(tenant.is_known_by_keys for tenant in tenants)
        self.lowest_priority = max((tenant.priority for tenant in tenants), default=0)

    @classmethod
    def none(cls) -> Self:
        """The rules before there is a configuration."""
        return cls((), b"")

    def check(self, route: HttpRoute, credentials: tuple[Credential, ...]) -> Access:
        """What a request on this route with these keys is to be taken for."""
        if not self.is_key_needed:
            return Access(self.owner_by_route.get(route.name))
        if len(credentials) > 1:
            return Access(failure=FailureKind.UNKNOWN_CALLER.because("more than one key"))
        if credentials:
            tenant = self.tenant_by_digest.get(credentials[0].digest(self.secret))
            if tenant is None:
                return Access(failure=FailureKind.UNKNOWN_CALLER.because("the key is not known"))
            return Access(tenant)
        owner = self.owner_by_route.get(route.name)
        if owner is None and not route.public:
            return Access(failure=FailureKind.UNKNOWN_CALLER.because("a key is needed"))
        return Access(owner)

    def priority_of(self, tenant: Tenant | None) -> int:
        """A tenant's priority; requests without a tenant come after those of all tenants but the last."""
        return self.lowest_priority if tenant is None else tenant.priority


class UrgencyScale:
    """One urgency, 0 (first) to `LOWEST_URGENCY`, for a tenant's priority and then a route's.

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
        """The scale of a configuration; without tenants a route's priority is the urgency itself."""
        routes = {route.priority for route in catalogue.http_routes}
        if not catalogue.tenants:
            routes |= set(range(cls.LOWEST_URGENCY + 1))
        return cls({tenant.priority for tenant in catalogue.tenants} or {0}, routes)

    def level(self, tenant_priority: int, route_priority: int) -> int:
        """The urgency of a request; that of a pair of an earlier configuration may be the last."""
        return self.levels.get((tenant_priority, route_priority), self.LOWEST_URGENCY)


class ClientAccess:
    """What an edge goes by when clients come: rules and urgencies of its configuration, worked out once each.

    `credential_lifetime` is for how long a key is believed without word of a core; None for any time.
    """

    __slots__ = ("random", "secret", "rules", "urgency_scale", "credential_lifetime")

    def __init__(self, random: Random) -> None:
        self.random = random
        self.secret = b""  # under which keys are compared; drawn with the first of them
        self.rules = AccessRules.none()
        self.urgency_scale = UrgencyScale((), ())
        self.credential_lifetime: timedelta | None = None

    def refresh(self, catalogue: Any) -> None:
        """Another configuration is in force."""
        if not self.secret and any(tenant.keys for tenant in catalogue.tenants):
            self.secret = self.random.randbytes(SECRET_BYTES)
        if catalogue.tenants is not self.rules.tenants:
            self.rules = AccessRules(catalogue.tenants, self.secret)
        self.urgency_scale = UrgencyScale.of(catalogue)
