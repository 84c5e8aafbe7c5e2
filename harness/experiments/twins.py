"""python -m harness.twins FIRST LAST: runs each seed's random faults twice, without and with a flood of audits or
dossiers, and compares the response times of the light request groups.
"""

import argparse
from concurrent.futures import ProcessPoolExecutor
from datetime import timedelta

from harness.experiments.storms import CITIES
from harness.run_checks import find_unchecked, seed_range
from sumachook.simulation.fault_injection import FaultInjection
from tests.deployment_fixtures import settled

SECOND = timedelta(seconds=1)
LOOKUP_SLACK, PROMPT_SLACK = timedelta(seconds=0.1), timedelta(seconds=0.3)


def play(seed: int, is_heavy: bool, seconds: float = 30.0):
    """Returns {light request group: (sorted times to the first byte, calls not answered)} of one run."""
    deployment = settled(seed, CITIES[seed % 2], None, voter_away=6.0)
    light, heavy = deployment.spec.traffic[:-1], deployment.spec.traffic[-1]
    callers = deployment.start_callers(0.8, light)
    if is_heavy:
        deployment.start_callers(1.0, [{**heavy, "rate": 10.0}], "flood")
    FaultInjection(deployment, callers, seed).run(seconds, 10.0)
    found = {}
    for group in light:
        calls = [call for call in callers.calls if call.group == group["name"] and not call.key]
        times = sorted((call.first_token_at or call.ended_at) - call.sent_at for call in calls if call.outcome == "ok")
        found[group["name"]] = (times, sum(call.outcome != "ok" and not call.has_moved for call in calls))
    return found


def main():
    parser = argparse.ArgumentParser(prog="python -m harness.twins", description=__doc__)
    parser.add_argument("first", type=int)
    parser.add_argument("last", type=int, help="last seed; at most 500 after the first")
    given = parser.parse_args()
    seeds, is_good = seed_range(parser, given.first, given.last, 500), True
    with ProcessPoolExecutor(8) as pool:
        pairs = [(seed, pool.submit(play, seed, False), pool.submit(play, seed, True)) for seed in seeds]
        sums = {}
        for seed, plain, heavy in pairs:
            for is_heavy, run in enumerate((plain, heavy)):
                for group, (times, failed) in run.result().items():
                    entry = sums.setdefault((CITIES[seed % 2], group), [[[], 0], [[], 0]])[is_heavy]
                    entry[0] += times
                    entry[1] += failed
    print(
        "| deployment | group | answered without, with | median s without, with | 99th percentile s without, with | not answered without, with |\n|---|---|---|---|---|---|"
    )
    faults = find_unchecked({"groups": len(sums)})
    for (spec, group), ((plain, plain_failed), (heavy, heavy_failed)) in sorted(sums.items()):
        plain.sort()
        heavy.sort()
        slack = LOOKUP_SLACK if group in ("stamps", "status") else PROMPT_SLACK
        faults += find_unchecked(
            {f"{group} answered in {spec} without": len(plain), f"{group} answered in {spec} with": len(heavy)}
        )
        is_good &= (
            _quantile(heavy, 0.5) <= _quantile(plain, 0.5) + slack
            and _quantile(heavy, 0.99) <= _quantile(plain, 0.99) * 1.25 + slack
        )
        print(
            f"| {spec} | {group} | {len(plain)}, {len(heavy)} | {_quantile(plain, 0.5) / SECOND:.3f}, {_quantile(heavy, 0.5) / SECOND:.3f} "
            f"| {_quantile(plain, 0.99) / SECOND:.3f}, {_quantile(heavy, 0.99) / SECOND:.3f} | {plain_failed}, {heavy_failed} |"
        )
    print(*(f"{fault}\n" for fault in faults), sep="", end="")
    print(
        f"{len(seeds)} pairs: "
        + ("light requests are not delayed by heavy ones" if is_good else "light requests ARE DELAYED by heavy ones")
    )
    raise SystemExit(0 if is_good and not faults else 1)


def _quantile(times, share):
    return times[min(len(times) - 1, int(len(times) * share))] if times else timedelta(0)


if __name__ == "__main__":
    main()
