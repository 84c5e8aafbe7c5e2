"""How many loads may begin from the store of weights (§9.4, §14.5)."""

from datetime import timedelta


class StorePace:
    """A token bucket, empty when a holder begins: its predecessor may have spent everything a moment ago.

    >>> pace = StorePace(timedelta(0))
    >>> pace.fill(4.0, timedelta(seconds=0.5)), pace.spend(), pace.spend(), pace.spend()
    (2.0, True, True, False)
    >>> pace.fill(4.0, timedelta(seconds=90))
    3.0
    """

    __slots__ = ("tokens", "at")

    BURST = 3.0

    def __init__(self, now):
        self.tokens, self.at = 0.0, now

    def fill(self, per_second: float, now) -> float:
        self.tokens = min(self.BURST, self.tokens + per_second * (now - self.at).total_seconds())
        self.at = now
        return self.tokens

    def spend(self) -> bool:
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def give_back(self):
        """For a load that surely did not begin."""
        self.tokens = min(self.BURST, self.tokens + 1.0)

    def wait(self, per_second: float) -> timedelta:
        """How long until a token is there."""
        return timedelta(seconds=max(0.0, 1.0 - self.tokens) / max(per_second, 0.001))
