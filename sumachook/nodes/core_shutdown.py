"""Shutdown of a core: how long it waits until its singleton roles and its place as a voter are taken over."""

from datetime import timedelta

from sumachook.host.effects import Effect, Exit

SHORTEST = timedelta(seconds=0.5)  # for released singleton roles to be taken over
LONGEST, SHARE_OF_GRACE = timedelta(seconds=3), 0.5  # for another voter to replace this one


class CoreShutdown:
    """Decides when a core that got a stop signal exits: early once it is no longer a voter, else after `longest`."""

    __slots__ = ("longest", "stop_at", "may_end_at", "has_departed")

    def __init__(self, grace: timedelta) -> None:
        self.longest = min(LONGEST, grace * SHARE_OF_GRACE)
        self.stop_at: timedelta | None = None
        self.may_end_at: timedelta | None = None
        self.has_departed = False

    @property
    def has_begun(self) -> bool:
        """Whether the stop signal was received."""
        return self.stop_at is not None

    def begin(self, now: timedelta) -> None:
        """Sets the earliest and the latest time of the exit; called at the stop signal."""
        self.stop_at, self.may_end_at = now + self.longest, now + SHORTEST

    def note_departed(self) -> None:
        """Records that the consensus layer released this node's place as a voter."""
        self.has_departed = True

    def step(self, now: timedelta) -> list[Effect]:
        """Returns `Exit` once the core may exit; returns nothing before the stop signal."""
        end = self.may_end_at if self.has_departed else self.stop_at
        return [Exit(0)] if end is not None and now >= end else []
