"""Draws the cases and server faults of a fuzz run from a seed; the same seed gives the same cases."""

from dataclasses import dataclass
from enum import StrEnum
from random import Random

ROUTE_KINDS = ("plain", "once", "loose", "chat")
REPEATABLE = frozenset({"plain", "chat"})
STREAMS = frozenset({"loose", "chat"})
MAX_ATTEMPTS = {"plain": 2, "once": 4, "loose": 2, "chat": 3}
MAX_REQUESTS = 4
LARGE_BODY = 300_000


class ServerFault(StrEnum):
    """The fault that a server injects into the response to one request."""

    NONE = "none"
    CUT = "cut"
    RESET = "reset"
    PAUSE = "pause"
    HANG = "hang"
    GARBLE = "garble"
    INSERT = "insert"
    DUPLICATE = "duplicate"
    SURPLUS = "surplus"
    LATE_SURPLUS = "late surplus"
    HALF_SURPLUS = "half surplus"
    LATE_COPY = "refusal, and a copy of it in the place of the next response"
    SWAP = "swap"
    EARLIER_ID = "earlier id"
    EARLY = "early"
    INFORMATIONAL = "informational"
    SWITCHING = "switching protocols"
    SHORT_LENGTH = "short length"
    LONG_LENGTH = "long length"
    TWO_LENGTHS = "two lengths"
    LENGTH_AND_CHUNKED = "length and chunked"
    NO_LENGTH = "no length"
    NO_SEAL = "no seal"
    NO_ID = "no id"
    ENCODED = "encoded"
    NOT_RUN = "not run"
    UNMARKED_REFUSAL = "unmarked refusal"
    MARKED_SUCCESS = "marked success"
    DROPPED_IDLE = "dropped idle connection"
    SILENT_IDLE = "silent idle connection"
    FAILURE = "failure"
    OTHER_STATUS = "other status"
    BAD_CHUNK = "bad chunk"
    TRAILERS = "trailers"


class ClientFault(StrEnum):
    """How a client uses or misuses its connection."""

    NONE = "none"
    KEPT = "kept connection"
    PIPELINED = "pipelined"
    PIECES = "pieces"
    HALF_CLOSE = "half close"
    PARTIAL_CLOSE = "part of a request, then close"
    PARTIAL_RESET = "part of a request, then reset"
    RESET_IN_ANSWER = "reset in the answer"
    CLOSE_IN_ANSWER = "close in the answer"
    SLOW_READER = "slow reader"


@dataclass(frozen=True, slots=True)
class PlannedRequest:
    """One request of a client, sent once."""

    request_id: str
    route: str
    method: str
    body: bytes
    is_chunked: bool
    size: int  # bytes of the complete response, or events of a stream

    @property
    def path(self) -> str:
        """The request target; it contains the request id, so that a swapped target is detected."""
        return f"/{self.route}/{self.request_id}"

    @property
    def is_repeatable(self) -> bool:
        """Whether the request may run more than once."""
        return self.route in REPEATABLE

    @property
    def is_stream(self) -> bool:
        """Whether the response is a stream of events."""
        return self.route in STREAMS

    def encode(self, is_last: bool) -> bytes:
        """Returns the request as HTTP/1.1 bytes; the last one of a connection asks to close it."""
        lines = [f"{self.method} {self.path} HTTP/1.1", "Host: a.example", f"X-Request-Id: {self.request_id}"]
        if is_last:
            lines.append("Connection: close")
        if self.is_chunked:
            lines.append("Transfer-Encoding: chunked")
            body = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in _parts(self.body)) + b"0\r\n\r\n"
        else:
            lines.append(f"Content-Length: {len(self.body)}")
            body = self.body
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


@dataclass(frozen=True, slots=True)
class Case:
    """One client connection: its requests in order, and its fault; `position` is a fraction of the bytes (0 to 1)."""

    number: int
    fault: ClientFault
    requests: tuple[PlannedRequest, ...]
    position: float
    pieces: int


@dataclass(frozen=True, slots=True)
class ServerMove:
    """How a server handles one request; `position` of the fault is a fraction of the response bytes (0 to 1)."""

    fault: ServerFault
    position: float
    does_run: bool
    status: int
    byte: int


def _parts(body: bytes) -> list[bytes]:
    size = max(1, len(body) // 3)
    return [body[at : at + size] for at in range(0, len(body), size)]


def draw_case(seed: int, number: int) -> Case:
    """Returns the case with this number for a seed."""
    random = Random(f"client/{seed}/{number}")
    fault = random.choice(tuple(ClientFault))
    is_many = fault in (ClientFault.KEPT, ClientFault.PIPELINED, ClientFault.PIECES, ClientFault.SLOW_READER)
    count = random.randint(2, MAX_REQUESTS) if is_many else 1
    requests = tuple(_draw_request(random, f"q{number}-{place}") for place in range(count))
    return Case(number, fault, requests, random.random(), random.randint(1, 6))


def _draw_request(random: Random, request_id: str) -> PlannedRequest:
    route = random.choice(ROUTE_KINDS)
    method = random.choice(("POST", "POST", "POST", "GET", "PUT"))
    size = random.choice((0, 2, 40, 4000)) if random.random() < 0.95 else LARGE_BODY
    body = b"" if method == "GET" else (request_id.encode() + b"|").ljust(size, b"b")[: max(size, 1)]
    is_chunked = bool(body) and random.random() < 0.3
    answer_size = random.randint(1, 6) if route in STREAMS else random.choice((1, 30, 600, 70_000))
    return PlannedRequest(request_id, route, method, body, is_chunked, answer_size)


def draw_move(
    seed: int,
    request_id: str,
    arrival: int,
    fault_free_share: float,
    faults: tuple[ServerFault, ...] = tuple(ServerFault),
) -> ServerMove:
    """Draws how a server handles the n-th arrival of a request; `fault_free_share` of the arrivals have no fault."""
    random = Random(f"server/{seed}/{request_id}/{arrival}")
    fault = ServerFault.NONE if random.random() < fault_free_share else random.choice(faults)
    return ServerMove(
        fault,
        random.random(),
        random.random() < 0.8,
        random.choice((400, 403, 404, 409, 302, 304, 204, 201)),
        random.randrange(256),
    )
