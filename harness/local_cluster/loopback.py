"""Free loopback addresses for tests over real sockets, and waiting until a server listens."""

import asyncio
import socket
from collections.abc import Callable
from random import SystemRandom

PORTS = range(10_000, 32_768)  # ports below the range from which Linux assigns ephemeral ports
MAX_DRAWS = 1000


def free_address() -> str:
    """Returns an address on which no process listens.

    Its port is outside the kernel's ephemeral range: between this call and the server's start, other processes may open
    any number of sockets with ephemeral ports.

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
    """Waits until `is_serving()` is true; raises at once if one of the `servers` tasks ends before that."""
    while not is_serving():
        for server in servers:
            if server.done():
                server.result()
                raise RuntimeError(f"{server.get_name()} ended before it was serving")
        await asyncio.sleep(0)
