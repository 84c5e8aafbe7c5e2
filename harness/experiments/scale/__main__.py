"""python -m harness.scale: measures the cost of each role and mechanism against the fleet size; writes the results file
and the plot, and updates the tables of the page.

Most nodes are real state machines with fake traffic, many to a process, over real loopback sockets, beside a few real
processes. Loss of a zone, separation of regions, restarts and a simultaneous start run at the largest size in virtual
time. A run needs fewer than 20 processes and about six processor cores; 380 nodes take about ten minutes.
"""

import argparse
import json
import signal
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from harness.experiments.scale.child import ROOT
from harness.experiments.scale.plot import Plot
from harness.experiments.scale.site import REAL_EDGES
from harness.experiments.scale.size import Size
from harness.experiments.scale.slopes import Slopes
from harness.experiments.scale.socket_run import SocketRun
from harness.experiments.scale.summary import Summary
from harness.experiments.scale.tables import Tables

STORIES, CONCURRENT_STORIES = ("regions_apart", "restarts", "all_start", "zone_gone"), 3
STORY_TIMEOUT_S, MAX_NODES = 900, 400
RESULTS, PLOT, PAGE = ROOT / "docs" / "capacity.json", ROOT / "docs" / "capacity.svg", ROOT / "docs" / "CAPACITY.md"


def measure(nodes: int) -> dict:
    """Runs the measurement of one size and returns the figures that the page needs."""
    with tempfile.TemporaryDirectory(prefix="sumachook-scale-") as work:
        run = SocketRun(Size(nodes), Path(work)).take()
    phases = run.pop("phases")
    rest = phases["rest"]
    run["figures"] = Summary().take(run | {"phases": phases})
    run["memory"] = {
        "core": max(each["resident"] for each in phases["wholes"]["cores"]),
        "edge": max(each["resident"] for each in phases["wholes"]["real"]),
    }
    run["realShare"] = round(sum(each["process"] for each in rest["real"]) / REAL_EDGES / rest["seconds"], 5)
    return run


def revision() -> str:
    """Returns the commit that is measured, marked if the working tree has uncommitted changes to sumachook/."""
    git = lambda *words: subprocess.run(["git", *words], cwd=ROOT, stdout=subprocess.PIPE, text=True).stdout.strip()  # noqa: E731
    return git("rev-parse", "--short", "HEAD") + (" and changes" if git("status", "--porcelain", "sumachook") else "")


def earlier_results(file: Path) -> dict:
    """Returns the earlier results of the same revision, so that sizes and stories can be run one after the other."""
    found = json.loads(file.read_text()) if file.exists() else {}
    return found if found.get("revision") == revision() else {"revision": revision(), "runs": {}, "failures": []}


def write_results(file: Path, results: dict):
    results["slopes"] = Slopes().take({int(nodes): run["figures"] for nodes, run in results["runs"].items()})
    file.write_text(json.dumps(results, indent=1, sort_keys=True) + "\n")


def fail(nodes: int, story: str) -> dict:
    """Runs a failure story in its own process and returns its results."""
    command = [sys.executable, "-m", "harness.experiments.scale.failures", str(nodes), story]
    return json.loads(
        subprocess.run(command, cwd=ROOT, stdout=subprocess.PIPE, text=True, timeout=STORY_TIMEOUT_S, check=True).stdout
    )


def exit_on_sigterm(*_):
    """Handles SIGTERM: exits so that child processes are ended first; further SIGTERMs are ignored meanwhile."""
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    sys.exit("terminated by SIGTERM before the measurement was complete")


def main():
    parser = argparse.ArgumentParser(prog="python -m harness.scale", description=__doc__)
    parser.add_argument("--nodes", default="30,100,380", help="fleet sizes, separated by commas (each 20 to 400)")
    parser.add_argument(
        "--failures",
        type=int,
        help="nodes of the failure stories in virtual time (default: the largest size); 0 keeps their earlier results",
    )
    parser.add_argument("--results", type=Path, default=RESULTS, help="path of the results file")
    parser.add_argument("--plot", type=Path, default=PLOT, help="path of the plot")
    parser.add_argument("--page", type=Path, default=PAGE, help="path of the page whose tables are updated")
    parser.add_argument(
        "--stories", action="store_true", help="run only the failure stories; keep the sizes of the results file"
    )
    parser.add_argument(
        "--again", action="store_true", help="run nothing; generate tables and plot from the results file"
    )
    given = parser.parse_args()
    signal.signal(signal.SIGTERM, exit_on_sigterm)
    if not given.again:
        sizes = sorted({min(MAX_NODES, max(20, int(nodes))) for nodes in given.nodes.split(",")})
        largest = sizes[-1] if given.failures is None else min(MAX_NODES, given.failures)
        results = earlier_results(given.results)
        with ThreadPoolExecutor(CONCURRENT_STORIES) as pool:
            waiting = [pool.submit(fail, largest, story) for story in STORIES if largest]
            for nodes in () if given.stories else sizes:
                run = results["runs"][str(nodes)] = measure(nodes)
                print(f"{nodes} nodes: {run['seconds']} s, {run['processes']} processes", flush=True)
                write_results(given.results, results)
            results["failures"] = [each.result() for each in waiting] or results["failures"]
        write_results(given.results, results)
    results = json.loads(given.results.read_text())
    for name, lines in Tables().take(results).items():
        print(f"\n{name}\n", *lines, sep="\n")
    Plot().take(results, given.plot)
    if given.page.exists():
        given.page.write_text(Tables().put(given.page.read_text(), results))


if __name__ == "__main__":
    main()
