"""python -m harness.city CITY: a whole fleet of real processes, callers at the city's rates, outcomes, a clean stop."""

import argparse
import signal
import tempfile
from pathlib import Path

from harness.local_cluster.processes import Processes
from harness.local_cluster.run_verdict import judge_runs, read_calls


def main():
    parser = argparse.ArgumentParser(prog="python -m harness.city", description=__doc__)
    parser.add_argument("city", choices=["kosice", "central-java"])
    parser.add_argument("--seconds", type=float, default=30.0, help="how long callers call (at most 600)")
    parser.add_argument("--pace", type=float, default=1.0, help="times the city's rates (at most 5)")
    parser.add_argument("--keep", action="store_true", help="no callers: keep the fleet up until Ctrl-C")
    parser.add_argument(
        "--empty", action="store_true", help="servers hold nothing at first; all loads come at the store's pace"
    )
    parser.add_argument("--work", help="folder for params, data and logs; a new temporary one by default")
    given = parser.parse_args()
    work = Path(given.work or tempfile.mkdtemp(prefix="sumachook-"))
    fleet = Processes(Path(__file__).parents[2] / "examples" / given.city, work, given.empty)
    try:
        print(f"up in {fleet.bring_up():.1f} s, {len(fleet.running)} processes, logs in {work}", flush=True)
        if given.keep:
            print("cores", *fleet.http_addresses("core"), "edges", *fleet.http_addresses("edge"), flush=True)
            signal.sigwait({signal.SIGINT, signal.SIGTERM})
            return
        callers = fleet.start_callers(min(given.seconds, 600), min(given.pace, 5), work / "calls.jsonl")
        print(callers.communicate()[0], end="")
        verdict = judge_runs(read_calls(work / "calls.jsonl"), fleet.server_records().values())
        print(verdict.describe())
    finally:
        codes = fleet.stop_all()
        bad = {name: code for name, code in codes.items() if code}
        print(f"stopped {len(codes)} processes" + (f", not cleanly: {bad}" if bad else ", all cleanly"))
    raise SystemExit(0 if verdict.is_good and codes and not bad else 1)


if __name__ == "__main__":
    main()
