"""python -m harness.storms FIRST LAST: injects seeded random faults into whole deployments in virtual time; prints
violated invariants and deployments that did not recover.
"""

import argparse
from collections import Counter
from concurrent.futures import ProcessPoolExecutor

from harness.run_checks import find_unchecked, seed_range
from sumachook.simulation.fault_injection import FaultInjection
from tests.deployment_fixtures import settled

CITIES = ("kosice", "central-java")


def play(seed: int, seconds: float = 60.0, edges=None):
    """Injects random faults of one seed into a deployment under traffic and checks its invariants.

    Returns (seed, deployment, calls by outcome, (first attempts, retries), violations, injected faults). The example
    deployment alternates with the seed; every third run ends with a fault and no recovery time after it.
    """
    spec = CITIES[seed % 2]
    deployment = settled(seed, spec, edges, voter_away=6.0)
    again = [
        {**group, "again": 0.3} if "keyed" in group else group for group in deployment.spec.traffic
    ]  # callers repeat 30% of keyed requests, as a double click does
    callers = deployment.start_callers(0.6, again)
    fault_injection = FaultInjection(deployment, callers, seed)
    found = fault_injection.run(seconds, ends_with_total_loss=seed % 3 == 2)
    outcomes, resends = (
        Counter(call.outcome for call in fault_injection.invariant_checker.calls),
        fault_injection.invariant_checker.resends(),
    )
    judged = {
        "calls answered": outcomes["ok"],
        "first tries": resends[0],
        "prompts run": sum(sum(record.runs.values()) for record in deployment.records.values()),
        "faults played": len(fault_injection.injected_faults),
    }
    return seed, spec, dict(outcomes), resends, [*found, *find_unchecked(judged)], fault_injection.injected_faults


def main():
    parser = argparse.ArgumentParser(prog="python -m harness.storms", description=__doc__)
    parser.add_argument("first", type=int)
    parser.add_argument("last", type=int, help="last seed; at most 2000 after the first")
    parser.add_argument("--tell", action="store_true", help="for a run with violations, also print the injected faults")
    given = parser.parse_args()
    seeds = seed_range(parser, given.first, given.last, 2000)
    bad = 0
    with ProcessPoolExecutor(8) as pool:
        for seed, spec, outcomes, resends, found, told in pool.map(play, seeds):
            bad += bool(found)
            print(seed, spec, outcomes, f"resends {resends[1]}/{resends[0]}", flush=True)
            for line in found:
                print("   ", line, flush=True)
            for line in told if given.tell and found else ():
                print("       ", *line, flush=True)
    print(f"{len(seeds)} runs, {bad} with violations")
    raise SystemExit(1 if bad else 0)


if __name__ == "__main__":
    main()
