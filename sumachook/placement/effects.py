"""Effects of the placement state machines that their node carries out, in addition to the host's effects."""

from sumachook.host.effects import Effect
from sumachook.transport.node_message import NodeMessage


class BroadcastToEdges(Effect, frozen=True):
    """Asks the core to send a message to every live edge."""

    message: NodeMessage


class PlacementsAdded(Effect, frozen=True):
    """Reports that a placement update added a model or adapter to a server, so waiting requests may proceed."""
