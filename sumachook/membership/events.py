"""Events that a node sends to its membership, besides those of the host."""

from sumachook.host.events import Event


class Tick(Event, frozen=True):
    """Periodic timer event; `feed_number` is the last change feed position that this node has applied."""

    feed_number: int
