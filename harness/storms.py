"""python -m harness.storms FIRST LAST: seeded random faults over whole towns; prints what broke a rule or did not come back."""

import argparse
from collections import Counter
from concurrent.futures import ProcessPoolExecutor

from sumachook.guise.storm import Storm
from tests.scene import settled

CITIES = ("kosice", "central-java")


def play(seed: int, seconds: float = 60.0, edges=5):
    """(seed, city, outcomes, (first tries, resends), faults) of one storm; the city alternates with the seed."""
    city = CITIES[seed % 2]
    town = settled(seed, city, edges, seatAway=600.0, data="disk")
    callers = town.call_in(0.6)
    storm = Storm(town, callers, seed)
    found = storm.run(seconds)
    return seed, city, dict(Counter(call.outcome for call in callers.calls)), storm.witness.resends(), found


def main():
    parser = argparse.ArgumentParser(prog="python -m harness.storms", description=__doc__)
    parser.add_argument("first", type=int)
    parser.add_argument("last", type=int, help="at most 2000 seeds after the first")
    given = parser.parse_args()
    seeds = range(given.first, min(given.last, given.first + 2000) + 1)
    bad = 0
    with ProcessPoolExecutor(8) as pool:
        for seed, city, outcomes, resends, found in pool.map(play, seeds):
            bad += bool(found)
            print(seed, city, outcomes, f"resends {resends[1]}/{resends[0]}", found or "", flush=True)
    print(f"{len(seeds)} storms, {bad} with faults")
    raise SystemExit(1 if bad else 0)


if __name__ == "__main__":
    main()
