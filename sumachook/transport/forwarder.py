"""The HTTP client of an edge's forwarded requests: effects become requests, what happens becomes messages."""

import asyncio
import socket
from datetime import timedelta

import aiohttp
from multidict import CIMultiDict
from yarl import URL

from sumachook.transport.watched import watch

KEPT = timedelta(seconds=8)
MOST_BODY = 16 << 20
LATEST = timedelta(seconds=1)
LONGEST_FIELD = 32 << 10
BODILESS = (204, 304)


def _make_socket(found):
    family, kind, proto, *_ = found
    return watch(socket.socket(family, kind, proto))


def _has_end(answer) -> bool:
    """Whether its end can be told from a cut: a body that only the connection's end closes may be any part of the whole."""
    is_chunked = answer.headers.get("Transfer-Encoding", "").lower().endswith("chunked")
    return is_chunked or "Content-Length" in answer.headers or answer.method == "HEAD" or answer.status in BODILESS


class Forwarder:
    """Runs ("forward", tid, method, url, header pairs, body, connect, total, isKept) each in its own task (§14.4).

    Tells ("fetched", tid, "sent" | "head" | "chunk" | "end" | "fault", ...). What may not run twice gets a fresh connection, so that
    "refused" or "connect-timeout" always means that nothing was sent; the rest may use a kept one.
    """

    __slots__ = ("hear", "tasks", "fresh", "kept")

    def __init__(self, hear):
        self.hear, self.tasks, self.fresh, self.kept = hear, {}, None, None

    async def run(self):
        self.fresh = self._session(aiohttp.TCPConnector(force_close=True, limit=0, socket_factory=_make_socket))
        self.kept = self._session(
            aiohttp.TCPConnector(limit=0, keepalive_timeout=KEPT.total_seconds(), socket_factory=_make_socket)
        )
        try:
            await asyncio.Event().wait()
        finally:
            for task in self.tasks.values():
                task.cancel()
            await self.fresh.close()
            await self.kept.close()

    def _session(self, connector):
        trace = aiohttp.TraceConfig()
        trace.on_connection_create_end.append(self._sent)
        trace.on_connection_reuseconn.append(self._sent)
        session = aiohttp.ClientSession(
            connector=connector,
            trace_configs=[trace],
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            max_line_size=LONGEST_FIELD,
            max_field_size=LONGEST_FIELD,
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
        )
        session._retry_connection = (
            False  # aiohttp would send GET, PUT and their like a second time, unseen, also on a fresh connection
        )
        return session

    async def _sent(self, session, context, params):
        self.hear(("fetched", context.trace_request_ctx, "sent"))

    def forward(self, effect: tuple):
        tid = effect[1]
        if self.fresh is None:
            self.hear(("fetched", tid, "fault", "refused"))
            return
        task = asyncio.get_running_loop().create_task(self._forward(effect))
        self.tasks[tid] = task
        task.add_done_callback(lambda done: self.tasks.pop(tid, None) if self.tasks.get(tid) is done else None)

    def unfetch(self, tid):
        task = self.tasks.pop(tid, None)
        if task is not None:
            task.cancel()

    async def _forward(self, effect):
        _, tid, method, url, headers, body, connect, total, is_kept = effect
        timeout = aiohttp.ClientTimeout(total=(total + LATEST).total_seconds(), sock_connect=connect.total_seconds())
        session = self.kept if is_kept else self.fresh
        try:
            async with session.request(
                method,
                URL(url, encoded=True),
                headers=CIMultiDict(headers),
                data=body or None,
                timeout=timeout,
                trace_request_ctx=tid,
                allow_redirects=False,
            ) as answer:
                self.hear(("fetched", tid, "head", answer.status, tuple(answer.headers.items())))
                size = 0
                async for chunk in answer.content.iter_any():
                    size += len(chunk)
                    if size > MOST_BODY:
                        raise aiohttp.ClientPayloadError("too long")
                    self.hear(("fetched", tid, "chunk", chunk))
            outcome = ("end",) if _has_end(answer) else ("fault", "reset")
        except aiohttp.ConnectionTimeoutError:
            outcome = ("fault", "connect-timeout")
        except aiohttp.ClientConnectorError:
            outcome = ("fault", "refused")
        except TimeoutError:
            outcome = ("fault", "timeout")
        except (aiohttp.ClientError, OSError, ValueError, UnicodeDecodeError):
            outcome = ("fault", "reset")
        self.hear(("fetched", tid, *outcome))
