"""Runs `python -m harness trials` under its former name `python -m harness.trials`."""

from harness.__main__ import run_command

if __name__ == "__main__":
    run_command("trials")
