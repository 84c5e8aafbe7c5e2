"""A request body that is written to a server in pieces, so that no copy of the whole body waits for a slow server."""

from aiohttp.abc import AbstractStreamWriter
from aiohttp.payload import Payload

PIECE_BYTES = 64 << 10


class PiecewisePayload(Payload):
    """Writes a body piece by piece, each once the connection has taken the one before."""

    _value: bytes | bytearray
    _autoclose = True

    def __init__(self, value: bytes | bytearray) -> None:
        super().__init__(value, content_type="application/octet-stream")
        self._size = len(value)

    def decode(self, encoding: str = "utf-8", errors: str = "strict") -> str:
        """Returns the body as text."""
        return bytes(self._value).decode(encoding, errors)

    async def write(self, writer: AbstractStreamWriter) -> None:
        """Writes the whole body."""
        with memoryview(self._value) as body:
            for start in range(0, len(body), PIECE_BYTES):
                await writer.write(body[start : start + PIECE_BYTES])


def request_payload(body: bytes | bytearray) -> bytes | bytearray | PiecewisePayload | None:
    """Returns the body of an outgoing request in the form in which it is sent; None for an empty one."""
    if len(body) > PIECE_BYTES:
        return PiecewisePayload(body)
    return body or None
