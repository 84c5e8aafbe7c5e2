"""Runs `python -m harness orders` under its former name `python -m harness.orders`."""

from harness.__main__ import run_command

if __name__ == "__main__":
    run_command("orders")
