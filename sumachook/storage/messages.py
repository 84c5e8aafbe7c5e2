"""What the storage tells the machine that writes to it."""

from typing import NamedTuple


class DiskState(NamedTuple):
    """Whether the disk takes records at present; sent to the machine at each change (§13.4).

    `kind` comes first so that a host hands it over like any other message.
    """

    kind: str = "disk-state"
    is_taking: bool = True
    reason: str = ""
