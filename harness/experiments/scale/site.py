"""The documents of a fleet of a given size: catalogue, server inventory and node settings."""

from harness.experiments.scale.size import CORES, ZONES, Size
from sumachook.membership.member import MemberStatus, MemberUpdate

CLUSTER, SERVICE, HOST = "scale", "llm", "scale.example"
PLATFORM = "127.79.0.1:8142"
MODELS_PER_SERVER, ADAPTER_PLACES, COLD_SHARE, ROUTES = 4, 8, 0.2, 60
REAL_EDGES = 2  # edges that run as real processes beside those with fake traffic


class Site:
    """The catalogue, servers, models held by each server, nodes and settings of a fleet on loopback addresses."""

    __slots__ = ("size", "models", "cold", "servers", "holds", "nodes")

    def __init__(self, size: Size):
        self.size = size
        self.models = tuple(f"model-{number:03}" for number in range(size.models))
        held = max(1, round(size.models * (1 - COLD_SHARE)))
        self.cold = self.models[held:]
        self.servers, self.holds = {}, {}
        for index in range(size.servers):
            name = f"server-{index:04}"
            self.servers[name] = {
                "name": name,
                "kind": "service",
                "address": f"127.78.{index // 250}.{index % 250 + 1}:9000",
                "area": ZONES[index % len(ZONES)],
                "service": SERVICE,
                "slots": 24,
                "leaving": False,
            }
            models = list(
                dict.fromkeys(
                    self.models[(index * MODELS_PER_SERVER + offset) % held] for offset in range(MODELS_PER_SERVER)
                )
            )
            self.holds[name] = {
                model: tuple(f"a{number}" for number in range(1, ADAPTER_PLACES // MODELS_PER_SERVER + 1))
                for model in models
            }
        self.nodes = {
            f"core-{index + 1}": (ZONES[index % len(ZONES)], f"127.76.0.{index + 1}") for index in range(size.cores)
        }
        self.nodes |= {
            f"edge-{index:03}": (ZONES[index % len(ZONES)], f"127.77.{index // 250}.{index % 250 + 1}")
            for index in range(size.edges)
        }

    @property
    def cores(self) -> tuple:
        return tuple(name for name in self.nodes if name.startswith("core-"))

    @property
    def edges(self) -> tuple:
        return tuple(name for name in self.nodes if name.startswith("edge-"))

    def catalogue(self, version: int) -> dict:
        each, extra = divmod(self.size.adapters, self.size.models)
        models = [
            {"name": name, "sizeMb": 68000.0, "loadMs": 600.0, "adapters": each + (index < extra), "adapterMb": 12.0}
            for index, name in enumerate(self.models)
        ]
        engine = {
            "slots": 24,
            "cacheTokens": 200000,
            "memoryMb": 320000.0,
            "adapterPlaces": ADAPTER_PLACES,
            "loadsPerS": 14.0,
            "stride": 8,
            "models": models,
        }
        services = [{"name": SERVICE, "healthPath": "/health", "connections": 640, "engine": engine}]
        return {
            "name": "scale",
            "version": version,
            "areas": list(ZONES),
            "services": services,
            "httpRoutes": [self.route(number) for number in range(ROUTES)],
        }

    def route(self, number: int) -> dict:
        return {
            "name": f"route-{number}",
            "host": HOST,
            "prefix": f"/part-{number}/",
            "kind": "stream",
            "timeoutMs": 6000.0,
            "targetMs": 660.0,
            "tries": 2,
            "resumable": True,
            "pauseMs": 51.0,
            "split": [{"service": SERVICE, "weight": 1}],
        }

    def settings(self, name: str, data: str | None = None) -> dict:
        zone, ip = self.nodes[name]
        founders = self.cores[:CORES]
        seeds = [f"{self.nodes[core][1]}:7660" for core in founders]
        is_core = name.startswith("core-")
        doc = {
            "node": name,
            "address": f"{ip}:7660",
            "area": zone,
            "seeds": seeds,
            "cluster": CLUSTER,
            "platform": PLATFORM,
            "door": f"{ip}:{8146 if is_core else 8140}",
            "listReaders": "leader",
            "fenced": True,
            "seatAway": 30.0,
            "confirmWithin": 9.0,
            "orderWithin": 9.0,
            "resendSlack": 200.0,
            "logLevel": "warning",
        }
        if not is_core:
            return doc | {"front": f"{ip}:8144"}
        return doc | {"founding": seeds if name in founders else [], "data": data or f"data/{name}"}

    def known(self, restart_epoch: int) -> dict:
        """Returns {name: member update} of the edges with fake traffic, with this run's restart epoch."""
        found = {}
        for name in self.edges[REAL_EDGES:]:
            settings = self.settings(name)
            found[name] = MemberUpdate(
                node=name,
                address=settings["address"],
                role="edge",
                zone=settings["area"],
                incarnation=restart_epoch,
                status=MemberStatus.ALIVE,
                http_address=settings["door"],
                restart_epoch=restart_epoch,
            )
        return found
