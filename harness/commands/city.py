"""Runs `python -m harness city` under its former name `python -m harness.city`."""

from harness.__main__ import run_command

if __name__ == "__main__":
    run_command("city")
