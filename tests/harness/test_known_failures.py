"""The list of known failing tests: listed tests may fail and are printed, any other failure fails the run."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

from harness.ci.known_red import FILE, KnownRed

ROOT = Path(__file__).parent.parent.parent
SUITE = """
import pytest

def test_red():
    assert False

def test_green():
    pass

@pytest.fixture
def fallen():
    raise ValueError

def test_without_its_fixture(fallen):
    pass

def test_crash():
    import os
    os._exit(3)
"""


def _run(folder, listed, *chosen):
    """Returns (exit code, output) of pytest for the chosen tests, with two workers, as the project's CI run has several."""
    (folder / "test_suite.py").write_text(SUITE)
    if listed is not None:
        (folder / FILE).write_text(listed)
    tests = [f"test_suite.py::{name}" for name in chosen]
    command = [
        sys.executable,
        "-m",
        "pytest",
        "-q",
        "-n",
        "2",
        "-p",
        "no:cacheprovider",
        "-p",
        "harness.ci.red_report",
        "--rootdir",
        ".",
        *tests,
    ]
    done = subprocess.run(
        command, cwd=folder, env={**os.environ, "PYTHONPATH": str(ROOT)}, capture_output=True, text=True, timeout=120
    )
    return done.returncode, done.stdout + done.stderr


def test_listed_failure_is_excused_and_printed_before_the_closing_line(tmp_path):
    """With one failing and one passing test listed, the run passes and prints both entries before pytest's closing line."""
    listed = "# known\n\ntest_suite.py::test_red | never true | 7\ntest_suite.py::test_green | was red | 8\ntest_suite.py::test_away | gone | 9\n"
    code, output = _run(tmp_path, listed, "test_red", "test_green")
    assert code == 0, output
    lines = output.splitlines()
    assert "known red: test_suite.py::test_red | never true | 7" in lines
    assert "passes, take it off the list: test_suite.py::test_green | was red | 8" in lines
    assert "was not run: test_suite.py::test_away | gone | 9" in lines
    assert lines[-1].startswith("1 failed, 1 passed in "), lines[-1]


@pytest.mark.parametrize("chosen", [("test_red", "test_green"), ("test_without_its_fixture",), ("test_crash",)])
def test_unlisted_failure_or_failure_outside_the_call_fails_the_run(tmp_path, chosen):
    """The run fails if a failing test is not listed, or a listed one fails in its fixture or crashes its process."""
    listed = "".join(
        f"test_suite.py::{name} | broken | 7\n" for name in ("test_green", "test_without_its_fixture", "test_crash")
    )
    code, output = _run(tmp_path, listed, *chosen)
    assert code == 1, output


def test_listed_failure_does_not_excuse_another_failure(tmp_path):
    """The run fails with one listed and one unlisted failure, and with a file that cannot be collected."""
    listed = "test_suite.py::test_red | never true | 7\n"
    assert _run(tmp_path, listed, "test_red", "test_without_its_fixture")[0] == 1
    (tmp_path / "test_torn.py").write_text("import nothing_of_that_name\n")
    assert _run(tmp_path, listed)[0] not in (0, 5)


def test_without_the_list_no_failure_is_excused_or_printed(tmp_path):
    code, output = _run(tmp_path, None, "test_red", "test_green")
    assert code == 1 and FILE not in output, output
    code, output = _run(tmp_path, None, "test_green")
    assert code == 0 and output.splitlines()[-1].startswith("1 passed in "), output


@pytest.mark.parametrize(
    "line", ["test_red", "test_red | no issue", "test_red | | 7", "a | b | 1\na | c | 2", "a | b | c | d"]
)
def test_line_without_test_cause_and_issue_is_rejected(line):
    with pytest.raises(pytest.UsageError):
        KnownRed(line)
