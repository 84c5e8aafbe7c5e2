"""The events of a core that `Leases` handle, in addition to messages from other cores."""

from sumachook.host.events import Event


class Tick(Event, frozen=True):
    """The periodic tick of the leases.

    `is_fresh` says whether this core is in a working view and may vote and renew; `is_leading`, whether it leads the
    view.
    """

    is_fresh: bool
    is_leading: bool


class Quit(Event, frozen=True):
    """Releases every role and stops claims until `Resume`, because the core shuts down or its disk is unavailable."""


class Resume(Event, frozen=True):
    """Allows the core to claim roles again after `Quit`."""
