"""The sockets between nodes at the end of a process (docs/design/transport.md).

The story: a node was told to leave for a second time, or to read its settings again, while its tasks were being ended. What its machine
then had to say to other nodes went to a socket that was closed already: an error out of the signal's callback, and the rest of the
effects was dropped.
"""

import asyncio

from harness.local_cluster.loopback import free_address, wait_until_serving
from sumachook.transport.node_transport import NodeTransport

BOUND = 8.0
TURNS = 20


def test_what_is_sent_after_the_sockets_are_closed_is_dropped():
    """Given a transport whose task has ended, a message and a datagram to another node are dropped, and no connection is begun."""

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
