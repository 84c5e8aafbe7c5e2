"""A service: a group of interchangeable servers to which routes forward requests."""

from typing import Annotated, Any

import msgspec
from msgspec import Meta

from sumachook.configuration.bounds import ItemName, Milliseconds, Rate
from sumachook.configuration.engine import Engine


class Service(msgspec.Struct, rename="camel", forbid_unknown_fields=True, frozen=True):
    """Common properties of the servers of a service.

    `healthPath`: path of the health check; `connections`: maximum connections per server; `coldMs`: milliseconds from
    its start for which a server is cold, that is slow; `coldPerS`: requests per second that a cold server can handle;
    `engine`: set for model servers only; `extra`: fields that are stored but not interpreted.
    """

    name: ItemName
    health_path: Annotated[str, Meta(pattern="^/", max_length=2000)] = "/health"
    connections: Annotated[int, Meta(ge=1, le=1_000_000)] = 100
    cold_ms: Milliseconds = 0.0
    cold_per_s: Rate = 0.0
    engine: Engine | None = None
    extra: dict[str, Any] = {}
