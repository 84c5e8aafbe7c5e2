"""Events that a core sends to its outlier detector, in addition to those of the host."""

from sumachook.host.events import Event


class Tick(Event, frozen=True):
    """Periodic tick; `fence` is the fencing token of the placement lease, or 0 if this core does not hold it."""

    fence: int
