"""A request that is pending admission at an edge."""

from datetime import timedelta
from typing import NamedTuple


class PendingAdmission(NamedTuple):
    """A pending request's estimated tokens; at `decide_by` the edge decides locally without waiting for a response."""

    tokens: int
    decide_by: timedelta
