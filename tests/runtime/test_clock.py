"""The monotonic clock and the wall clock of a process."""

from datetime import timedelta

from sumachook.runtime.clock import Clock


def test_wall_time_is_utc_and_monotonic_time_does_not_decrease():
    """Wall time must be timezone-aware with offset zero, and a later reading of the monotonic clock must not be lower."""
    assert Clock().wall().utcoffset() == timedelta(0)
    assert Clock().mono() <= Clock().mono()
