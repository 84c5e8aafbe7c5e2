"""Runs `python -m harness chaos` under its former name `python -m harness.chaos`."""

from harness.__main__ import run_command

if __name__ == "__main__":
    run_command("chaos")
