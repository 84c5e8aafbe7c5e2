"""The levels of trust in the state of a follower of the change feed."""

from enum import StrEnum


class Trust(StrEnum):
    """How far the state of a follower may be relied on; the values appear in responses about the node's readiness."""

    EMPTY = "empty"  # no configuration has been received yet
    UNPROVEN = "waiting"  # the process has just resumed after a pause; its state may be out of date
    FRESH = "fresh"  # a core proved the state to be fresh within the last seconds
    DISCONNECTED = "cut"  # no core has proved the state to be fresh for several seconds
