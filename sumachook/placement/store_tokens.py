"""Rate limit for loads from the weight store."""

from datetime import timedelta


class StoreTokenBucket:
    """A token bucket with one token per load; it starts empty, as the previous lease holder may just have used it up.

    >>> store = StoreTokenBucket(timedelta(0))
    >>> store.fill(4.0, timedelta(seconds=0.5)), store.spend(), store.spend(), store.spend()
    (2.0, True, True, False)
    >>> store.fill(4.0, timedelta(seconds=90))
    3.0
    """

    __slots__ = ("tokens", "filled_at")

    BURST = 3.0  # maximum loads at once; the store allows its rate over five seconds plus these

    def __init__(self, now: timedelta):
        self.tokens = 0.0
        self.filled_at = now

    def fill(self, per_second: float, now: timedelta) -> float:
        """Adds the tokens for the time since the last call; returns the number of tokens."""
        self.tokens = min(self.BURST, self.tokens + per_second * (now - self.filled_at).total_seconds())
        self.filled_at = now
        return self.tokens

    def spend(self) -> bool:
        """Takes a token for a load; returns False if none is left."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def refund(self) -> None:
        """Returns a token after a load that certainly did not begin."""
        self.tokens = min(self.BURST, self.tokens + 1.0)
