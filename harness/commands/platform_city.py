"""Runs `python -m harness platform_city` under its former name `python -m harness.platform_city`."""

from harness.__main__ import run_command

if __name__ == "__main__":
    run_command("platform_city")
