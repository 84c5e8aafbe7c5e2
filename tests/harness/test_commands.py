"""The table of harness commands: each command has a module with a `main`, and its older module name still works."""

import importlib
import importlib.util
import subprocess
import sys
from pathlib import Path

import pytest

import harness
from harness.__main__ import COMMANDS, USAGE_ERROR, describe_commands

ROOT = Path(harness.__file__).parent.parent


def _run(*arguments):
    """Runs Python with these arguments in the root of the project and returns the completed process."""
    return subprocess.run([sys.executable, *arguments], cwd=ROOT, capture_output=True, text=True, timeout=60)


@pytest.mark.parametrize("name", COMMANDS)
def test_every_command_has_a_main(name):
    """The module of each command in the table has a callable `main`."""
    assert callable(importlib.import_module(COMMANDS[name].module).main)


@pytest.mark.parametrize("name", COMMANDS)
def test_every_command_has_its_older_module_name(name):
    """`harness.NAME` of each command in the table is a module in harness/commands."""
    found = importlib.util.find_spec(f"harness.{name}")
    assert found is not None and Path(found.origin).parent == ROOT / "harness" / "commands"


def test_every_older_module_name_belongs_to_a_command():
    """Each module in harness/commands has a command in the table."""
    assert {path.stem for path in (ROOT / "harness" / "commands").glob("*.py")} == set(COMMANDS)


def test_readme_lists_every_command():
    """The README names every command of the table; a missing one would stay undocumented."""
    text = (ROOT / "README.md").read_text()
    assert [name for name in COMMANDS if f"python -m harness.{name}" not in text] == []


def test_both_forms_run_the_same_command():
    """The newer and the older form of a command print the same help and exit with 0."""
    newer, older = _run("-m", "harness", "storms", "--help"), _run("-m", "harness.experiments.storms", "--help")
    assert newer.returncode == older.returncode == 0
    assert newer.stdout == older.stdout and "storms" in newer.stdout


def test_unknown_command_prints_the_table_and_fails():
    """An unknown command name prints the table to stderr and exits with the usage error code."""
    done = _run("-m", "harness", "nothing")
    assert done.returncode == USAGE_ERROR
    assert "no command is named nothing" in done.stderr and describe_commands() in done.stderr
