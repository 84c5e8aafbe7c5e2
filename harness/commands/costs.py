"""Runs `python -m harness costs` under its former name `python -m harness.costs`."""

from harness.__main__ import run_command

if __name__ == "__main__":
    run_command("costs")
