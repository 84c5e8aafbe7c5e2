"""The effects that a follower of the change feed returns to its node, in addition to messages."""

from sumachook.host.effects import Effect


class ChangesApplied(Effect, frozen=True):
    """Reports that the state has applied these entries, the first of which is change `first`."""

    first: int
    entries: tuple[bytes, ...]


class StateRestored(Effect, frozen=True):
    """Reports that the state was replaced by a snapshot."""
