"""A model that the servers of a service can load."""

from typing import Any

import msgspec

from sumachook.configuration.bounds import Count, ItemName, Megabytes, Milliseconds


class EngineModel(msgspec.Struct, rename="camel", forbid_unknown_fields=True, frozen=True):
    """A model with its size, load time and adapters.

    `sizeMb`: megabytes of its weights; `loadMs`: milliseconds of a load while no other is running; `adapters`: number
    of adapters, named a1 to aN; `adapterMb`: megabytes of each adapter; `extra`: fields that are stored but not
    interpreted.
    """

    name: ItemName
    size_mb: Megabytes
    load_ms: Milliseconds
    adapters: Count = 0
    adapter_mb: Megabytes = 0.0
    extra: dict[str, Any] = {}
