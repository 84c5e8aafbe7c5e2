"""Runs `python -m harness scale` under its former name `python -m harness.scale`."""

from harness.__main__ import run_command

if __name__ == "__main__":
    run_command("scale")
