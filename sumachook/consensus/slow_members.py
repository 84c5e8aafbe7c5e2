"""Temporary exclusion of slow members from the view."""

from datetime import timedelta

import msgspec

from sumachook.consensus.timing import EXCLUSION_RESET_AFTER, EXCLUSION_TIME, MAX_EXCLUSION


class _Exclusion(msgspec.Struct, frozen=True):
    until: timedelta
    pause: timedelta


class SlowMembers:
    """Excludes slow replicas with exponential backoff: a repeated failure doubles the time, up to `MAX_EXCLUSION`.

    >>> second, slow_members = timedelta(seconds=1), SlowMembers()
    >>> slow_members.add("c", second)
    >>> slow_members.is_excluded("c", second * 1.9), slow_members.is_excluded("c", second * 2)
    (True, False)
    >>> slow_members.add("c", second * 3)
    >>> slow_members.is_excluded("c", second * 4.9)
    True
    """

    __slots__ = ("exclusions",)

    def __init__(self) -> None:
        self.exclusions: dict[str, _Exclusion] = {}

    def add(self, replica: str, now: timedelta) -> None:
        """Records a failure of the replica and starts or extends its exclusion."""
        last = self.exclusions.get(replica)
        is_repeated = last is not None and now - last.until < EXCLUSION_RESET_AFTER
        pause = min(last.pause * 2, MAX_EXCLUSION) if last is not None and is_repeated else EXCLUSION_TIME
        self.exclusions[replica] = _Exclusion(now + pause, pause)

    def is_excluded(self, replica: str, now: timedelta) -> bool:
        """Whether the replica must be kept out of the view at this time."""
        return replica in self.exclusions and now < self.exclusions[replica].until
