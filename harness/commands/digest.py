"""Runs `python -m harness digest` under its former name `python -m harness.digest`."""

from harness.__main__ import run_command

if __name__ == "__main__":
    run_command("digest")
