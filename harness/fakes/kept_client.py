"""A fake client that reuses its connection until it is closed, and records how each of its requests ended."""

import asyncio
from dataclasses import dataclass
from enum import StrEnum
from random import Random
from typing import NamedTuple

from harness.fakes.call_history import Attempt, CallHistory
from harness.fakes.request_kind import RequestKind
from harness.fakes.response_chunks import digest_of
from harness.fakes.server import DEADLINE, REQUEST, SEAL
from harness.fakes.tenants import CREDENTIAL, NO_KEY, TENANT, TenantKeys

CONNECT_WITHIN = 1.0  # seconds to establish a connection
WAIT_AFTER_DEADLINE = 1.0  # seconds, for the response that reports the exceeded deadline
SHORT_REST, LONG_REST_PORTION = 0.15, 0.25  # mean idle seconds; share of idle times up to the limit
MAX_REST_OF_LIMIT = 0.8  # share of the idle limit that clients of the users' platform do not exceed
LIMIT_BYTES = 1 << 25
FORGED_TENANT_PORTION = 0.1  # share of requests that carry a tenant header of their own
SHARED_TOKENS = 200  # prompt tokens that all requests have in common
HEAD_END, CHUNK_END = b"\r\n\r\n", b"\r\n"


class AttemptEnd(StrEnum):
    """How a request ended from the client's point of view."""

    COMPLETE = "a whole answer"
    CUT = "its connection ended without a whole answer"
    UNSENT = "no connection"
    LATE = "an answer after its deadline"
    UNANSWERED = "no whole answer a second after its deadline"


class IdleLimits(NamedTuple):
    """How many seconds a connection may be idle: by the acknowledged limit, which clients know, and by the shortest
    limit that some edge may already apply.
    """

    known: float
    shortest: float


class Rest(NamedTuple):
    """How many seconds a connection had been idle, and the shortest idle limit that an edge may have applied."""

    seconds: float
    shortest_limit: float


@dataclass(frozen=True, slots=True)
class KeptAttempt:
    """One request and its end; times are seconds of the event loop's clock.

    `rest` is the idle time of its connection since the previous response, None on a new connection. As far as the
    client could see, the connection was open when the request was written.
    """

    request_id: str
    kind: RequestKind
    edge: str
    started_at: float
    ended_at: float
    end: AttemptEnd
    status: int
    rest: Rest | None
    credential: str = NO_KEY

    @property
    def seconds(self) -> float:
        """Seconds from sending the request to its end."""
        return self.ended_at - self.started_at

    @property
    def was_kept(self) -> bool:
        """Whether the request was sent on a connection that had carried an earlier one."""
        return self.rest is not None


class _Connection:
    """One connection, the time at which it became idle, and the shortest idle limit at that time."""

    __slots__ = ("edge", "reader", "writer", "resting_since", "shortest_limit")

    def __init__(self, edge: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        self.edge, self.reader, self.writer = edge, reader, writer
        self.resting_since: float | None = None  # None: no response has arrived on this connection
        self.shortest_limit = 0.0

    @property
    def has_ended(self) -> bool:
        """Whether a close by the other side has been received."""
        return self.reader.at_eof() or self.reader.exception() is not None

    def begin_rest(self, now: float, shortest_limit: float) -> None:
        """Marks the connection as idle after the end of a response."""
        self.resting_since, self.shortest_limit = now, shortest_limit

    def rest(self, now: float) -> Rest | None:
        """Returns the idle time since the last response, or None before the first response."""
        return None if self.resting_since is None else Rest(now - self.resting_since, self.shortest_limit)


class _Answer(NamedTuple):
    """The status of a response, and whether the connection closes after it."""

    status: int
    is_last: bool


class KeptClient:
    """`run(until)` sends requests of random kinds one after the other, mostly on the same connection."""

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
        self.idle_limit = idle_limit  # returns the current `IdleLimits`
        self.random = Random(name)
        self.attempts: list[KeptAttempt] = []
        self.connection: _Connection | None = None

    async def run(self, until: float):
        """Sends requests until the event loop's clock reaches `until` (seconds)."""
        loop = asyncio.get_running_loop()
        weights = [kind.rate for kind in self.kinds]
        try:
            while loop.time() < until:
                limit = self.idle_limit().known
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
        credential = TenantKeys.draw(self.random, kind)
        request_id, raw = self._draw_request(kind, credential)
        if self.connection is not None and self.connection.has_ended:
            self._drop()
        connection = self.connection or await self._connect()
        if connection is None:
            return KeptAttempt(request_id, kind, "", started_at, loop.time(), AttemptEnd.UNSENT, 0, None, credential)
        rest = connection.rest(loop.time())
        end, answer = AttemptEnd.CUT, _Answer(0, True)
        try:
            async with asyncio.timeout(kind.deadline.total_seconds() + WAIT_AFTER_DEADLINE):
                connection.writer.write(raw)
                answer = await self._read_answer(connection, request_id)
                is_late = loop.time() - started_at > kind.deadline.total_seconds()
                end = AttemptEnd.LATE if is_late else AttemptEnd.COMPLETE
        except TimeoutError:
            end = AttemptEnd.UNANSWERED
        except (OSError, EOFError, ValueError):
            pass
        connection.begin_rest(loop.time(), self.idle_limit().shortest)
        if answer.is_last:
            self._drop()
        ended_at = loop.time()
        return KeptAttempt(
            request_id, kind, connection.edge, started_at, ended_at, end, answer.status, rest, credential
        )

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

    def _draw_request(self, kind: RequestKind, credential: str) -> tuple[str, bytes]:
        """Returns the id and the encoded bytes of a new request."""
        request_id = f"{self.random.getrandbits(64):016x}"
        is_lookup = kind.form == "idempotent"
        body = b"" if is_lookup else b'{"text":"%s"}' % (b"x" * self.random.randint(1, 400))
        path = f"{kind.prefix}{self.random.randint(0, 96)}"
        headers = {
            "Host": self.host,
            REQUEST: request_id,
            DEADLINE: str(int(kind.deadline.total_seconds() * 1000)),
            **({CREDENTIAL: credential} if credential else {}),
            **({TENANT: "forged"} if self.random.random() < FORGED_TENANT_PORTION else {}),
            **({} if is_lookup else {"Content-Length": str(len(body))}),
            **(self._draw_prompt(kind) if kind.models else {}),
        }
        head = [f"{'GET' if is_lookup else 'POST'} {path} HTTP/1.1", *(f"{name}: {headers[name]}" for name in headers)]
        self.call_history.attempts[request_id] = Attempt(kind, path, digest_of(body), credential=credential)
        return request_id, "\r\n".join(head).encode() + HEAD_END + body

    def _draw_prompt(self, kind: RequestKind) -> dict[str, str]:
        """Returns headers for a randomly drawn model, its token counts and its prompt prefix."""
        (model,) = self.random.choices([name for name, _ in kind.models], [share for _, share in kind.models])
        own, tokens_out = self.random.randint(20, 200), self.random.randint(12, 60)
        return {
            "Sumachook-Model": model,
            "Sumachook-Token-Counts": f"{SHARED_TOKENS + own},{tokens_out}",
            "Sumachook-Prompt-Prefix": f"c8:{SHARED_TOKENS},{self.random.getrandbits(32):08x}:{own}",
        }

    async def _read_answer(self, connection: _Connection, request_id: str) -> _Answer:
        """Reads one response; raises OSError, EOFError or ValueError if it is not complete."""
        reader = connection.reader
        head = (await reader.readuntil(HEAD_END)).decode("latin-1").split("\r\n")
        status = int(head[0].split(" ")[1])
        headers = {name.lower(): value for name, _, value in (field.partition(": ") for field in head[1:] if field)}
        if headers.get("transfer-encoding", "") == "chunked":
            while size := int((await reader.readline()).strip(), 16):
                await reader.readexactly(size + len(CHUNK_END))
            await reader.readexactly(len(CHUNK_END))
        else:
            await reader.readexactly(int(headers["content-length"]))
        if 200 <= status < 300 and not headers.get(SEAL.lower(), "").endswith("." + request_id):
            self.call_history.noted.append(f"MIXED: {request_id} got another request's response on a reused connection")
        return _Answer(status, headers.get("connection", "").lower() == "close")
