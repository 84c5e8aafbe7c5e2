"""Runs `python -m harness lost_worth` under its former name `python -m harness.lost_worth`."""

from harness.__main__ import run_command

if __name__ == "__main__":
    run_command("lost_worth")
