"""HTTP client of the control API for operators: tries each core in turn until one answers."""

import asyncio
import uuid
from collections.abc import Iterable
from datetime import timedelta
from typing import Any, NamedTuple

import aiohttp
import msgspec

from sumachook.exceptions import SumachookError

CALL_TIMEOUT = timedelta(seconds=10)
CONNECT_TIMEOUT = timedelta(seconds=2)
MAX_ROUNDS = 8  # maximum rounds over all cores; together they last longer than a leader election
ROUND_DELAY = timedelta(seconds=0.5)
SERVICE_UNAVAILABLE = 503


class UnreachableError(SumachookError):
    """Raised when no core answered; the message contains the reason of the last failed attempt."""


class Answer(NamedTuple):
    """A core's response: the HTTP status and the decoded JSON document."""

    status: int
    document: Any


class Client:
    """Sends a request to one core after the other; a retry repeats the body and so has the same request id.

    See docs/design/control-state.md.
    """

    __slots__ = ("cores", "key")

    def __init__(self, cores: Iterable[str], key: str | None) -> None:
        self.cores = tuple(cores)
        self.key = key

    def ask(self, method: str, path: str, document: Any = None) -> Answer:
        """Returns the first response other than 503; raises `UnreachableError` if all `MAX_ROUNDS` rounds fail."""
        return asyncio.run(self._ask(method, path, document))

    async def _ask(self, method: str, path: str, document: Any) -> Answer:
        headers = {"Authorization": f"Bearer {self.key}"} if self.key else {}
        timeout = aiohttp.ClientTimeout(
            total=CALL_TIMEOUT.total_seconds(), sock_connect=CONNECT_TIMEOUT.total_seconds()
        )
        data = msgspec.json.encode(document) if document is not None else None
        reason = "no core address given: use --core or SUMACHOOK_CORES"
        async with aiohttp.ClientSession(timeout=timeout, headers=headers) as session:
            for _ in range(MAX_ROUNDS):
                for core in self.cores:
                    try:
                        answer = await self._ask_core(session, method, f"http://{core}{path}", data)
                    except (TimeoutError, aiohttp.ClientError, OSError, msgspec.DecodeError) as error:
                        reason = f"{core}: {error or type(error).__name__}"
                        continue
                    if answer.status != SERVICE_UNAVAILABLE:
                        return answer
                    reason = f"{core}: {answer.document.get('fault', answer.document)}"
                await asyncio.sleep(ROUND_DELAY.total_seconds())
        raise UnreachableError(f"no core answered ({reason})")

    async def _ask_core(self, session: aiohttp.ClientSession, method: str, url: str, data: bytes | None) -> Answer:
        async with session.request(method, url, data=data) as response:
            return Answer(response.status, msgspec.json.decode(await response.read()))


def new_request_id() -> str:
    """Generates a unique id for an operator's request, by which cores recognize a retry of the same change."""
    return uuid.uuid4().hex
