"""A socket's receive buffer in the kernel: its size, and how many bytes are unread in it."""

import asyncio
import contextlib
import fcntl
import socket
import struct
import termios
from typing import Protocol

INT = struct.Struct("i")
# Bytes that may wait unread in the kernel for one connection; they count as memory of the process.
RECEIVE_BUFFER_BYTES = 64 << 10
NODE_RECEIVE_BUFFER_BYTES = 256 << 10  # for connections between nodes, which are few


READ_BYTES = 32 << 10  # most bytes that one read of a connection returns; asyncio would reserve eight times as many


def limit_reads(transport: asyncio.BaseTransport, size: int = READ_BYTES) -> None:
    """Limits the buffer that the event loop allocates for each read of a connection."""
    if hasattr(transport, "max_size"):
        transport.max_size = size


class HasFileDescriptor(Protocol):
    """A socket, or the wrapper that asyncio returns for one."""

    def fileno(self) -> int:
        """Returns the file descriptor, or -1 once the socket is closed."""
        ...


class HasOptions(Protocol):
    """A socket, or the wrapper that asyncio returns for one."""

    def setsockopt(self, level: int, option: int, value: int, /) -> None:
        """Sets an option of the socket."""
        ...


def limit_receive_buffer(opened: HasOptions, size: int = RECEIVE_BUFFER_BYTES) -> None:
    """Limits the bytes that may wait unread for a socket, or for each connection that a listening socket accepts."""
    with contextlib.suppress(OSError):
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)


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
