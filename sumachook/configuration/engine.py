"""The properties of the model servers of one service."""

from typing import Annotated, Any

import msgspec
from msgspec import Meta

from sumachook.configuration.bounds import Count, Megabytes, Rate
from sumachook.configuration.engine_model import EngineModel


class Engine(msgspec.Struct, rename="camel", forbid_unknown_fields=True, frozen=True):
    """Capacity of each model server of a service.

    `slots`: maximum concurrent requests per server; `cacheTokens`: prompt tokens in its prefix cache; `memoryMb`:
    megabytes for weights and adapters per server; `adapterPlaces`: maximum loaded adapters; `loadsPerS`: loads per
    second that the weight store allows over all servers, 0 for no limit; `stride`: tokens per event of a stream;
    `extra`: fields that are stored but not interpreted.
    """

    slots: Annotated[int, Meta(ge=1, le=1_000_000)]
    memory_mb: Megabytes
    cache_tokens: Count = 0
    adapter_places: Count = 0
    loads_per_s: Rate = 0.0
    stride: Annotated[int, Meta(ge=1, le=1_000_000)] = 1
    models: tuple[EngineModel, ...] = ()
    extra: dict[str, Any] = {}
