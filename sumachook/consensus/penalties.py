"""Which members are kept out of the view because they were slow (§4.5)."""

from datetime import timedelta

import msgspec

from sumachook.consensus.timing import MAX_PENALTY, PENALTY, PENALTY_FORGIVEN


class _Penalty(msgspec.Struct, frozen=True):
    until: timedelta
    pause: timedelta


class Penalties:
    """Each failure in a row keeps a replica out for twice as long, up to a bound.

    >>> second, penalties = timedelta(seconds=1), Penalties()
    >>> penalties.add("c", second); penalties.is_punished("c", second * 1.9), penalties.is_punished("c", second * 2)
    (True, False)
    >>> penalties.add("c", second * 3); penalties.is_punished("c", second * 4.9)
    True
    """

    __slots__ = ("by_replica",)

    def __init__(self) -> None:
        self.by_replica: dict[str, _Penalty] = {}

    def add(self, replica: str, now: timedelta) -> None:
        """The replica has failed now."""
        last = self.by_replica.get(replica)
        is_repeated = last is not None and now - last.until < PENALTY_FORGIVEN
        pause = min(last.pause * 2, MAX_PENALTY) if last is not None and is_repeated else PENALTY
        self.by_replica[replica] = _Penalty(now + pause, pause)

    def is_punished(self, replica: str, now: timedelta) -> bool:
        """Whether the replica is to be kept out."""
        return replica in self.by_replica and now < self.by_replica[replica].until
