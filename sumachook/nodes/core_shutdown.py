"""Shutdown of a core: how long it waits until its singleton roles and its place as a voter are taken over."""

from datetime import timedelta

from sumachook.host.effects import Effect, Exit

MIN_WAIT = timedelta(seconds=0.5)  # minimum time for other cores to take over released singleton roles
# maximum time for another voter to replace this one: absolute, and as a fraction of the grace period
MAX_WAIT, MAX_WAIT_GRACE_FRACTION = timedelta(seconds=3), 0.5


class CoreShutdown:
    """Decides when a core that got a stop signal exits: early once it is no longer a voter, else after `max_wait`."""

    __slots__ = ("max_wait", "exit_by", "earliest_exit_at", "has_departed")

    def __init__(self, grace: timedelta) -> None:
        self.max_wait = min(MAX_WAIT, grace * MAX_WAIT_GRACE_FRACTION)
        self.exit_by: timedelta | None = None
        self.earliest_exit_at: timedelta | None = None
        self.has_departed = False

    @property
    def has_begun(self) -> bool:
        """Whether the stop signal was received."""
        return self.exit_by is not None

    def begin(self, now: timedelta) -> None:
        """Sets the earliest and the latest time of the exit; called at the stop signal."""
        self.exit_by, self.earliest_exit_at = now + self.max_wait, now + MIN_WAIT

    def note_departed(self) -> None:
        """Records that the consensus layer released this node's place as a voter."""
        self.has_departed = True

    def step(self, now: timedelta) -> list[Effect]:
        """Returns `Exit` once the core may exit; returns nothing before the stop signal."""
        end = self.earliest_exit_at if self.has_departed else self.exit_by
        return [Exit(0)] if end is not None and now >= end else []
