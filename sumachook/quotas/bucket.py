"""A pair of token buckets, one for requests and one for tokens, that are debited together."""

from datetime import timedelta

from sumachook.quotas.amounts import UNBOUND, Amounts

SECOND = timedelta(seconds=1)
ROUNDING = 1e-6  # tolerance for floating-point error in sums of partial amounts


class Bucket:
    """A token bucket with one fill level for requests and one for tokens.

    A request with more tokens than the bucket's capacity is accepted only when the bucket is full, and leaves the token
    level negative.

    Parameters
    ----------
    rates
        Refill rates in requests and tokens per second.
    capacity
        Maximum fill level of each.

    >>> now = timedelta(seconds=9)
    >>> bucket = Bucket(Amounts(2.0, 100.0), Amounts(2.0, 100.0), now)
    >>> bucket.spend(1, 10), bucket.add(2.0, 250.0), bucket.spend(1, 400), bucket.spend(1, 1), bucket.levels
    (False, None, True, False, Amounts(requests=1.0, tokens=-300.0))
    >>> bucket.refill(now + SECOND * 3.2); bucket.spend(1, 1), bucket.seconds_until(1, 90), bucket.levels
    (True, 0.71, Amounts(requests=1.0, tokens=19.0))
    """

    __slots__ = ("rates", "capacity", "levels", "refilled_at")

    def __init__(self, rates: Amounts, capacity: Amounts, now: timedelta):
        self.rates = rates
        self.capacity = capacity
        self.refilled_at = now
        self.levels = Amounts(*(UNBOUND if rate == UNBOUND else 0.0 for rate in rates))

    def set_bounds(self, rates: Amounts, capacity: Amounts) -> None:
        """Replaces rates and capacity; levels above the new capacity are cut, a newly bounded level starts at 0."""
        self.levels = Amounts(*map(_bounded, self.levels, rates, capacity))
        self.rates = rates
        self.capacity = capacity

    def refill(self, now: timedelta) -> None:
        """Adds the amounts accrued at the refill rates since the previous call."""
        seconds = (now - self.refilled_at) / SECOND
        self.refilled_at = max(now, self.refilled_at)
        if seconds > 0:
            self.add(*(rate * seconds if rate != UNBOUND else 0.0 for rate in self.rates))

    def add(self, requests: float, tokens: float) -> None:
        """Adds the amounts to the levels, up to the capacity."""
        levels, capacity = self.levels, self.capacity
        self.levels = Amounts(
            min(capacity.requests, levels.requests + requests)
            if levels.requests < capacity.requests
            else levels.requests,
            min(capacity.tokens, levels.tokens + tokens) if levels.tokens < capacity.tokens else levels.tokens,
        )

    def covers(self, requests: float, tokens: float) -> bool:
        """Returns whether the levels suffice for a request of these amounts."""
        has_tokens = self.levels.tokens + ROUNDING >= min(tokens, self.capacity.tokens)
        return self.levels.requests + ROUNDING >= requests and has_tokens

    def spend(self, requests: float, tokens: float) -> bool:
        """Withdraws both amounts if the levels cover them; returns whether it did."""
        if not self.covers(requests, tokens):
            return False
        self.withdraw(requests, tokens)
        return True

    def withdraw(self, requests: float, tokens: float) -> None:
        """Subtracts the amounts unconditionally; a negative level must be refilled before the bucket covers more."""
        self.levels = Amounts(self.levels.requests - requests, self.levels.tokens - tokens)

    def seconds_until(self, requests: float, tokens: float) -> float:
        """Returns the seconds until refilling covers the amounts, 0 if it already does or there is no rate."""
        missing = (requests - self.levels.requests, min(tokens, self.capacity.tokens) - self.levels.tokens)
        waits = [
            amount / rate for amount, rate in zip(missing, self.rates, strict=True) if amount > 0 and 0 < rate < UNBOUND
        ]
        return max(waits, default=0.0)


def _bounded(level: float, rate: float, capacity: float) -> float:
    if rate == UNBOUND:
        return UNBOUND
    return 0.0 if level == UNBOUND else min(level, capacity)
