"""Runs `python -m harness soak` under its former name `python -m harness.soak`."""

from harness.__main__ import run_command

if __name__ == "__main__":
    run_command("soak")
