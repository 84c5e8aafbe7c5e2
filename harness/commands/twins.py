"""Runs `python -m harness twins` under its former name `python -m harness.twins`."""

from harness.__main__ import run_command

if __name__ == "__main__":
    run_command("twins")
