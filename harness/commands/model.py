"""Runs `python -m harness model` under its former name `python -m harness.model`."""

from harness.__main__ import run_command

if __name__ == "__main__":
    run_command("model")
