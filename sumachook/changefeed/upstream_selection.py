"""Selects the core from which a follower receives changes."""

from collections.abc import Sequence
from datetime import timedelta
from random import Random


class UpstreamSelector:
    """Selects an upstream core: one that was never abandoned if possible, else the one abandoned longest ago.

    >>> selector, second = UpstreamSelector(Random(1)), timedelta(seconds=1)
    >>> selector.abandon("a", second); selector.abandon("b", second * 2)
    >>> selector.select(["a", "b", "c"], None), selector.select(["a", "b"], None)
    ('c', 'a')
    >>> selector.select(["a", "b"], "a"), selector.select(["a"], "a")
    ('b', 'a')
    """

    __slots__ = ("random", "abandoned_at")

    def __init__(self, random: Random) -> None:
        self.random = random
        self.abandoned_at: dict[str, timedelta] = {}

    def abandon(self, core: str, now: timedelta) -> None:
        """Records that a follower leaves this core because it gave no proof of freshness in time."""
        self.abandoned_at[core] = now

    def select(self, cores: Sequence[str], current: str | None) -> str:
        """Returns one of `cores`, different from `current` if there is another."""
        candidates = [core for core in cores if core != current] or list(cores)
        never = timedelta(0)
        earliest = min(self.abandoned_at.get(core, never) for core in candidates)
        return self.random.choice([core for core in candidates if self.abandoned_at.get(core, never) == earliest])
