"""The days under examples/days, and the command that runs them on the users' bench, tested with a fake of the bench."""

import sys
import tomllib
from pathlib import Path

import msgspec
import pytest

from harness.experiments.days import DEFAULT_DAYS, Run, describe, draw_runs, find_days, main, read_outcome

DAYS = find_days(DEFAULT_DAYS, ())
POINTS = "12345"
LEAST_PER_POINT = 2
ENTRY_FIELDS = {
    "at",
    "kind",
    "for_s",
    "gap_s",
    "share",
    "count",
    "x",
    "how",
    "on",
    "zone",
    "to_zone",
    "service",
    "class",
}
REPORT = {
    "G": 0.5,
    "served": 0.75,
    "refused": 0.0,
    "failed": 0.25,
    "parts": [["worst windows", 0.25, 0.125]],
    "breaks": {},
    "short": [],
    "fault": None,
    "exits_n": 2,
    "config_ack_ms": 40,
}

STAND_IN = """#!{python}
import pathlib, sys
report = sys.argv[sys.argv.index("--report") + 1]
assert sys.argv[1] == "run" and "--why" in sys.argv
if "b.toml" not in sys.argv[3]:
    pathlib.Path(report).write_text('''{report}''')
print("sheet of", sys.argv[3])
"""


@pytest.mark.parametrize("day", DAYS, ids=lambda day: day.stem)
def test_each_day_has_a_description_and_only_known_fields(day):
    text = day.read_text()
    assert text.startswith("# ")
    (entry,) = tomllib.loads(text)["day"]
    assert entry["name"] == day.stem
    for trouble in [*entry["plan"], *entry["faults"]]:
        assert {"at", "kind"} <= set(trouble) <= ENTRY_FIELDS


def test_each_point_has_at_least_two_days_and_all_seeds_differ():
    for point in POINTS:
        assert sum(day.stem.startswith(f"{point}-") for day in DAYS) >= LEAST_PER_POINT
    seeds = [tomllib.loads(day.read_text())["day"][0]["seed"] for day in DAYS]
    assert len(set(seeds)) == len(seeds)


def test_every_day_is_drawn_on_every_site_with_every_seed():
    sites, days = [Path("x.toml"), Path("y.toml")], [Path("a.toml")]
    assert [run.name for run in draw_runs(sites, days, [])] == ["x.a", "y.a"]
    assert [run.name for run in draw_runs(sites, days, [3, 4])] == ["x.a.3", "x.a.4", "y.a.3", "y.a.4"]


def test_broken_rule_fault_or_missing_report_counts_as_broken(tmp_path):
    def outcome(**changes):
        file = tmp_path / "report.json"
        file.write_bytes(msgspec.json.encode({**REPORT, **changes}))
        return read_outcome(Run(Path("x.toml"), Path("a.toml"), None), file, tmp_path / "no.log")

    assert not outcome().is_broken and "none" in describe(outcome())
    assert (outcome().report.exits_n, outcome().report.config_ack_ms) == (REPORT["exits_n"], REPORT["config_ack_ms"])
    assert outcome(breaks={"CONFIG": 2}).is_broken and "CONFIG 2" in describe(outcome(breaks={"CONFIG": 2}))
    assert outcome(fault="ended").is_broken
    sheet = tmp_path / "sheet.log"
    for last, is_broken in (("panic", True), ("fleetbench: idle_race: contract pool is not open", False)):
        sheet.write_text(f"built\n{last}\n")
        missing = read_outcome(Run(Path("x.toml"), Path("a.toml"), 7), tmp_path / "none.json", sheet)
        assert missing.is_broken == is_broken and f"not played: {last}" in describe(missing)


def test_command_plays_all_days_and_its_exit_code_reports_broken_rules(tmp_path, capsys):
    bench, days, out = tmp_path / "bench", tmp_path / "days", tmp_path / "out"
    bench.write_text(STAND_IN.format(python=sys.executable, report=msgspec.json.encode(REPORT).decode()))
    bench.chmod(0o755)
    days.mkdir()
    (days / "a.toml").touch()
    given = ["--bench", str(bench), "--site", "x.toml", "--days", str(days), "--out", str(out)]
    assert main(given) == 0
    assert "0.500" in capsys.readouterr().out and "sheet of" in (out / "x.a.log").read_text()
    (days / "b.toml").touch()
    assert main(given) == 1
    assert "1 with a broken rule" in capsys.readouterr().out
    assert main([*given, "--only", "a"]) == 0
