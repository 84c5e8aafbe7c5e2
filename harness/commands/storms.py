"""Runs `python -m harness storms` under its former name `python -m harness.storms`."""

from harness.__main__ import run_command

if __name__ == "__main__":
    run_command("storms")
