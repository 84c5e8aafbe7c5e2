"""A tenant: an office, what is its own, and its part of the capacity."""

from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

from sumachook.configuration.bounds import ItemName

FLOOR, CEILING = 0.5, 1.0  # where the operator states none
PerSecond = Annotated[float, Meta(gt=0, le=1e9)]
Part = Annotated[float, Meta(gt=0, le=1000)]
# it stands in a header of its own on the way to servers
TenantName = Annotated[str, Meta(min_length=1, max_length=200, pattern=r"^[^\x00-\x1f\x7f]*\Z")]
ApiKey = Annotated[str, Meta(min_length=1, max_length=1024)]
Burst = Annotated[float, Meta(ge=0, le=1e9)]


class Tenant(msgspec.Struct, rename="camel", forbid_unknown_fields=True, frozen=True):
    """A tenant and its quota; one without `keys` needs one of the two rates.

    `callers`, `httpRoutes`: names of those that are its own; `keys`: the API keys by which requests on forwarding
    routes are known to be its own, where it owns nothing else; `priority`: 0 (first) to 9, ahead of that of routes;
    `burst`: requests that may be saved up, null for `burstS`; `requestsPerS`, `tokensPerS`: its quota in requests and
    in tokens (prompt and most out, set right by what came out) a second, null for no bound; `burstS`: seconds of its
    ceiling that may be saved up; `floor`, `ceiling`: parts of the quota, what is always let in and what is let in at
    most; `overCeiling`: what is over is refused, or runs and gives way to everybody else's.
    """

    name: TenantName
    callers: tuple[ItemName, ...] = ()
    http_routes: tuple[ItemName, ...] = ()
    requests_per_s: PerSecond | None = None
    tokens_per_s: PerSecond | None = None
    burst_s: Annotated[float, Meta(gt=0, le=3600)] = 1.0
    floor: Part = FLOOR
    ceiling: Part = CEILING
    over_ceiling: Literal["refuse", "yield"] = "refuse"
    keys: tuple[ApiKey, ...] = ()
    priority: Annotated[int, Meta(ge=0, le=9)] = 0
    burst: Burst | None = None
    extra: dict[str, Any] = {}

    @property
    def is_known_by_keys(self) -> bool:
        """Whether its requests are told by their keys; so it is with a tenant that owns nothing and has no key left."""
        return bool(self.keys) or not (self.callers or self.http_routes)
