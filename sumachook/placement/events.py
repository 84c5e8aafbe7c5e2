"""Events that a core passes to the placement state machines, in addition to the host's events."""

from sumachook.host.events import Event


class LeaseTick(Event, frozen=True):
    """Periodic tick; `fence` is the fencing token of the placement lease, or 0 if this core does not hold it."""

    fence: int
    edges: tuple[str, ...] = ()  # node addresses of the live edges


class InventoryTick(Event, frozen=True):
    """Periodic tick; says whether the control state is up to date and whether this core is the consensus leader."""

    is_fresh: bool
    is_leading: bool


class StateChanged(Event, frozen=True):
    """Signals that a committed change was applied to the control state."""
