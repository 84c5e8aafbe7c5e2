"""python -m harness.lost_worth LOG: lists late and lost requests from edges' logs, with their times and causes.

LOG is the output of a run with the logs of its edges, one JSON object per line; other lines are skipped. The cause is
derived from the log line of the request: the time it waited before it was sent, and the result of its last attempt.
"""

import argparse
import re
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path

import msgspec

MESSAGE = "transit: Request late or dropped."
WAIT_FRACTION = 0.5  # fraction of the response time; a longer wait for a server counts as the cause
BUCKET_SECONDS = 4


class Line(msgspec.Struct, rename="camel"):
    """The evaluated fields of an edge's log line; durations are in seconds."""

    message: str
    time: str = ""
    line: str = ""
    asked: str = ""
    state: str = ""
    tries: list[tuple[str, str, float]] = []
    first_token: float | None = None
    duration: float = 0.0
    reason: str = ""
    fault_class: str = msgspec.field(default="", name="class")


@dataclass(frozen=True, slots=True)
class Loss:
    """A request that was late or lost: its route, the cause, the server of the last attempt and the time it ended."""

    route: str
    outcome: str
    cause: str
    server: str
    ended_at: datetime


def read_losses(lines: Iterable[str]) -> Iterator[Loss]:
    """Yields a loss for each log line about a late or dropped request.

    >>> line = ('3.1 edge-1 {"message": "transit: Request late or dropped.", "time": "2026-01-01 00:00:09,500", "line": "r", "state": "done",'
    ...     ' "tries": [["i-1", "", 0.2]], "firstToken": 4.0, "duration": 4.1}')
    >>> [(loss.route, loss.outcome, loss.cause) for loss in read_losses([line, "no object"])]
    [('r', 'late', 'waited for a server')]
    """
    for text in lines:
        at = text.find("{")
        if at < 0 or MESSAGE not in text:
            continue
        line = msgspec.json.decode(text[at:], type=Line)
        ended_at = datetime.strptime(line.time, "%Y-%m-%d %H:%M:%S,%f")
        outcome = "late" if line.state == "done" else "lost"
        yield Loss(line.line, outcome, _cause(line), line.tries[-1][0] if line.tries else "", ended_at)


def _cause(line: Line) -> str:
    waited = line.duration - sum(seconds for _, _, seconds in line.tries)
    until_first = line.first_token if line.first_token is not None else line.duration
    if waited > WAIT_FRACTION * until_first:
        return "waited for a server" if line.state == "done" else f"waited for a server, then {line.fault_class}"
    if line.state != "done":
        return " ".join(filter(None, (line.fault_class, _without_numbers(line.reason))))
    if len(line.tries) > 1:
        return f"sent again after {line.tries[0][1]}"
    return "slow at its server"


def _without_numbers(reason: str) -> str:
    return re.sub(r"\b(?!\d{3}\b)\d+\b", "N", reason)


def table(losses: list[Loss]) -> list[str]:
    """Returns a line per route, outcome and cause: count, the most at one server, and counts per time bucket."""
    if not losses:
        return ["no request was late or lost"]
    begun_at = min(loss.ended_at for loss in losses)
    groups: dict[tuple[str, str, str], list[Loss]] = {}
    for loss in losses:
        groups.setdefault((loss.route, loss.outcome, loss.cause), []).append(loss)
    out = [
        f"{'route':<12}{'outcome':<9}{'cause':<48}{'count':>6}  most at one server  by {BUCKET_SECONDS} s from {begun_at:%H:%M:%S}"
    ]
    for (route, outcome, cause), found in sorted(groups.items(), key=lambda item: -len(item[1])):
        (server, most), *_ = Counter(loss.server for loss in found).most_common(1)
        seconds = Counter(int((loss.ended_at - begun_at).total_seconds()) // BUCKET_SECONDS for loss in found)
        timeline = " ".join(str(seconds.get(bucket, 0)) for bucket in range(max(seconds) + 1))
        out.append(f"{route:<12}{outcome:<9}{cause[:47]:<48}{len(found):>6}  {server or '-':<14}{most:>4}  {timeline}")
    return out


def main() -> None:
    """Prints the table of late and lost requests of one log."""
    parser = argparse.ArgumentParser(prog="python -m harness.lost_worth", description=__doc__)
    parser.add_argument("log", type=Path)
    with parser.parse_args().log.open(errors="replace") as lines:
        print(*table(list(read_losses(lines))), sep="\n")


if __name__ == "__main__":
    main()
