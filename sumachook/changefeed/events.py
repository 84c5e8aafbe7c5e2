"""The events within a node that the source and the follower of the change feed handle."""

from sumachook.host.events import Event


class FollowerTick(Event, frozen=True):
    """The periodic tick of a follower.

    `cores` are the addresses of live cores; `announced_number` is the highest change that members report to have.
    """

    cores: tuple[str, ...]
    announced_number: int


class EntryDelivered(Event, frozen=True):
    """Reports that the core's state has applied the committed log entry `number`."""

    number: int
    entry: bytes


class SnapshotRestored(Event, frozen=True):
    """Reports that the core's state was replaced by a snapshot of all changes up to `number`."""

    number: int


class ServeRequested(Event, frozen=True):
    """Requests sending to followers now, after the state has applied all entries that were delivered together."""
