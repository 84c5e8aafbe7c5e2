"""Checks for every run of the harness: that it judged at least one item and that its range of seeds is not empty."""

import argparse
from collections.abc import Mapping


def find_unchecked(counts: Mapping[str, int]) -> list[str]:
    """Returns one fault for each kind of item that a run never judged.

    >>> find_unchecked({"calls answered": 3, "prompts run": 0})
    ['nothing was judged: 0 prompts run']
    """
    return [f"nothing was judged: 0 {what}" for what, count in counts.items() if not count]


def seed_range(parser: argparse.ArgumentParser, first: int, last: int, most: int) -> range:
    """Returns the seeds from `first` to `last`, at most `first + most`; exits with a usage error if there are none."""
    seeds = range(first, min(last, first + most) + 1)
    if not seeds:
        parser.error(f"no seed in the range from {first} to {last}")
    return seeds
