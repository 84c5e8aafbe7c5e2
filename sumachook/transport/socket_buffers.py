"""What the kernel holds for a socket."""

import fcntl
import struct
import termios
from typing import Protocol

INT = struct.Struct("i")


class HasFileDescriptor(Protocol):
    """A socket, or what asyncio gives in its place."""

    def fileno(self) -> int:
        """The descriptor, -1 once it is closed."""
        ...


def unread_bytes(connected: HasFileDescriptor) -> int:
    """How many bytes have come in that nobody has read; 0 for a socket that is closed, or whose kernel doesn't tell."""
    descriptor = connected.fileno()
    if descriptor < 0:
        return 0
    try:
        (count,) = INT.unpack(fcntl.ioctl(descriptor, termios.FIONREAD, bytes(INT.size)))
    except OSError:
        return 0
    return int(count)
