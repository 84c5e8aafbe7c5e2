"""A core that was told to leave: how long it waits for its duties and its seat to be taken over."""

from datetime import timedelta

from sumachook.host.effects import Effect, Exit

SHORTEST = timedelta(seconds=0.5)  # for duties that are given back
LONGEST, SHARE_OF_GRACE = timedelta(seconds=3), 0.5  # for the seat to be taken over


class CoreShutdown:
    """`begin(now)` is the signal, `note_departed()` the consensus layer's word that the seat is given up."""

    __slots__ = ("longest", "stop_at", "may_end_at", "has_departed")

    def __init__(self, grace: timedelta) -> None:
        self.longest = min(LONGEST, grace * SHARE_OF_GRACE)
        self.stop_at: timedelta | None = None
        self.may_end_at: timedelta | None = None
        self.has_departed = False

    @property
    def has_begun(self) -> bool:
        """Whether the signal came."""
        return self.stop_at is not None

    def begin(self, now: timedelta) -> None:
        """The signal to leave."""
        self.stop_at, self.may_end_at = now + self.longest, now + SHORTEST

    def note_departed(self) -> None:
        """The seat is given up."""
        self.has_departed = True

    def step(self, now: timedelta) -> list[Effect]:
        """`Exit` at the end; nothing before the signal."""
        end = self.may_end_at if self.has_departed else self.stop_at
        return [Exit(0)] if end is not None and now >= end else []
