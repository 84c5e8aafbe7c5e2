"""Runs `python -m harness days` under its former name `python -m harness.days`."""

from harness.__main__ import run_command

if __name__ == "__main__":
    run_command("days")
