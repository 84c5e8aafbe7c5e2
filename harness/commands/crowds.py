"""Runs `python -m harness crowds` under its module name `python -m harness.crowds`."""

from harness.__main__ import run_command

if __name__ == "__main__":
    run_command("crowds")
