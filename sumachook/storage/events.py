"""Events that the storage sends to the state machine of its node."""

from sumachook.host.events import Event


class DiskStateChanged(Event, frozen=True):
    """The disk started or stopped accepting writes; `reason` tells why it stopped."""

    is_available: bool
    reason: str = ""
