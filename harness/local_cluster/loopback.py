"""Addresses on loopback for what is tried over real sockets, and waiting until somebody serves there."""

import asyncio
import socket
from collections.abc import Callable
from random import SystemRandom

PORTS = range(10_000, 32_768)  # below those that Linux gives to sockets that ask for none
MAX_DRAWS = 1000


def free_address() -> str:
    """An address where nobody listens.

    Its port is none that the kernel gives out: between this call and the server's start another process may open any
    number of connections and listeners without a port of their own.

    Raises:
        OSError: no port was free in `MAX_DRAWS` draws.
    """
    random = SystemRandom()
    for _ in range(MAX_DRAWS):
        port = random.choice(PORTS)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        return f"127.0.0.1:{port}"
    raise OSError(f"no free port in {MAX_DRAWS} draws")


async def wait_until_serving(is_serving: Callable[[], bool], *servers: asyncio.Task[None]) -> None:
    """Waits until `is_serving`; what ended one of the tasks that are to serve is raised at once."""
    while not is_serving():
        for server in servers:
            if server.done():
                server.result()
                raise RuntimeError(f"{server.get_name()} has ended before it served")
        await asyncio.sleep(0)
