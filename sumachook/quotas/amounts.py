"""Pairs of request and token amounts; quotas always limit both together."""

from typing import NamedTuple

UNBOUND = float("inf")


class Amounts(NamedTuple):
    """A number of requests and a number of tokens, or a rate of each per second."""

    requests: float
    tokens: float


NOTHING = Amounts(0.0, 0.0)
NO_BOUNDS = Amounts(UNBOUND, UNBOUND)


def finite_or_none(amount: float) -> float | None:
    """Returns the amount as operators see it: None if it is unbounded."""
    return None if amount == UNBOUND else amount


def rounded_or_none(amount: float) -> float | None:
    """Returns the amount rounded to two decimal places as operators see it: None if it is unbounded."""
    return None if amount == UNBOUND else round(amount, 2)
