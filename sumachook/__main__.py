"""Runs the command line as `python -m sumachook`."""

from sumachook.main import run

if __name__ == "__main__":
    run()
