"""Sockets between nodes during shutdown (docs/design/transport.md).

A second signal to leave, or to reload the settings, can arrive while the tasks of a node are being cancelled. Messages that
the node sent then went to a closed socket: the signal's callback raised, and the remaining effects were dropped.
"""

import asyncio

from harness.local_cluster.loopback import free_address, wait_until_serving
from sumachook.transport.node_transport import NodeTransport

BOUND = 8.0
TURNS = 20


def test_messages_sent_after_shutdown_are_dropped():
    """After the transport's task has ended, messages and datagrams are dropped without an error or a new connection."""

    async def run():
        transport = NodeTransport(free_address(), "c", lambda event: None)
        task = asyncio.get_running_loop().create_task(transport.run())
        await wait_until_serving(lambda: transport.transport is not None, task)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        for _ in range(TURNS):
            await asyncio.sleep(0)
        transport.send_datagram(free_address(), b"late")
        transport.send(free_address(), b"late")
        return set(transport.tasks)

    assert asyncio.run(asyncio.wait_for(run(), BOUND)) == set()
