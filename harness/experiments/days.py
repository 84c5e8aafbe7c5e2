"""python -m harness.days: runs the day files in examples/days with the users' bench and prints the result of each.

The bench is not part of this repository; its path is an argument. For each run, the bench writes an entry to journal/.
"""

from __future__ import annotations

import argparse
import subprocess
import sys
from collections.abc import Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

import msgspec

DEFAULT_DAYS = Path("examples/days")
DEFAULT_OUTPUT = Path("target/days")
DEFAULT_JOBS = 3
SECONDS_PER_DAY = 3600
UNPLAYED = "not played"
NOT_IN_FORCE = "is not open"  # text of the bench for a fault that the contracts of the site exclude


class Report(msgspec.Struct, forbid_unknown_fields=False):
    """The fields of the bench's report that the table shows; `breaks` counts broken rules by their name."""

    G: float
    served: float
    refused: float
    failed: float
    parts: list[tuple[str, float, float]]
    breaks: dict[str, int] = {}
    short: list[str] = []
    fault: str | None = None
    exits_n: int = 0
    config_ack_ms: float | None = None


@dataclass(frozen=True, slots=True)
class Run:
    """One day file on one site with one seed; None selects the seed in the day file."""

    site: Path
    day: Path
    seed: int | None

    @property
    def name(self) -> str:
        seed = "" if self.seed is None else f".{self.seed}"
        return f"{self.site.stem}.{self.day.stem}{seed}"


@dataclass(frozen=True, slots=True)
class Outcome:
    """The report of a run, or the reason why there is none."""

    run: Run
    report: Report | None
    reason: str = ""

    @property
    def is_for_another_site(self) -> bool:
        return self.report is None and NOT_IN_FORCE in self.reason

    @property
    def is_broken(self) -> bool:
        if self.is_for_another_site:
            return False
        return self.report is None or bool(self.report.breaks) or self.report.fault is not None


@dataclass(frozen=True, slots=True)
class Player:
    """Starts the bench program; `options` are appended to every call and `why` is its journal line."""

    bench: Path
    output: Path
    options: tuple[str, ...]
    why: str

    def play(self, run: Run) -> Outcome:
        """Runs one day; writes its report and the output of the bench to the output folder.

        A run is ended after SECONDS_PER_DAY.
        """
        report = self.output / f"{run.name}.json"
        report.unlink(missing_ok=True)
        command = [
            str(self.bench),
            "run",
            str(run.site),
            str(run.day),
            "--jobs",
            "1",
            "--report",
            str(report),
            "--why",
            self.why,
        ]
        if run.seed is not None:
            command += ["--seed", str(run.seed)]
        sheet = self.output / f"{run.name}.log"
        with sheet.open("wb") as log:
            try:
                subprocess.run(
                    [*command, *self.options],
                    check=False,
                    stdout=log,
                    stderr=subprocess.STDOUT,
                    timeout=SECONDS_PER_DAY,
                )
            except (OSError, subprocess.TimeoutExpired) as error:
                return Outcome(run, None, str(error))
        return read_outcome(run, report, sheet)


def read_outcome(run: Run, report: Path, sheet: Path) -> Outcome:
    """Reads a report file.

    If it is invalid, the decoding error is the reason; if it is missing, the last line that the bench printed.
    """
    try:
        return Outcome(run, msgspec.json.decode(report.read_bytes(), type=Report))
    except msgspec.DecodeError as error:
        return Outcome(run, None, f"{UNPLAYED}: {error}")
    except OSError:
        lines = sheet.read_text(errors="replace").splitlines() if sheet.exists() else []
        return Outcome(run, None, f"{UNPLAYED}: {lines[-1] if lines else 'no sheet'}")


def draw_runs(sites: Sequence[Path], days: Sequence[Path], seeds: Sequence[int]) -> Iterator[Run]:
    """Yields a run for each day, site and given seed; without seeds, one with the seed of the day file."""
    for day in days:
        for site in sites:
            for seed in seeds or (None,):
                yield Run(site, day, seed)


def find_days(folder: Path, only: Sequence[str]) -> list[Path]:
    """Returns the day files whose names start with one of the prefixes in `only`, or all if it is empty."""
    return [day for day in sorted(folder.glob("*.toml")) if not only or day.stem.startswith(tuple(only))]


def describe(outcome: Outcome) -> str:
    """Returns the table row of an outcome."""
    report = outcome.report
    if report is None:
        return f"{outcome.run.name:<62} {outcome.reason}"
    windows = next((value for name, _, value in report.parts if name == "worst windows"), 0.0)
    broken = ", ".join(f"{rule} {count}" for rule, count in sorted(report.breaks.items())) or "none"
    remarks = "; ".join([*([report.fault] if report.fault else []), *report.short])
    slowest = "-" if report.config_ack_ms is None else f"{report.config_ack_ms:.0f}"
    return (
        f"{outcome.run.name:<62} {report.G:6.3f} {report.served:6.3f} {windows:7.3f} {report.refused:7.3f} {report.failed:6.3f} "
        f"{slowest:>6} {report.exits_n:5d}  {broken}{'  ' + remarks if remarks else ''}"
    )


HEADER = f"{'site, day, seed':<62}  worth served windows refused failed ack ms exits  broken rules"


def main(arguments: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="python -m harness.days", description=__doc__)
    parser.add_argument("--bench", type=Path, required=True, help="path of the bench program")
    parser.add_argument(
        "--site", type=Path, action="append", required=True, help="a site file; may be given several times"
    )
    parser.add_argument("--days", type=Path, default=DEFAULT_DAYS, help="folder of day files")
    parser.add_argument(
        "--only", action="append", default=[], help="prefix of the names of the days to run; may be given several times"
    )
    parser.add_argument(
        "--seed",
        type=int,
        action="append",
        default=[],
        help="seed in place of that of the day file; may be given several times",
    )
    parser.add_argument("--jobs", type=int, default=DEFAULT_JOBS, help="number of days run concurrently")
    parser.add_argument(
        "--out", type=Path, default=DEFAULT_OUTPUT, help="folder for the output of the bench and its reports"
    )
    parser.add_argument("--no-cpu", action="store_true", help="do not measure processor time")
    parser.add_argument("--why", default="days of our own", help="line for the journal entry of each run")
    given = parser.parse_args(arguments)
    days = find_days(given.days, given.only)
    if not days:
        parser.error(f"{given.days}: no day begins with {', '.join(given.only) or 'anything'}")
    given.out.mkdir(parents=True, exist_ok=True)
    player = Player(given.bench.absolute(), given.out.absolute(), ("--no-cpu",) if given.no_cpu else (), given.why)
    print(HEADER)
    broken = played = 0
    with ThreadPoolExecutor(given.jobs) as pool:
        for outcome in pool.map(player.play, draw_runs(given.site, days, given.seed)):
            broken += outcome.is_broken
            played += outcome.report is not None
            print(describe(outcome), flush=True)
    print(f"{played} played, {broken} with a broken rule, a fault or no report")
    return 1 if broken or not played else 0


if __name__ == "__main__":
    sys.exit(main())
