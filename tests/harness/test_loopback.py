"""Loopback addresses for tests: no other process gets them, and a server that cannot start fails at once."""

import asyncio
import socket

import pytest

from harness.local_cluster.loopback import PORTS, free_address, wait_until_serving
from sumachook.transport.addresses import split_address
from sumachook.transport.http_server import HttpServer

BOUND = 5.0  # seconds within which a test must end
SOCKETS = 200


def test_free_address_is_outside_the_ephemeral_port_range():
    """None of many sockets bound to port 0 gets a port from the range of which server addresses are drawn."""
    sockets = [socket.socket() for _ in range(SOCKETS)]
    try:
        for each in sockets:
            each.bind(("127.0.0.1", 0))
        given = {each.getsockname()[1] for each in sockets}
    finally:
        for each in sockets:
            each.close()
    assert len(given) == SOCKETS and given.isdisjoint(PORTS)
    drawn = {split_address(free_address())[1] for _ in range(SOCKETS)}
    assert drawn <= set(PORTS) and len(drawn) > SOCKETS * 0.9


def test_waiting_for_a_server_fails_at_once_if_its_address_is_taken():
    """If another process has bound the address meanwhile, waiting for the server raises the server's error."""

    async def run(address):
        server = HttpServer(address, lambda event: None)
        task = asyncio.get_running_loop().create_task(server.run())
        await wait_until_serving(lambda: server.listener is not None, task)

    address = free_address()
    with socket.socket() as other:
        other.bind(split_address(address))
        other.listen()
        with pytest.raises(OSError):
            asyncio.run(asyncio.wait_for(run(address), BOUND))
