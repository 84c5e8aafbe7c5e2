"""A client that goes on using its connections until they are closed, and tells how each of its requests ended."""

import asyncio
from dataclasses import dataclass
from enum import StrEnum
from random import Random

from harness.fakes.call_history import Attempt, CallHistory
from harness.fakes.request_kind import RequestKind
from harness.fakes.response_chunks import digest_of
from harness.fakes.server import DEADLINE, REQUEST, SEAL

CONNECT_WITHIN = 1.0  # seconds
SHORT_REST, LONG_REST_PORTION = 0.15, 0.25  # mean seconds of most rests; how many last up to the idle limit instead
MAX_REST_OF_LIMIT = 0.8  # of the idle limit: what clients of the users' platform keep to
LIMIT_BYTES = 1 << 25


class AttemptEnd(StrEnum):
    """How a request ended for its client."""

    WHOLE = "a whole answer"
    CUT = "its connection ended without a whole answer"
    UNSENT = "no connection"
    LATE = "no whole answer within its deadline"


@dataclass(frozen=True, slots=True)
class KeptAttempt:
    """One request; times are the loop's, in seconds. `was_kept`: its connection had carried another one before."""

    request_id: str
    kind: RequestKind
    edge: str
    started_at: float
    ended_at: float
    end: AttemptEnd
    status: int
    was_kept: bool


class _Connection:
    """One connection, and how many answers came on it."""

    __slots__ = ("edge", "reader", "writer", "answers")

    def __init__(self, edge: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        self.edge, self.reader, self.writer, self.answers = edge, reader, writer, 0


class KeptClient:
    """`run(until)` sends requests of drawn kinds, one after the other, mostly on the connection of the one before."""

    __slots__ = (
        "zone",
        "host",
        "kinds",
        "call_history",
        "balancer",
        "idle_limit",
        "random",
        "name",
        "attempts",
        "connection",
    )

    def __init__(self, name: str, zone: str, host: str, kinds, call_history: CallHistory, balancer, idle_limit):
        self.name, self.zone, self.host, self.kinds = name, zone, host, kinds
        self.call_history, self.balancer = call_history, balancer
        self.idle_limit = idle_limit  # gives the idle limit that clients know now, in seconds
        self.random = Random(name)
        self.attempts: list[KeptAttempt] = []
        self.connection: _Connection | None = None

    async def run(self, until: float):
        """Asks until the loop's time is this."""
        loop = asyncio.get_running_loop()
        weights = [kind.rate for kind in self.kinds]
        try:
            while loop.time() < until:
                limit = self.idle_limit()
                (kind,) = self.random.choices(self.kinds, weights)
                self.attempts.append(await self._ask(kind))
                await asyncio.sleep(self._draw_rest(limit))
        finally:
            self._drop()

    def _draw_rest(self, limit: float) -> float:
        longest = MAX_REST_OF_LIMIT * limit
        if self.random.random() < LONG_REST_PORTION:
            return self.random.uniform(0.0, longest)
        return min(longest, self.random.expovariate(1 / SHORT_REST))

    async def _ask(self, kind: RequestKind) -> KeptAttempt:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        request_id, raw = self._draw_request(kind)
        connection = self.connection or await self._connect()
        if connection is None:
            return KeptAttempt(request_id, kind, "", started_at, loop.time(), AttemptEnd.UNSENT, 0, False)
        was_kept = connection.answers > 0
        end, status = AttemptEnd.CUT, 0
        try:
            async with asyncio.timeout(kind.deadline.total_seconds()):
                connection.writer.write(raw)
                status, is_last = await self._read_answer(connection, request_id)
                end = AttemptEnd.WHOLE
        except TimeoutError:
            end = AttemptEnd.LATE
        except (OSError, EOFError, ValueError):
            pass
        connection.answers += 1
        if end is not AttemptEnd.WHOLE or is_last:
            self._drop()
        return KeptAttempt(request_id, kind, connection.edge, started_at, loop.time(), end, status, was_kept)

    async def _connect(self) -> _Connection | None:
        edge = self.balancer.choose(self.zone, f"{self.name}/{self.random.random()}")
        host, _, port = edge.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_WITHIN):
                reader, writer = await asyncio.open_connection(host, int(port), limit=LIMIT_BYTES)
        except (OSError, TimeoutError):
            return None
        self.connection = _Connection(edge, reader, writer)
        return self.connection

    def _drop(self):
        if self.connection is not None:
            self.connection.writer.close()
            self.connection = None

    def _draw_request(self, kind: RequestKind):
        request_id = f"{self.random.getrandbits(64):016x}"
        is_lookup = kind.form == "idempotent"
        body = (
            b""
            if is_lookup
            else b'{"client":"%s","text":"%s"}' % (self.name.encode(), b"x" * self.random.randint(1, 400))
        )
        path = f"{kind.prefix}{self.random.randint(0, 96)}"
        lines = [
            f"{'GET' if is_lookup else 'POST'} {path} HTTP/1.1",
            f"Host: {self.host}",
            f"{REQUEST}: {request_id}",
            f"{DEADLINE}: {int(kind.deadline.total_seconds() * 1000)}",
        ]
        if not is_lookup:
            lines.append(f"Content-Length: {len(body)}")
        if kind.models:
            (model,) = self.random.choices([name for name, _ in kind.models], [share for _, share in kind.models])
            own, tokens_out = self.random.randint(20, 200), self.random.randint(12, 60)
            lines.append(f"Sumachook-Model: {model}")
            lines.append(f"Sumachook-Token-Counts: {200 + own},{tokens_out}")
            lines.append(f"Sumachook-Prompt-Prefix: c8:200,{self.random.getrandbits(32):08x}:{own}")
        self.call_history.attempts[request_id] = Attempt(kind, path, digest_of(body))
        return request_id, "\r\n".join(lines).encode() + b"\r\n\r\n" + body

    async def _read_answer(self, connection: _Connection, request_id: str):
        """(status, whether the connection ends with it); raises where the answer is not whole."""
        reader = connection.reader
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        status = int(head[0].split(" ")[1])
        headers = {name.lower(): value for name, _, value in (line.partition(": ") for line in head[1:] if line)}
        if headers.get("transfer-encoding", "") == "chunked":
            while size := int((await reader.readline()).strip(), 16):
                await reader.readexactly(size + 2)
            await reader.readexactly(2)
        else:
            await reader.readexactly(int(headers["content-length"]))
        if 200 <= status < 300 and not headers.get(SEAL.lower(), "").endswith("." + request_id):
            self.call_history.noted.append(
                f"MIXED: {request_id} got the answer of another request on a kept connection"
            )
        return status, headers.get("connection", "").lower() == "close"
