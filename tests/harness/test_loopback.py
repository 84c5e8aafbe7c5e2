"""Addresses for tests over real sockets: nobody else is given them, and a server that cannot start says so at once."""

import asyncio
import socket

import pytest

from harness.local_cluster.loopback import PORTS, free_address, wait_until_serving
from sumachook.transport.addresses import split_address
from sumachook.transport.http_server import HttpServer

BOUND = 5.0  # seconds for one story
SOCKETS = 200


def test_a_free_address_is_none_that_the_kernel_gives_to_sockets_without_a_port():
    """Given many listeners that ask for any port, none gets one of those from which addresses of servers are drawn."""
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


def test_a_server_whose_address_is_taken_fails_the_wait_for_it_at_once():
    """Given an address that another process has taken meanwhile, waiting for the server raises the error that ended it."""

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
