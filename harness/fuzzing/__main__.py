"""python -m harness.fuzz: runs misbehaving clients and servers against a real edge and reports broken rules."""

import argparse
import sys
import time

from harness.fuzzing.plan import ServerFault
from harness.fuzzing.run import FAULT_FREE_SHARE, MAX_CONCURRENT_CASES, FuzzOptions, play_cases


def main() -> int:
    """Parses the command line, runs the cases and returns the exit code: 1 if a rule was broken, else 0."""
    parser = argparse.ArgumentParser(prog="python -m harness.fuzz", description=__doc__)
    parser.add_argument("--cases", type=int, default=1000, help="number of cases; each is one client connection")
    parser.add_argument("--seed", type=int, default=1, help="seed of the cases; the same seed produces the same cases")
    parser.add_argument("--first", type=int, default=0, help="number of the first case, to repeat part of a run")
    parser.add_argument(
        "--calm",
        type=float,
        default=FAULT_FREE_SHARE,
        help="share of requests that servers answer without a fault (0 to 1)",
    )
    parser.add_argument(
        "--fault",
        action="append",
        choices=[fault.name for fault in ServerFault],
        help="a fault that servers inject, in place of all; may be given more than once",
    )
    parser.add_argument("--at-once", type=int, default=MAX_CONCURRENT_CASES, help="number of cases at a time")
    given = parser.parse_args()
    faults = tuple(ServerFault[name] for name in given.fault or ()) or tuple(ServerFault)
    began = time.monotonic()
    report = play_cases(
        given.seed, range(given.first, given.first + given.cases), FuzzOptions(given.calm, faults, given.at_once)
    )
    print("\n".join(report.lines()))
    print(f"seed {given.seed}, {time.monotonic() - began:.1f} s")
    return 1 if report.faults() else 0


if __name__ == "__main__":
    sys.exit(main())
