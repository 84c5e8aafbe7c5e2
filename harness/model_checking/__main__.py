"""python -m harness.model COMMAND: random walks, exhaustive exploration and replays of the real control state machines,
in virtual time.
"""

import argparse
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from pathlib import Path

import msgspec

from harness.model_checking.explore import CounterExample, Search
from harness.model_checking.explore import replay as replay_steps
from harness.model_checking.schedule import Schedule, load, play, save
from harness.model_checking.shrink import Shrinker
from harness.model_checking.steps import BEGINNINGS
from harness.model_checking.walk import draw_failure_schedule, draw_lease_schedule, draw_read_schedule, draw_schedule

MAX_SEEDS = 20_000


def _walk(seed: int, draw, voters: int, seconds: float, shrink_for: float, ignored: tuple):
    """Plays one walk and returns (schedule, outcome, schedule after shrinking)."""
    schedule = draw(seed, voters, seconds)
    outcome = play(schedule, ignored)
    if not outcome.findings or not shrink_for:
        return schedule, outcome, schedule
    return schedule, outcome, Shrinker(schedule, outcome.findings[0].rule, shrink_for, ignored).run()


def walk(given) -> int:
    """Plays the walks of a range of seeds; prints and saves a shrunk schedule for each walk that broke a rule.

    Returns exit code 1 if a walk broke a rule, or if a walk or the whole run checked nothing.
    """
    first, last = given.seeds
    seeds = range(first, min(last, first + MAX_SEEDS) + 1)
    rules, counts, seconds, tried, empty = Counter(), Counter(), 0.0, 0, 0
    work = partial(
        _walk,
        draw=given.draw,
        voters=given.seats,
        seconds=given.seconds_of_simulated_time,
        shrink_for=given.shrink,
        ignored=tuple(given.ignore),
    )
    with ProcessPoolExecutor(given.jobs) as pool:
        for schedule, outcome, shrunk in pool.map(work, seeds):
            counts.update(outcome.counts)
            empty += not outcome.findings and not (outcome.counts["delivered"] and outcome.counts["acknowledged"])
            seconds += outcome.seconds
            tried += len(schedule.choices)
            if outcome.findings:
                rules[outcome.findings[0].rule] += 1
                _report(schedule, outcome, shrunk, given.out)
    print(
        f"{len(seeds)} walks with {given.seats} cores, {tried} choices, {seconds / 3600:.2f} simulated hours, "
        f"{dict(counts)}"
    )
    print(f"{sum(rules.values())} walks broke a rule: {dict(rules)}")
    print(f"{empty} walks delivered or acknowledged no change, so nothing was checked in them")
    return 1 if rules or empty or not seeds else 0


def _report(schedule: Schedule, outcome, shrunk: Schedule, folder: Path | None):
    finding = outcome.findings[0]
    print(f"seed {schedule.seed}: {finding.rule} after {outcome.seconds:.1f} s: {finding.text}", flush=True)
    if folder is not None:
        folder.mkdir(parents=True, exist_ok=True)
        path = folder / f"{finding.rule}-{schedule.voters}-{schedule.seed}.json"
        save(shrunk, path)
        print(f"    {len(shrunk.choices)} choices: {path}", flush=True)


def _search(beginning: str, rounds: int, deviations: int, seconds: float):
    return Search(beginning, rounds, deviations, seconds).run()


def explore(given) -> int:
    """Searches from each starting state; prints and saves the steps of each counter-example.

    Returns exit code 1 if a rule was broken, or if a search checked no state or no recovery.
    """
    work = partial(_search, rounds=given.rounds, deviations=given.deviations, seconds=given.seconds)
    states, found, empty = 0, 0, []
    with ProcessPoolExecutor(given.jobs) as pool:
        for report in pool.map(work, given.beginnings):
            states += report.states
            if not report.found and not (report.states and report.recoveries):
                empty.append(report.beginning)
            end = "search complete" if report.is_complete else "search stopped at its limit"
            print(
                f"{report.beginning}: {report.states} states, {report.duplicates} duplicates skipped, "
                f"{report.recoveries} recoveries, {end}",
                flush=True,
            )
            for example in report.found:
                found += 1
                _report_example(example, given.out)
    print(
        f"{states} states within {given.rounds} rounds and {given.deviations} deviations, {found} of them broke a rule"
    )
    if empty or not states:
        print(f"nothing was checked: no state or no recovery from {', '.join(empty) or 'any starting state'}")
    return 1 if found or empty or not states else 0


def _report_example(example: CounterExample, folder: Path | None):
    print(f"    {example.rule}: {example.text}")
    for step in example.steps:
        print(f"        {step.kind} {step.node} {step.other}")
    if folder is not None:
        folder.mkdir(parents=True, exist_ok=True)
        path = folder / f"{example.rule}-{example.beginning}.json"
        path.write_bytes(msgspec.json.format(msgspec.json.encode(example)))
        print(f"    {path}", flush=True)


def replay(given) -> int:
    """Replays the schedule of a walk or the steps of a search from a file; returns exit code 1 if a rule is broken."""
    if "beginning" in msgspec.json.decode(given.file.read_bytes()):
        return _replay_steps(msgspec.json.decode(given.file.read_bytes(), type=CounterExample))
    schedule = load(given.file)
    for choice in schedule.choices:
        print(f"{choice.at:8.3f}  {choice}")
    outcome = play(schedule)
    for finding in outcome.findings:
        print(f"{finding.rule} at {finding.at:.3f}: {finding.text}")
    print(f"{outcome.seconds:.1f} s, {outcome.counts}")
    return 1 if outcome.findings else 0


def _replay_steps(example: CounterExample) -> int:
    for step in example.steps:
        print(f"{step.kind} {step.node} {step.other}")
    broken = replay_steps(example)
    print(broken or "no rule was broken")
    return 1 if broken else 0


def main():
    parser = argparse.ArgumentParser(prog="python -m harness.model", description=__doc__)
    commands = parser.add_subparsers(required=True)
    walks = commands.add_parser("walk", help="run long seeded random walks with whole cores")
    walks.add_argument("--seeds", type=int, nargs=2, default=(1, 20), metavar=("FIRST", "LAST"))
    walks.add_argument("--seats", type=int, choices=(3, 5), default=3)
    walks.add_argument("--seconds-of-simulated-time", type=float, default=60.0, metavar="S")
    drawing = walks.add_mutually_exclusive_group()
    drawing.add_argument(
        "--leases",
        dest="draw",
        action="store_const",
        const=draw_lease_schedule,
        default=draw_schedule,
        help="inject faults into the holders of role leases",
    )
    drawing.add_argument(
        "--reads",
        dest="draw",
        action="store_const",
        const=draw_read_schedule,
        help="read from cores whose incoming messages are delayed",
    )
    drawing.add_argument(
        "--failures",
        dest="draw",
        action="store_const",
        const=draw_failure_schedule,
        help="make components of cores raise exceptions",
    )
    walks.add_argument("--jobs", type=int, default=3)
    walks.add_argument("--out", type=Path, help="folder to which counter-examples are written")
    walks.add_argument(
        "--shrink",
        type=float,
        default=60.0,
        metavar="S",
        help="seconds of real time to shrink one counter-example; 0 disables shrinking",
    )
    walks.add_argument(
        "--ignore", nargs="*", default=(), metavar="RULE", help="rules whose known violations are ignored"
    )
    walks.set_defaults(run=walk)
    searches = commands.add_parser("explore", help="try all sequences of steps up to a bound, with three replicas")
    searches.add_argument("--rounds", type=int, default=2)
    searches.add_argument("--deviations", type=int, default=1)
    searches.add_argument("--beginnings", nargs="*", choices=tuple(BEGINNINGS), default=tuple(BEGINNINGS))
    searches.add_argument(
        "--seconds", type=float, default=1e9, metavar="S", help="limit of real time for each starting state"
    )
    searches.add_argument("--jobs", type=int, default=3)
    searches.add_argument("--out", type=Path, help="folder to which counter-examples are written")
    searches.set_defaults(run=explore)
    replays = commands.add_parser("replay", help="replay the schedule or the counter-example in a file")
    replays.add_argument("file", type=Path)
    replays.set_defaults(run=replay)
    given = parser.parse_args()
    raise SystemExit(given.run(given))


if __name__ == "__main__":
    main()
