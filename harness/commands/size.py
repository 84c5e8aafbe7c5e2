"""`python -m harness.size`: the older name of `python -m harness size`."""

from harness.__main__ import run_command

if __name__ == "__main__":
    run_command("size")
