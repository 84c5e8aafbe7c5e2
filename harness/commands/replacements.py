"""Runs `python -m harness replacements` under its former name `python -m harness.replacements`."""

from harness.__main__ import run_command

if __name__ == "__main__":
    run_command("replacements")
