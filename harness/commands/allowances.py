"""Runs `python -m harness allowances` under its former name `python -m harness.allowances`."""

from harness.__main__ import run_command

if __name__ == "__main__":
    run_command("allowances")
