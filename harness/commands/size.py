"""Runs `python -m harness size` under its former name `python -m harness.size`."""

from harness.__main__ import run_command

if __name__ == "__main__":
    run_command("size")
