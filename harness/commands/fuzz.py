"""Runs `python -m harness fuzz` under its former name `python -m harness.fuzz`."""

from harness.__main__ import run_command

if __name__ == "__main__":
    run_command("fuzz")
