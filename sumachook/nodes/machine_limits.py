"""Limits of the machine that a process runs on."""

from dataclasses import dataclass

from sumachook.memory.budget import DEFAULT_MEMORY_MB
from sumachook.transport.connection_slots import DEFAULT_DESCRIPTORS


@dataclass(frozen=True, slots=True)
class MachineLimits:
    """Memory of the machine in MiB, and the number of descriptors that the process may open."""

    memory_mb: float = DEFAULT_MEMORY_MB
    descriptors: int = DEFAULT_DESCRIPTORS
