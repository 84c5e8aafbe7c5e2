"""Configurable options of a replica."""

from datetime import timedelta

import msgspec

from sumachook.consensus import timing


class Options(msgspec.Struct, frozen=True):
    """Options that the embedding program can set; all other limits are constants in `timing`."""

    replace_after: timedelta = timing.DEFAULT_REPLACE_AFTER  # a voter absent from the view for longer may be replaced
    wanted_voters: int = 3
    max_log_entries: int = timing.MAX_LOG_ENTRIES
    max_log_bytes: int = timing.MAX_LOG_BYTES
