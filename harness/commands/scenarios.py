"""Runs `python -m harness scenarios` under its former name `python -m harness.scenarios`."""

from harness.__main__ import run_command

if __name__ == "__main__":
    run_command("scenarios")
