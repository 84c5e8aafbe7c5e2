"""Messages between edges and the core that runs outlier detection."""

from sumachook.transport.node_message import NodeMessage


class OutcomeReport(NodeMessage, frozen=True, tag="outcomes"):
    """Edge to core: (successful, failed) attempts by server since the last report."""

    counts: dict[str, tuple[int, int]]


class EjectServers(NodeMessage, frozen=True, tag="eject"):
    """Core to edges: for how many milliseconds each server gets no requests that another server can serve."""

    durations_ms: dict[str, int]
