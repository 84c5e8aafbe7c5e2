"""Adds excerpts of the nodes' logs to the failure of a test with real processes, as the logs are deleted after it."""

import contextlib
from collections.abc import Iterator
from pathlib import Path

from harness.fakes.loop_stalls import LoopStalls

MAX_LINES_PER_NODE = 40
LEVELS = ("WARNING", "ERROR", "CRITICAL")
PLAIN_LINES = ("Starting.", "Leaving", "have ended")


@contextlib.contextmanager
def with_logs_on_failure(work: Path, stalls: LoopStalls) -> Iterator[None]:
    """Adds the noteworthy lines of all nodes' logs below `work` and the stalls of this process to a test failure."""
    try:
        yield
    except (AssertionError, TimeoutError) as error:
        error.add_note("\n".join([stalls.describe(), *noteworthy_lines(work)]))
        raise


def noteworthy_lines(work: Path) -> list[str]:
    """Returns the last warnings, errors, start and stop messages and non-JSON lines (e.g. tracebacks) of each log."""
    lines = []
    for log in sorted(work.rglob("*.log")):
        found = [line for line in log.read_text(errors="replace").splitlines() if _is_noteworthy(line)]
        lines += [f"{log.stem}: {line}" for line in found[-MAX_LINES_PER_NODE:]]
    return lines


def _is_noteworthy(line: str) -> bool:
    is_logged = line.startswith("{")
    return (
        not is_logged or any(f'"level": "{level}"' in line for level in LEVELS) or any(p in line for p in PLAIN_LINES)
    )
