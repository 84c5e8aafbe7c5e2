"""python -m harness.platform_city: runs the system as the users' platform does, among fakes, on loopback.

Three cores and some edges are started as processes by deploy/system.toml; the list of servers, the servers, the
operator and the clients are fakes in this process. Prints the outcomes of each kind of request and the broken rules,
and stops everything it started.
"""

import argparse
import asyncio
import signal
import tempfile
from pathlib import Path
from statistics import median

from harness.fakes.deployment import ADDED_KIND, FIRST_CONFIGURATION, KINDS, Deployment
from harness.run_checks import find_unchecked

OUTCOMES = ("in time", "late", "refused", "failed")
UP_WITHIN = 30.0


async def play(work: Path, seconds: float, pace: float, edges: int) -> Deployment:
    """Applies the first configuration, sends traffic, adds a route meanwhile, and reads the configuration back."""
    deployment, loop = Deployment(work, edges), asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):  # stop the started processes before this one exits
        loop.add_signal_handler(number, asyncio.current_task().cancel)
    begun = loop.time()
    async with deployment:
        await asyncio.wait_for(deployment.configure("/Configuration.Replace", FIRST_CONFIGURATION), UP_WITHIN)
        await asyncio.wait_for(deployment.balancer.wait_until_all_ready(), UP_WITHIN)
        print(f"ready in {loop.time() - begun:.1f} s, {len(deployment.nodes.running)} nodes", flush=True)
        async with asyncio.TaskGroup() as calls:
            for kind in KINDS:
                calls.create_task(deployment.call(kind, seconds, pace))
            await asyncio.sleep(seconds / 3)
            await deployment.add_route()
            await asyncio.sleep(2.0)  # by then every edge applies the new route
            calls.create_task(deployment.call(ADDED_KIND, max(1.0, seconds * 2 / 3 - 2.0), pace))
        await deployment.read_back()
        early = [name for name, process in deployment.nodes.running.items() if process.returncode is not None]
    deployment.call_history.noted += [
        f"{name} exited during the run, end of its log: {_tail(work / (name + '.log'))}" for name in early
    ]
    return deployment


def faults_of(deployment) -> list:
    """Returns the broken rules, and each kind of request without a response in time, as nothing was judged for it."""
    in_time = {
        f"requests of {kind.name} in time": sum(
            outcome == OUTCOMES[0] for outcome, _, _ in deployment.outcomes.get(kind.name, ())
        )
        for kind in (*KINDS, ADDED_KIND)
    }
    return [
        *deployment.call_history.violations(),
        *find_unchecked({**in_time, "requests run": len(deployment.call_history.runs)}),
    ]


def report(deployment) -> list:
    lines = [
        f"{'kind':<10}{'asked':>7}"
        + "".join(f"{outcome:>9}" for outcome in OUTCOMES)
        + "  first, median  first, max   failed with"
    ]
    for kind in (*KINDS, ADDED_KIND):
        found = deployment.outcomes.get(kind.name, [])
        counts = "".join(f"{sum(outcome == each for outcome, _, _ in found):>9}" for each in OUTCOMES)
        firsts = [first for outcome, first, _ in found if first is not None and outcome in OUTCOMES[:2]]
        load_times = f"{median(firsts) * 1000:>10.0f} ms{max(firsts) * 1000:>10.0f} ms" if firsts else ""
        statuses = sorted({status for outcome, _, status in found if outcome in OUTCOMES[2:]})
        lines.append(
            f"{kind.name:<10}{len(found):>7}{counts}{load_times:<28}{', '.join(map(str, statuses)):>8}".rstrip()
        )
    runs = sum(map(len, deployment.call_history.runs.values()))
    lines.append(
        f"servers ran {runs} requests, {runs - len(deployment.call_history.runs)} of them repeated; "
        f"{len(deployment.call_history.loads)} loads from the store, "
        f"{deployment.list.count} calls to the list of servers"
    )
    breaches = faults_of(deployment)
    return [*lines, f"broken rules: {len(breaches)}", *breaches]


def _tail(log: Path) -> str:
    return log.read_text(errors="replace")[-600:]


def main():
    parser = argparse.ArgumentParser(prog="python -m harness.platform_city", description=__doc__)
    parser.add_argument("--seconds", type=float, default=20.0, help="duration of the traffic in seconds (at most 300)")
    parser.add_argument("--pace", type=float, default=1.0, help="factor on the usual request rates (at most 10)")
    parser.add_argument("--edges", type=int, default=3, help="number of edge nodes (at most 9)")
    parser.add_argument("--work", help="keep settings, data and logs in this folder")
    given = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="sumachook-") as folder:
        work = Path(given.work or folder).resolve()
        work.mkdir(parents=True, exist_ok=True)
        seconds, pace, edges = min(given.seconds, 300), min(given.pace, 10), max(1, min(given.edges, 9))
        try:
            deployment = asyncio.run(asyncio.wait_for(play(work, seconds, pace, edges), 3 * UP_WITHIN + seconds))
        except asyncio.CancelledError:
            raise SystemExit("interrupted before the end of the run") from None
    print(*report(deployment), sep="\n")
    codes = {name: process.returncode for name, process in deployment.nodes.running.items()}
    bad = {name: code for name, code in codes.items() if code}
    print(f"stopped {len(codes)} nodes" + (f", exit codes other than 0: {bad}" if bad else ", all with exit code 0"))
    raise SystemExit(1 if bad or not codes or faults_of(deployment) else 0)


if __name__ == "__main__":
    main()
