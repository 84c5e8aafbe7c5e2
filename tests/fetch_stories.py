"""Orders and lookups over real sockets: what becomes of a connection whose request is given up (§14.5)."""

import asyncio
from datetime import timedelta

import pytest

from sumachook.transport.fetcher import Fetcher

SOON = timedelta(seconds=0.2)
BOUND = 20
GIVEN_UP, CLOSED = "reset", "closed"


async def _end_of_a_request_without_an_answer(tid):
    """How the connection of a request ends, as its server sees it, when the request is given up; the server answers nothing."""
    ends, told = asyncio.Queue(), asyncio.Queue()

    async def serve(reader, writer):
        try:
            while await reader.read(1000):
                pass
            ends.put_nowait(CLOSED)
        except ConnectionResetError:
            ends.put_nowait(GIVEN_UP)
        finally:
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    address = "{}:{}".format(*server.sockets[0].getsockname())
    fetcher = Fetcher(told.put_nowait)
    running = asyncio.ensure_future(fetcher.run())
    await asyncio.sleep(0)
    fetcher.fetch(("fetch", tid, "POST", f"http://{address}/order", {}, b"{}", SOON, SOON, "whole"))
    while (message := await asyncio.wait_for(told.get(), BOUND))[2] == "sent":
        pass
    assert message[2:] == ("fault", "timeout")
    end = await asyncio.wait_for(ends.get(), BOUND)
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)
    server.close()
    return end


@pytest.mark.parametrize("tid, end", [(("provision", 7, 1), GIVEN_UP), (("lookup", 1), CLOSED)])
def test_an_order_that_is_given_up_resets_its_connection_so_that_no_cut_delivers_it_later(tid, end):
    """Given a server that is silent, an order's connection is reset at its timeout: what a cut still holds of it is lost with it.
    A lookup's is closed."""
    assert asyncio.run(_end_of_a_request_without_an_answer(tid)) == end
