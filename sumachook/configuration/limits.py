"""Size and time limits of client requests and connections."""

from typing import Annotated, Any

import msgspec
from msgspec import Meta

Bytes = Annotated[int, Meta(ge=1, le=1 << 32)]
DurationMs = Annotated[float, Meta(gt=0, le=1e9)]


class Limits(msgspec.Struct, rename="camel", forbid_unknown_fields=True, frozen=True):
    """Limits of each client connection and its requests.

    `headerBytes`, `bodyBytes`: maximum bytes of a request's head and body; `headerMs`: timeout in milliseconds for
    receiving the head; `idleMs`: idle timeout of a connection in milliseconds; `extra`: fields that are stored but not
    interpreted.
    """

    header_bytes: Bytes = 16384
    body_bytes: Bytes = 4 << 20
    header_ms: DurationMs = 3000.0
    idle_ms: DurationMs = 15000.0
    extra: dict[str, Any] = {}
