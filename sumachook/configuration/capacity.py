"""The combined capacity of all servers of a deployment."""

from typing import Any

import msgspec

from sumachook.configuration.tenant import PerSecond


class Capacity(msgspec.Struct, rename="camel", forbid_unknown_fields=True, frozen=True):
    """The total request rate that all servers can handle.

    `requestsPerS`, `tokensPerS`: requests and tokens per second, null for no limit. The sum of the tenants' floors must
    not exceed them; tenants share the rest for requests beyond their floors.
    """

    requests_per_s: PerSecond | None = None
    tokens_per_s: PerSecond | None = None
    extra: dict[str, Any] = {}
