"""Runs `python -m harness policy_ratio` under its former name `python -m harness.policy_ratio`."""

from harness.__main__ import run_command

if __name__ == "__main__":
    run_command("policy_ratio")
