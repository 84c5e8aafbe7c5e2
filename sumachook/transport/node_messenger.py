"""Sends messages to other nodes: encodes them and passes the bytes to the node transport."""

from sumachook.host.effects import Send, SendDatagram
from sumachook.transport.codec import Codec
from sumachook.transport.node_message import NodeMessage
from sumachook.transport.node_transport import NodeTransport


class NodeMessenger:
    """Executes `Send` and `SendDatagram` effects.

    A message sent to several nodes in a row is encoded once: it is the same object, and messages are immutable.
    """

    __slots__ = ("transport", "codec", "_last_message", "_last_bytes")

    def __init__(self, transport: NodeTransport, codec: Codec) -> None:
        self.transport = transport
        self.codec = codec
        self._last_message: NodeMessage | None = None
        self._last_bytes = b""

    def send(self, effect: Send) -> None:
        """Queues a message on the TCP connection to a node."""
        self.transport.send(effect.address, self._packed(effect.message))

    def send_datagram(self, effect: SendDatagram) -> None:
        """Sends a message in one UDP datagram."""
        self.transport.send_datagram(effect.address, self._packed(effect.message))

    def _packed(self, message: NodeMessage) -> bytes:
        if message is not self._last_message:
            self._last_message = message
            self._last_bytes = self.codec.pack(message)
        return self._last_bytes
