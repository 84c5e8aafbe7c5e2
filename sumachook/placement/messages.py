"""Messages about replica placement between edges and cores."""

from typing import Any

from sumachook.transport.node_message import NodeMessage

# {service: {"model" or "model/adapter": (number of waiting requests, ms until the earliest deadline)}}
RequestsByService = dict[str, dict[str, tuple[int, float]]]
# {service: {name: (requests started since the last report, running now, {server: running now})}}
UsageByService = dict[str, dict[str, tuple[Any, ...]]]
# {server: {model: adapters}, or None for a server that must not get requests}
PlacementsByServer = dict[str, dict[str, tuple[str, ...]] | None]


class DemandReport(NodeMessage, frozen=True, tag="demand"):
    """Reports how many requests for each model or adapter an edge received since its last report."""

    counts: dict[str, float]


class PlacementRequest(NodeMessage, frozen=True, tag="want"):
    """Lists the models and adapters that requests at an edge wait for, because no known server holds them."""

    requests: RequestsByService


class ModelUsage(NodeMessage, frozen=True, tag="usage"):
    """Reports the requests that an edge started since its last report, and those running now."""

    usage: UsageByService


class PlacementUpdate(NodeMessage, frozen=True, tag="places"):
    """Tells an edge which servers hold which models, as a full snapshot or as a delta to the previous update.

    Updates are numbered per fencing token and per run (`incarnation`) of the lease holder's process. A delta without
    changes is a heartbeat and repeats the number of the last update.
    """

    fence: int
    incarnation: int
    number: int
    is_snapshot: bool
    servers: PlacementsByServer


class PlacementSnapshotRequest(NodeMessage, frozen=True, tag="places_ask"):
    """Requests a placement snapshot; `number` is that of the edge's last update, or -1 if it has no placements yet."""

    number: int


class ServersLeaving(NodeMessage, frozen=True, tag="leaving"):
    """Notifies edges of servers that will be removed soon, before the change is committed to the control state."""

    servers: tuple[str, ...]


class ServersWarmingUp(NodeMessage, frozen=True, tag="cold"):
    """Tells edges how long each recently started server is still warming up, in milliseconds."""

    servers: dict[str, float]
