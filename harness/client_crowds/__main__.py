"""python -m harness crowds: plays crowds of clients that don't behave against real processes with limited memory.

Each crowd meets a deployment of its own: three cores and one edge, as deploy/system.toml starts them, among fakes.
Checked: the process lives, its memory (bytes unread in its sockets counted) and descriptors stay within those of its
machine, and ordinary requests are answered beside and after the crowd.
"""

import argparse
import asyncio
import tempfile
from pathlib import Path

from harness.client_crowds.crowds import CROWD_BY_NAME, MEBIBYTE
from harness.client_crowds.trial import MachineLimits, play_crowd


async def play(names: list[str], given: argparse.Namespace, work: Path) -> int:
    """Plays the crowds one after the other, prints what each cost, and returns how many failed a check."""
    faulty = 0
    for number, name in enumerate(names):
        folder = work / f"crowd-{number}"
        folder.mkdir()
        spec = CROWD_BY_NAME[name]
        descriptors = given.descriptors or spec.descriptors
        limits = MachineLimits(given.memory_mb, descriptors, int(given.body_mb * MEBIBYTE))
        result = await play_crowd(spec, limits, folder)
        faulty += bool(result.faults)
        print(result.describe(), *result.faults, sep="\n  ", flush=True)
    return faulty


def main() -> int:
    """Reads the command line and plays the crowds; returns the exit code."""
    parser = argparse.ArgumentParser(prog="python -m harness crowds", description=__doc__)
    parser.add_argument("names", nargs="*", help="crowds to play; all of them by default")
    parser.add_argument("--memory-mb", type=int, default=200, help="memory of each machine, in MiB")
    parser.add_argument("--descriptors", type=int, help="descriptors of each process, by default those of the crowd")
    parser.add_argument("--body-mb", type=float, default=4.0, help="longest body of a client's request, in MiB")
    given = parser.parse_args()
    names = given.names or list(CROWD_BY_NAME)
    if unknown := [name for name in names if name not in CROWD_BY_NAME]:
        parser.error(f"no crowd is named {unknown[0]!r}; there are: {', '.join(CROWD_BY_NAME)}")
    with tempfile.TemporaryDirectory(prefix="sumachook-") as folder:
        faulty = asyncio.run(play(names, given, Path(folder)))
    print(f"{len(names)} crowds, {faulty} with faults")
    return 1 if faulty else 0


if __name__ == "__main__":
    raise SystemExit(main())
