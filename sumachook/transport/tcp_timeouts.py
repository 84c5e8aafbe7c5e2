"""TCP options that detect an unresponsive network path within seconds."""

import socket
from datetime import timedelta

UNACKNOWLEDGED_TIMEOUT = timedelta(seconds=1)
FIRST_PROBE_AFTER = timedelta(seconds=1)  # idle time before the first probe; the kernel counts whole seconds
PROBE_INTERVAL = timedelta(seconds=1)
MAX_UNANSWERED_PROBES = 2


def set_probe_intervals(opened: socket.socket) -> socket.socket:
    """Sets the timing of keep-alive probes without enabling them; returns the socket."""
    options = (
        (socket.TCP_KEEPIDLE, int(FIRST_PROBE_AFTER.total_seconds())),
        (socket.TCP_KEEPINTVL, int(PROBE_INTERVAL.total_seconds())),
        (socket.TCP_KEEPCNT, MAX_UNANSWERED_PROBES),
    )
    for option, count in options:
        opened.setsockopt(socket.IPPROTO_TCP, option, count)
    return opened


def enable_tcp_timeouts(connected: socket.socket, unacknowledged: timedelta = UNACKNOWLEDGED_TIMEOUT) -> None:
    """Enables keep-alive probes and the timeout of unacknowledged bytes."""
    milliseconds = int(unacknowledged.total_seconds() * 1000)
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)


def disable_tcp_timeouts(connected: socket.socket) -> None:
    """Disables keep-alive probes and the timeout of unacknowledged bytes again."""
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 0)
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 0)


def set_tcp_timeouts(connected: socket.socket, user_timeout: timedelta = UNACKNOWLEDGED_TIMEOUT) -> socket.socket:
    """Configures and enables keep-alive probes and the timeout of unacknowledged bytes; returns the socket.

    A network partition then closes the connection within seconds.
    """
    set_probe_intervals(connected)
    enable_tcp_timeouts(connected, user_timeout)
    return connected
