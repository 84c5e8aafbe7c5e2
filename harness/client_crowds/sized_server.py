"""A fake server whose requests say how long it works and how much it answers."""

import asyncio
from urllib.parse import parse_qs, urlsplit

from aiohttp import web

from harness.fakes.plain_server import PlainServer
from harness.fakes.response_chunks import digest_of

EVENT_BYTES = 32 << 10
FILLER = b"x" * (1 << 20)


class SizedServer(PlainServer):
    """Answers as the query says: `work` seconds of work, then `bytes` of body or `events` of 32 KiB each.

    A request without a query is served as by a `PlainServer`. `unread=1` leaves the request's body unread for `work`
    seconds.
    """

    __slots__ = ()

    async def _ask(self, request):
        query = _query(request)
        if "unread" not in query:
            return await super()._ask(request)
        await asyncio.sleep(float(query["work"]))
        return await super()._ask(request)

    async def _serve(self, request, name, body, left):
        query = _query(request)
        if not query:
            return await super()._serve(request, name, body, left)
        self.call_history.ran(name, self.instance, self.service, request.path_qs, digest_of(body))
        await asyncio.sleep(float(query.get("work", 0)))
        if "events" in query:
            return await self._stream(request, name, int(query["events"]))
        size = int(query.get("bytes", 2))
        headers = self._sealed(name)
        response = web.StreamResponse(headers=headers)
        response.content_length = size
        await response.prepare(request)
        for start in range(0, size, len(FILLER)):
            await response.write(FILLER[: min(len(FILLER), size - start)])
        await response.write_eof()
        return response

    async def _stream(self, request, name, count):
        headers = {**self._sealed(name), "Content-Type": "text/event-stream"}
        response = web.StreamResponse(headers=headers)
        await response.prepare(request)
        for number in range(1, count + 1):
            await response.write(b"id: %d\ndata: %s\n\n" % (number, FILLER[:EVENT_BYTES]))
        await response.write_eof()
        return response


def _query(request) -> dict[str, str]:
    return {name: values[-1] for name, values in parse_qs(urlsplit(request.path_qs).query).items()}
