"""A fake of the platform's operator, which sends orders to the control nodes."""

import asyncio

import aiohttp

RESPONSE_TIMEOUT, LONGEST_PAUSE = 1.0, 1.0
RETRY_STATUSES = (408, 429)


class Operator:
    """`order(method, path, headers, document)` returns (status, body) of the first conclusive response.

    Any node that serves `control` may answer; the nodes are tried in turn, with a growing pause between attempts.
    """

    __slots__ = ("controls", "session", "node_index")

    def __init__(self, controls: list, session):
        self.controls, self.session, self.node_index = controls, session, 0

    async def order(self, method: str, path: str, headers=None, doc=None, within: float = 30.0):
        until, pause = asyncio.get_running_loop().time() + within, 0.05
        while True:
            answer = await self._ask(method, path, headers or {}, doc)
            if answer is not None or asyncio.get_running_loop().time() > until:
                return answer
            self.node_index += 1
            await asyncio.sleep(pause)
            pause = min(LONGEST_PAUSE, 2 * pause)

    async def _ask(self, method, path, headers, doc):
        """Returns (status, body), or None without a conclusive response: the next attempt goes to another node.

        At most two redirections are followed.
        """
        url = f"http://{self.controls[self.node_index % len(self.controls)]}{path}"
        try:
            for _ in range(3):
                async with self.session.request(
                    method,
                    url,
                    headers=headers,
                    json=doc,
                    allow_redirects=False,
                    timeout=aiohttp.ClientTimeout(total=RESPONSE_TIMEOUT),
                ) as answer:
                    body = await answer.read()
                if answer.status != 307:
                    break
                url = answer.headers["Location"]
        except (aiohttp.ClientError, TimeoutError, ConnectionError, KeyError):
            return None
        if answer.status >= 500 or answer.status in (*RETRY_STATUSES, 307):
            return None
        return answer.status, body
