"""Shortens the startup of a process, since after a power loss the startup time is part of the outage."""

import gc
import sys

# Thresholds of the garbage collector: allocations before a collection of the youngest generation, and collections
# before one of the next older generation. Collections are far rarer than with the default of (700, 10, 10).
COLLECTION_THRESHOLDS = (20_000, 20, 20)


def begin_start() -> None:
    """Speeds up the imports of a node's program; must be called before them.

    Disables garbage collection, since imports create no garbage. Nodes use plain HTTP only, so the `ssl` module is
    marked as missing: asyncio and aiohttp then work without TLS and do not load the system's certificates, which would
    take a fifth of the startup time.
    """
    gc.disable()
    if "ssl" not in sys.modules:
        sys.modules["ssl"] = None  # type: ignore[assignment]  # importing it now raises ImportError


def end_start() -> None:
    """Re-enables garbage collection after the imports; objects that exist by now are never scanned again."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*COLLECTION_THRESHOLDS)
    gc.enable()
