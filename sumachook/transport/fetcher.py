"""The HTTP client of a process: fetch effects become requests, what happens becomes messages."""

import asyncio
import socket
import struct

import aiohttp
from assel import Parser

MOST_BODY = 8 << 20
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # of SO_LINGER: on, for no time


def _resetting_socket(address) -> socket.socket:
    """A socket whose closing drops what was not delivered: an order that was given up is not carried out when a cut heals."""
    family, kind, protocol, *_ = address
    opened = socket.socket(family, kind, protocol)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    return opened


class Fetcher:
    """Runs fetches, each in its own task; tells when the first byte may have gone out (§2.4).

    Prompts and orders get a fresh connection each, so that "connection refused" always means that nothing was sent;
    lookups keep theirs, and never share one with a prompt; so do orders that name the count of orders they expect (§14.5), whose
    connections are reset when they are given up.
    """

    __slots__ = ("hear", "tasks", "fresh", "kept", "orders")

    def __init__(self, hear):
        self.hear, self.tasks, self.fresh, self.kept, self.orders = hear, {}, None, None, None

    async def run(self):
        self.fresh = self._session(aiohttp.TCPConnector(force_close=True, limit=0))
        self.kept = self._session(aiohttp.TCPConnector(limit=0, keepalive_timeout=5))
        self.orders = self._session(
            aiohttp.TCPConnector(limit=0, keepalive_timeout=5, socket_factory=_resetting_socket)
        )
        try:
            await asyncio.Event().wait()
        finally:
            for task in self.tasks.values():
                task.cancel()
            await self.fresh.close()
            await self.kept.close()
            await self.orders.close()

    def _session(self, connector):
        trace = aiohttp.TraceConfig()
        trace.on_connection_create_end.append(self._sent)
        trace.on_connection_reuseconn.append(self._sent)
        return aiohttp.ClientSession(connector=connector, trace_configs=[trace], auto_decompress=False)

    async def _sent(self, session, context, params):
        self.hear(("fetched", context.trace_request_ctx, "sent"))

    def fetch(self, effect: tuple):
        tid = effect[1]
        if self.fresh is None:
            self.hear(("fetched", tid, "fault", "refused"))
            return
        task = asyncio.get_running_loop().create_task(self._fetch(effect))
        self.tasks[tid] = task
        task.add_done_callback(lambda done: self.tasks.pop(tid, None) if self.tasks.get(tid) is done else None)

    def unfetch(self, tid):
        task = self.tasks.pop(tid, None)
        if task is not None:
            task.cancel()

    async def _fetch(self, effect):
        _, tid, method, url, headers, body, connect, total, mode = effect
        session = {"lookup": self.kept, "provision": self.orders}.get(tid[0], self.fresh)
        timeout = aiohttp.ClientTimeout(total=total.total_seconds(), sock_connect=connect.total_seconds())
        try:
            async with session.request(
                method,
                url,
                headers=headers,
                data=body or None,
                timeout=timeout,
                trace_request_ctx=tid,
                allow_redirects=False,
            ) as answer:
                names = {name.lower(): value for name, value in answer.headers.items()}
                if mode == "events" and names.get("content-type", "").startswith("text/event-stream"):
                    self.hear(("fetched", tid, "head", answer.status, names))
                    await self._events(tid, answer)
                    outcome = ("end",)
                else:
                    whole = await answer.content.read(MOST_BODY)
                    while not answer.content.at_eof():
                        whole += await answer.content.read(MOST_BODY)
                        if len(whole) > MOST_BODY:
                            raise aiohttp.ClientPayloadError("too long")
                    outcome = ("done", answer.status, names, whole)
        except aiohttp.ConnectionTimeoutError:
            outcome = ("fault", "connect-timeout")
        except aiohttp.ClientConnectorError:
            outcome = ("fault", "refused")
        except TimeoutError:
            outcome = ("fault", "timeout")
        except (aiohttp.ClientError, OSError, ValueError, UnicodeDecodeError):
            outcome = ("fault", "reset")
        self.hear(("fetched", tid, *outcome))

    async def _events(self, tid, answer):
        parser = Parser()
        async for chunk in answer.content.iter_any():
            for event in parser.receive_bytes(chunk):
                self.hear(("fetched", tid, "event", event.id, event.data))
