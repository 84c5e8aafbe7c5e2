"""Computes a server's free memory and adapter slots from exact sizes, counting everything that may be loaded."""

from collections.abc import Collection, Mapping
from math import fsum
from typing import Any


class FreeCapacity:
    """Checks loads against the memory and adapter slots that the servers of one engine have.

    The argument `models` {model: adapters} is everything that may occupy memory: ready, being loaded, or not confirmed
    as unloaded. A model that the engine does not list has an unknown size, so nothing else fits on its server.

    >>> from types import SimpleNamespace as Item
    >>> models = (Item(name="m", size_mb=60.0, adapter_mb=5.0), Item(name="n", size_mb=50.0, adapter_mb=5.0))
    >>> capacity = FreeCapacity(Item(memory_mb=120.0, adapter_places=2, models=models))
    >>> capacity.free_mb({"m": {"a1"}}), capacity.fits_model({"m": {"a1"}}, "n")
    (55.0, True)
    >>> capacity.fits_model({"m": {"a1", "a2", "a3"}}, "n"), capacity.fits_model({"old": set()}, "n")
    (False, False)
    >>> capacity.fits_adapter({"m": {"a1"}}, "m"), capacity.fits_adapter({"m": {"a1", "a2"}}, "m")
    (True, False)
    """

    __slots__ = ("engine", "models")

    def __init__(self, engine: Any):
        self.engine = engine
        self.models = {model.name: model for model in engine.models}

    def size_mb(self, model: str, adapters: Collection[str] = ()) -> float:
        """Returns the memory of a model with these adapters, in MB; infinite if the engine does not list the model."""
        item = self.models.get(model)
        return item.size_mb + item.adapter_mb * len(adapters) if item else float("inf")

    def free_mb(self, models: Mapping[str, Collection[str]]) -> float:
        """Returns the memory that these models leave free, in MB."""
        used_mb = fsum(self.size_mb(model, adapters) for model, adapters in models.items())
        return float(self.engine.memory_mb - used_mb)

    def fits_model(self, models: Mapping[str, Collection[str]], model: str) -> bool:
        """Returns whether `model` fits in the memory that `models` leave free."""
        return model in self.models and self.free_mb(models) >= self.models[model].size_mb

    def fits_adapter(self, models: Mapping[str, Collection[str]], model: str) -> bool:
        """Returns whether another adapter of `model` fits, by memory and by the server's number of adapter slots."""
        taken = sum(len(adapters) for adapters in models.values())
        return (
            model in self.models
            and taken < self.engine.adapter_places
            and self.free_mb(models) >= self.models[model].adapter_mb
        )
