"""Reports the outcomes of the clients' calls by traffic group."""

from collections import Counter
from pathlib import Path
from typing import Any

import msgspec


def report_calls(calls: Any, file: Any = None) -> str:
    """Returns a table of call outcomes and latencies; with `file`, writes each call to it as a line of JSON.

    >>> report_calls(())
    'no calls'
    """
    if file:
        lines = [
            msgspec.json.encode(
                {
                    "number": call.number,
                    "group": call.group,
                    "outcome": call.outcome,
                    "status": call.status,
                    "class": call.fault_class,
                    "run": call.run,
                    "request": call.request,
                    "edge": call.edge,
                    "moves": call.moves,
                    "hasMoved": call.has_moved,
                    "safe": call.safe,
                    "tag": call.tag,
                    "at": call.sent_at.total_seconds(),
                    "seconds": (call.ended_at - call.sent_at).total_seconds() if call.ended_at else None,
                }
            )
            for call in calls
        ]
        Path(file).write_bytes(b"\n".join(lines) + b"\n")
    if not calls:
        return "no calls"
    calls = [call for call in calls if not call.has_moved]  # resent calls count by their resend
    rows = Counter((call.group, call.outcome, call.fault_class or "") for call in calls)
    times: dict[Any, Any] = {}
    for call in calls:
        if call.outcome == "ok":
            times.setdefault(call.group, []).append(
                ((call.first_token_at or call.ended_at) - call.sent_at).total_seconds()
            )
    table = [f"{'class':<12}{'outcome':<10}{'fault':<22}{'calls':>7}"]
    table += [
        f"{group:<12}{outcome:<10}{fault:<22}{count:>7}" for (group, outcome, fault), count in sorted(rows.items())
    ]
    for group, seconds in sorted(times.items()):
        seconds.sort()
        table.append(
            f"{group:<12}first token after {seconds[len(seconds) // 2]:.3f} s (median), {seconds[-1]:.3f} s (last)"
        )
    return "\n".join(table)
