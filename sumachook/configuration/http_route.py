"""A route: which requests go to which services, and on what terms."""

from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

from sumachook.configuration.bounds import ItemName, Milliseconds
from sumachook.configuration.split import Split

REPEATABLE, ONCE, STREAM = "repeatable", "once", "stream"


class HttpRoute(msgspec.Struct, rename="camel", forbid_unknown_fields=True, frozen=True):
    """What requests a route matches, and on what terms they are forwarded.

    `host` and `prefix`: what it matches, the prefix begins and ends with a slash; `kind`: whether a request may run
    more than once, must not, or is answered by a stream of events; `timeoutMs`: milliseconds for the whole;
    `targetMs`: milliseconds that are aimed at; `priority`: 0 (first) to 9; `tries`: how often a request may be sent
    in all; `sticky`: sessions stay with a server; `resumable`: a stream goes on elsewhere at its last event;
    `pauseMs`: milliseconds between two events that are aimed at, 0 for none; `split`: the services by weight;
    `public`: no tenant's key is needed; `extra`: what else the operator wrote.
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
