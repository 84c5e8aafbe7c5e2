"""python -m harness.city CITY: runs all processes of an example city, sends traffic at its rates, reports outcomes.

The run fails if a rule was broken or a process did not exit with code 0.
"""

import argparse
import signal
import tempfile
from pathlib import Path

from harness.local_cluster.processes import Processes
from harness.local_cluster.run_verdict import judge_runs, read_calls


def main():
    parser = argparse.ArgumentParser(prog="python -m harness.city", description=__doc__)
    parser.add_argument("city", choices=["kosice", "central-java"])
    parser.add_argument("--seconds", type=float, default=30.0, help="duration of the traffic in seconds (at most 600)")
    parser.add_argument("--pace", type=float, default=1.0, help="factor on the city's request rates (at most 5)")
    parser.add_argument(
        "--keep", action="store_true", help="send no traffic and keep the processes running until Ctrl-C"
    )
    parser.add_argument(
        "--empty",
        action="store_true",
        help="model servers start without models; all loads are limited by the store's rate",
    )
    parser.add_argument("--work", help="folder for settings, data and logs; by default a new temporary one")
    given = parser.parse_args()
    work = Path(given.work or tempfile.mkdtemp(prefix="sumachook-"))
    fleet = Processes(Path(__file__).parents[2] / "examples" / given.city, work, given.empty)
    try:
        print(f"ready in {fleet.bring_up():.1f} s, {len(fleet.running)} processes, logs in {work}", flush=True)
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
        print(
            f"stopped {len(codes)} processes"
            + (f", exit codes other than 0: {bad}" if bad else ", all with exit code 0")
        )
    raise SystemExit(0 if verdict.is_good and codes and not bad else 1)


if __name__ == "__main__":
    main()
