"""Connections on which a path that went silent shows soon."""

import socket
from datetime import timedelta

UNACKNOWLEDGED_TIMEOUT = timedelta(seconds=1)
FIRST_PROBE_AFTER = timedelta(seconds=1)  # of rest; the kernel counts in whole seconds
PROBE_INTERVAL = timedelta(seconds=1)
MAX_UNANSWERED_PROBES = 2


def set_probe_intervals(opened: socket.socket) -> socket.socket:
    """Sets when keep-alive probes are sent once they are switched on; gives the socket back."""
    options = (
        (socket.TCP_KEEPIDLE, int(FIRST_PROBE_AFTER.total_seconds())),
        (socket.TCP_KEEPINTVL, int(PROBE_INTERVAL.total_seconds())),
        (socket.TCP_KEEPCNT, MAX_UNANSWERED_PROBES),
    )
    for option, count in options:
        opened.setsockopt(socket.IPPROTO_TCP, option, count)
    return opened


def watch(connected: socket.socket, unacknowledged: timedelta = UNACKNOWLEDGED_TIMEOUT) -> None:
    """Switches on keep-alive probes and the bound on unacknowledged bytes."""
    milliseconds = int(unacknowledged.total_seconds() * 1000)
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)


def unwatch(connected: socket.socket) -> None:
    """Takes back what `watch` did: silence does not end the connection."""
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 0)
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 0)


def set_tcp_timeouts(connected: socket.socket, unacked: timedelta = UNACKNOWLEDGED_TIMEOUT) -> socket.socket:
    """Sets keep-alive probes and the bound on unacknowledged bytes, so that a partition shows within seconds."""
    set_probe_intervals(connected)
    watch(connected, unacked)
    return connected
