"""A client that goes on using its connections until they are closed, and tells how each of its requests ended."""

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

CONNECT_WITHIN = 1.0  # seconds
WAIT_AFTER_DEADLINE = 1.0  # seconds, for the answer that tells of it
SHORT_REST, LONG_REST_PORTION = 0.15, 0.25  # mean seconds of most rests; how many last up to the idle limit instead
MAX_REST_OF_LIMIT = 0.8  # of the idle limit: what clients of the users' platform keep to
LIMIT_BYTES = 1 << 25
FORGED_TENANT_PORTION = 0.1  # of requests that name a tenant themselves
SHARED_TOKENS = 200  # of each prompt
HEAD_END, CHUNK_END = b"\r\n\r\n", b"\r\n"


class AttemptEnd(StrEnum):
    """How a request ended for its client."""

    COMPLETE = "a whole answer"
    CUT = "its connection ended without a whole answer"
    UNSENT = "no connection"
    LATE = "an answer after its deadline"
    UNANSWERED = "no whole answer a second after its deadline"


class IdleLimits(NamedTuple):
    """For how many seconds a connection may rest: by the limit that is acknowledged, which clients know, and by the
    shortest that an edge may go by already.
    """

    known: float
    shortest: float


class Rest(NamedTuple):
    """For how many seconds a connection had rested, and the shortest limit that an edge may have gone by."""

    seconds: float
    shortest_limit: float


@dataclass(frozen=True, slots=True)
class KeptAttempt:
    """One request; times are the loop's, in seconds.

    `rest` is that of its connection since the answer before, None on a new connection. Its connection stood, for all
    that the client could see, as the request was written.
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
        """From its sending to its end."""
        return self.ended_at - self.started_at

    @property
    def was_kept(self) -> bool:
        """Whether its connection had carried another request before."""
        return self.rest is not None


class _Connection:
    """One connection; when it began to rest, and the shortest idle limit then."""

    __slots__ = ("edge", "reader", "writer", "resting_since", "shortest_limit")

    def __init__(self, edge: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        self.edge, self.reader, self.writer = edge, reader, writer
        self.resting_since: float | None = None  # None: no answer has come on it
        self.shortest_limit = 0.0

    @property
    def has_ended(self) -> bool:
        """Whether the other side has closed it, as far as has come through."""
        return self.reader.at_eof() or self.reader.exception() is not None

    def begin_rest(self, now: float, shortest_limit: float) -> None:
        """An answer has come to its end."""
        self.resting_since, self.shortest_limit = now, shortest_limit

    def rest(self, now: float) -> Rest | None:
        """How long it has rested since its last answer."""
        return None if self.resting_since is None else Rest(now - self.resting_since, self.shortest_limit)


class _Answer(NamedTuple):
    """The status of an answer, and whether its connection ends with it."""

    status: int
    is_last: bool


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
        self.idle_limit = idle_limit  # gives the `IdleLimits` now
        self.random = Random(name)
        self.attempts: list[KeptAttempt] = []
        self.connection: _Connection | None = None

    async def run(self, until: float):
        """Asks until the loop's time is this."""
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
        """Its id, and its bytes."""
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
        """The headers that tell of the model and the prompt."""
        (model,) = self.random.choices([name for name, _ in kind.models], [share for _, share in kind.models])
        own, tokens_out = self.random.randint(20, 200), self.random.randint(12, 60)
        return {
            "Sumachook-Model": model,
            "Sumachook-Token-Counts": f"{SHARED_TOKENS + own},{tokens_out}",
            "Sumachook-Prompt-Prefix": f"c8:{SHARED_TOKENS},{self.random.getrandbits(32):08x}:{own}",
        }

    async def _read_answer(self, connection: _Connection, request_id: str) -> _Answer:
        """The answer; raises where it does not come to its end."""
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
            self.call_history.noted.append(f"MIXED: {request_id} got another request's answer on a kept connection")
        return _Answer(status, headers.get("connection", "").lower() == "close")
