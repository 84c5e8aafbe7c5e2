"""What an edge answers about itself."""


def condition(edge, now) -> tuple[int, dict]:
    """(status, document) of its readiness."""
    trust = edge.follower.trust(now)
    is_open = edge.params.front is not None or edge.state.is_open(
        edge.params.area
    )  # evacuating a forwarding area closes its servers
    is_leaving = edge.shutdown.has_begun
    is_ready = trust in ("fresh", "cut") and not is_leaving and is_open
    doc = {
        "node": edge.node,
        "role": "edge",
        "area": edge.params.area,
        "trust": trust,
        "number": edge.follower.number,
        "generation": edge.state.generation,
        "ready": is_ready,
        "leaving": is_leaving,
    }
    return (200 if is_ready else 503), doc


def metrics(edge, now) -> dict:
    """Its counters."""
    table = edge.ferry.table
    return {
        "node": edge.node,
        "counts": {"_".join(what): count for what, count in table.counts.items()},
        "lanes": {name: {"inUse": lane.in_use, "shut": lane.is_shut(now)} for name, lane in table.lanes.items()},
        "rows": len(table.rows),
        "lines": {line: len(rows) for line, rows in table.lines.rows.items()},
        "ledgerWaiting": len(edge.quill.entries),
        "ledgerDropped": edge.quill.lost,
        "retryBudget": edge.retry_budget.told(),
        "number": edge.follower.number,
        "ignored": edge.ignored,
        "members": len(edge.membership.members) + 1,
        "allowances": edge.limiter.told(),
    }
