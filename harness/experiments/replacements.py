"""python -m harness.replacements: measures in virtual time how long the replacement of a lost core takes.

The time covers failure detection, state transfer and the change of the view. Cases: three and five voters; the leader
or another core lost; a restart with an empty disk at the old address (0.3 s after the loss), a new core at another
address (0.3 s after the loss; a voter is replaced after an absence of 1.5 s) and an orderly shutdown with a replacement
already running; a small state and one of 3 MB in snapshots.
"""

import argparse
from random import Random

from sumachook.control_state.fields import CompletedRequest
from sumachook.control_state.results import rejected
from tests.consensus.test_losses import _add, _apply, _cores, _deployment, _has_full_view, _seconds_until, _wipe
from tests.deployment_fixtures import box_of, compact_after, leader

LIMIT = 10
LARGE = 300  # stored results of 10 KB each, 3 MB in total


def _fleet(seed, voters, is_large):
    deployment = _deployment(seed, voters)
    for number in range(4, voters + 1):
        _add(deployment, number)
    assert deployment.run_until(lambda: _has_full_view(deployment, voters), 8)
    if is_large:
        compact_after(deployment, 10)
        for core in deployment.machines("core"):
            core.state.requests = {
                f"r{number}": CompletedRequest("0", rejected("x", f"{Random(number).getrandbits(40000):x}"))
                for number in range(LARGE)
            }
        for number in range(12):
            _apply(deployment, f"more-{number}")
    return deployment


def _is_voter_in_full_view(deployment, voters, node):
    return _has_full_view(deployment, voters) and node in leader(deployment).consensus.members


def _measure_replacement(deployment, voters, lost, how):
    """Returns the seconds from the start of the replacement until it is a voter in a full view.

    For an orderly shutdown, the time starts with it and also includes the exit of the old process.
    """
    if how == "empty disk":
        _wipe(deployment, lost)
        deployment.run(0.3)
        deployment.start(lost)
        node = deployment.boxes[lost].machine.node
    elif how == "new machine":
        deployment.vanish(lost)
        deployment.run(0.3)
        node = _add(deployment, 20).machine.node
    else:
        node = _add(deployment, 20).machine.node
        deployment.run(3)
        deployment.stop(lost)
    return _seconds_until(
        deployment,
        lambda: (
            _is_voter_in_full_view(deployment, voters, node)
            and (how != "planned" or deployment.boxes[lost].machine is None)
        ),
        LIMIT,
    )


def measure(voters, is_large, is_leader, how, seeds):
    """Returns the replacement time in seconds for each seed; None if it exceeded LIMIT."""
    found = []
    for seed in seeds:
        deployment = _fleet(seed, voters, is_large)
        leading = box_of(deployment, leader(deployment)).name
        lost = leading if is_leader else next(box.name for box in _cores(deployment) if box.name != leading)
        found.append(_measure_replacement(deployment, voters, lost, how))
    return found


def main():
    """Prints a table of median and longest replacement times; exits with 1 if one exceeded LIMIT."""
    parser = argparse.ArgumentParser(prog="python -m harness.replacements", description=__doc__)
    parser.add_argument(
        "--seeds",
        type=int,
        default=5,
        choices=range(1, 101),
        metavar="N",
        help="number of runs of each case (default: 5)",
    )
    given = parser.parse_args()
    late = 0
    print("| seats | state | lost | how | median s | worst s |\n|---|---|---|---|---|---|")
    for voters in (3, 5):
        for is_large in (False, True):
            for is_leader in (True, False):
                for how in ("empty disk", "new machine", "planned"):
                    found = measure(voters, is_large, is_leader, how, range(400, 400 + given.seeds))
                    late += sum(took is None for took in found)
                    times = sorted(LIMIT if took is None else took for took in found)
                    cells = (
                        f"{voters} | {'3 MB' if is_large else 'small'} | {'leader' if is_leader else 'member'} | {how}"
                    )
                    print(f"| {cells} | {times[len(times) // 2]:.2f} | {times[-1]:.2f} |", flush=True)
    print(f"{late} cores not replaced within {LIMIT} s")
    raise SystemExit(1 if late else 0)


if __name__ == "__main__":
    main()
