"""Events that a node sends to its retry budget or broker, in addition to those of the host."""

from sumachook.host.events import Event


class BudgetTick(Event, frozen=True):
    """Periodic tick of an edge; `broker_addresses` are the cores that may run the broker."""

    broker_addresses: tuple[str, ...]


class BrokerTick(Event, frozen=True):
    """Periodic tick of a core; `fence` is the fencing token of the accountant role, 0 if this core does not hold it."""

    fence: int
