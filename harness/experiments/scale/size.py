"""The size of a fleet: nodes, servers, models, adapters and request rate."""

from dataclasses import dataclass

ZONES = ("north-a", "north-b", "south-a", "south-b")
REGIONS = {"north": ZONES[:2], "south": ZONES[2:]}
CORES = 3


@dataclass(frozen=True, slots=True)
class Size:
    """A fleet of `nodes` nodes; all other quantities are in proportion to the target size of 380 nodes."""

    nodes: int
    cores: int = CORES

    TARGET_NODES, TARGET_SERVERS, TARGET_MODELS, TARGET_ADAPTERS, TARGET_REQUESTS = 380, 600, 230, 3000, 1100.0
    TARGET_TOKENS, TARGET_LOADS_AN_HOUR, TARGET_CHANGES_A_DAY, TARGET_RESTARTS_A_DAY = 450_000, 580, 270, 164

    def _part(self, whole):
        return max(1, round(whole * self.nodes / self.TARGET_NODES))

    edges = property(lambda self: self.nodes - self.cores)
    servers = property(lambda self: self._part(self.TARGET_SERVERS))
    models = property(lambda self: self._part(self.TARGET_MODELS))
    adapters = property(lambda self: self._part(self.TARGET_ADAPTERS))
    requests = property(lambda self: self.TARGET_REQUESTS * self.nodes / self.TARGET_NODES)
