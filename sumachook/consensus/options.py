"""Settings of a replica."""

from datetime import timedelta

import msgspec

from sumachook.consensus import timing


class Options(msgspec.Struct, frozen=True):
    """What the embedding program may choose; the rest is in `timing`."""

    replace_after: timedelta = timing.DEFAULT_REPLACE_AFTER  # a voter not heard for so long may be replaced
    wanted_voters: int = 3
    max_log_entries: int = timing.MAX_LOG_ENTRIES
    max_log_bytes: int = timing.MAX_LOG_BYTES
