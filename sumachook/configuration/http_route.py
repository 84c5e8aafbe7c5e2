"""A forwarding route: maps matching requests to services and sets their timeouts and retries."""

from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

from sumachook.configuration.bounds import ItemName, Milliseconds
from sumachook.configuration.split import Split

REPEATABLE, ONCE, STREAM = "repeatable", "once", "stream"


class HttpRoute(msgspec.Struct, rename="camel", forbid_unknown_fields=True, frozen=True):
    """The requests that a route matches and how they are forwarded.

    `host` and `prefix`: the host and path prefix to match, the prefix begins and ends with a slash; `kind`: whether a
    request may run repeatedly, at most once, or is answered by a stream of events; `timeoutMs`: milliseconds for the
    complete request; `targetMs`: target response time in milliseconds; `priority`: 0 (first) to 9; `tries`: maximum
    number of attempts; `sticky`: requests of a session go to the same server; `resumable`: an interrupted stream
    resumes on another server after its last event; `pauseMs`: target for the milliseconds between two events, 0 for
    none; `split`: the services by weight; `public`: no tenant's key is required; `extra`: fields that are stored but
    not interpreted.
    """

    name: ItemName
    host: Annotated[str, Meta(min_length=1, max_length=255)]
    prefix: Annotated[str, Meta(pattern="^/(.*/)?$", max_length=2000)]
    kind: Literal["repeatable", "once", "stream"]
    timeout_ms: Annotated[float, Meta(gt=0, le=1e10)]
    split: tuple[Split, ...]
    target_ms: Milliseconds = 0.0
    priority: Annotated[int, Meta(ge=0, le=9)] = 0
    tries: Annotated[int, Meta(ge=1, le=1000)] = 1
    sticky: bool = False
    resumable: bool = False
    pause_ms: Milliseconds = 0.0
    public: bool = False
    extra: dict[str, Any] = {}
