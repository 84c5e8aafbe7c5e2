"""A tenant, the callers, routes and keys that it owns, and its quota."""

from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

from sumachook.configuration.bounds import ItemName

FLOOR, CEILING = 0.5, 1.0  # defaults, as fractions of the quota
PerSecond = Annotated[float, Meta(gt=0, le=1e9)]
QuotaFraction = Annotated[float, Meta(gt=0, le=1000)]
# The name is sent to servers in a request header, so control characters are not allowed.
TenantName = Annotated[str, Meta(min_length=1, max_length=200, pattern=r"^[^\x00-\x1f\x7f]*\Z")]
ApiKey = Annotated[str, Meta(min_length=1, max_length=1024)]
Burst = Annotated[float, Meta(ge=0, le=1e9)]


class Tenant(msgspec.Struct, rename="camel", forbid_unknown_fields=True, frozen=True):
    """A tenant and its quota; a tenant without `keys` requires at least one of the two rates.

    `callers`, `httpRoutes`: names of the callers and routes that it owns; `keys`: API keys that identify its requests
    on forwarding routes if it owns neither; `priority`: 0 (first) to 9, precedes the priority of routes; `burst`:
    requests that its bucket holds, null for `burstS`; `requestsPerS`, `tokensPerS`: its quota in requests and tokens
    per second, null for no limit; tokens are charged as prompt plus maximum output, and corrected by the actual
    output; `burstS`: seconds of its ceiling that its bucket holds; `floor`, `ceiling`: fractions of the quota, the
    guaranteed and the maximum rate; `overCeiling`: whether requests over the ceiling are refused, or yield and run
    after all other requests.
    """

    name: TenantName
    callers: tuple[ItemName, ...] = ()
    http_routes: tuple[ItemName, ...] = ()
    requests_per_s: PerSecond | None = None
    tokens_per_s: PerSecond | None = None
    burst_s: Annotated[float, Meta(gt=0, le=3600)] = 1.0
    floor: QuotaFraction = FLOOR
    ceiling: QuotaFraction = CEILING
    over_ceiling: Literal["refuse", "yield"] = "refuse"
    keys: tuple[ApiKey, ...] = ()
    priority: Annotated[int, Meta(ge=0, le=9)] = 0
    burst: Burst | None = None
    extra: dict[str, Any] = {}

    @property
    def is_known_by_keys(self) -> bool:
        """Whether its requests are identified by API keys; also true if it has no keys, callers or routes left."""
        return bool(self.keys) or not (self.callers or self.http_routes)
