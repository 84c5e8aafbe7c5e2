"""Size of a socket's receive buffer in the kernel."""

import fcntl
import struct
import termios
from typing import Protocol

INT = struct.Struct("i")


class HasFileDescriptor(Protocol):
    """A socket, or the wrapper that asyncio returns for one."""

    def fileno(self) -> int:
        """Returns the file descriptor, or -1 once the socket is closed."""
        ...


def unread_bytes(connected: HasFileDescriptor) -> int:
    """Returns how many received bytes are unread; 0 if the socket is closed or the kernel does not report it."""
    descriptor = connected.fileno()
    if descriptor < 0:
        return 0
    try:
        (count,) = INT.unpack(fcntl.ioctl(descriptor, termios.FIONREAD, bytes(INT.size)))
    except OSError:
        return 0
    return int(count)
