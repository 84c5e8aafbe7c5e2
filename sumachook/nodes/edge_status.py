"""The documents of an edge's /condition and /metrics endpoints."""

from datetime import timedelta
from typing import TYPE_CHECKING, Any

from sumachook.changefeed.trust import Trust

if TYPE_CHECKING:
    from sumachook.nodes.edge import Edge


def condition(edge: "Edge", now: timedelta) -> tuple[int, dict[str, Any]]:
    """Returns the HTTP status, 200 if ready and 503 if not, and the document of the readiness check."""
    trust = edge.follower.trust(now)
    is_open = edge.settings.front is not None or edge.state.is_open(
        edge.settings.zone
    )  # the evacuation of a zone closes its servers, but not the edges that forward requests
    is_leaving = edge.shutdown.has_begun
    is_ready = trust in (Trust.FRESH, Trust.DISCONNECTED) and not is_leaving and is_open
    doc = {
        "node": edge.node,
        "role": "edge",
        "area": edge.settings.zone,
        "trust": trust,
        "number": edge.follower.number,
        "generation": edge.state.generation,
        "ready": is_ready,
        "leaving": is_leaving,
    }
    return (200 if is_ready else 503), doc


def metrics(edge: "Edge", now: timedelta) -> dict[str, Any]:
    """Returns the counters and gauges of an edge."""
    table = edge.inference_pipeline.table
    return {
        "node": edge.node,
        "counts": {"_".join(what): count for what, count in table.counts.items()},
        "lanes": {
            name: {"inUse": server_window.in_use, "shut": server_window.is_breaker_open(now)}
            for name, server_window in table.server_windows.items()
        },
        "rows": len(table.requests),
        "lines": {queue: len(requests) for queue, requests in table.queues.requests.items()},
        "ledgerWaiting": len(edge.ledger_writer.pending),
        "ledgerDropped": edge.ledger_writer.dropped_count,
        "retryBudget": edge.retry_budget.metrics(),
        "number": edge.follower.number,
        "ignored": edge.ignored,
        "members": len(edge.membership.members) + 1,
        "allowances": edge.rate_limiter.describe(),
        "failures": edge.guard.counts,
        "memory": edge.memory_figures,
    }
