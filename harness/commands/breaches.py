"""Runs `python -m harness breaches` under its former name `python -m harness.breaches`."""

from harness.__main__ import run_command

if __name__ == "__main__":
    run_command("breaches")
