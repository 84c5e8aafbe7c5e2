"""The crowds: what each connection sends, how many there are, and which of the node's listeners they use."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from harness.client_crowds.crowd_client import Script, http_head
from harness.client_crowds.sized_server import EVENT_BYTES
from harness.fakes.deployment import HOST
from harness.fakes.server import DEADLINE, REQUEST
from harness.fakes.tenants import CREDENTIAL, STANDING_KEYS

MEBIBYTE, KIBIBYTE = 1 << 20, 1 << 10
DEADLINE_MS = 20_000
SIZED_PREFIX, FEED_PREFIX = "/sized/", "/feed/"
LENGTH_PREFIX_BYTES = 4
MAX_FRAME_BYTES = 4 << 20
PIECES, PIECES_SENT, PIECE_PAUSE_S = 8, 7, 1.0
LONG_FIELD_BYTES, LONG_FIELDS = 300 * KIBIBYTE, 3  # a head of nearly 1 MiB
SLOW_BYTES_S = 1000
PIPELINED_BODY_BYTES, PIPELINED_REQUESTS = 64 * KIBIBYTE, 16


class Listener(StrEnum):
    """The listener that a crowd connects to."""

    FRONT = "an edge's address for clients"
    READINESS = "an edge's readiness address"
    CONTROL = "a core's control address"
    EDGE_INTERNAL = "an edge's address for other nodes"
    CORE_INTERNAL = "a core's address for other nodes"


@dataclass(frozen=True, slots=True)
class Sizes:
    """The sizes that a deployment sets: the longest body of a client's request and of an operator's call, in bytes."""

    body_bytes: int
    order_bytes: int = 4 * MEBIBYTE


@dataclass(frozen=True, slots=True)
class CrowdSpec:
    """One crowd: `count` connections to `listener` that follow the script for the deployment's sizes.

    It is held for `hold_s` seconds after its last connection was opened.
    """

    name: str
    listener: Listener
    count: int
    script: Callable[[Sizes], Script]
    hold_s: float = 4.0
    descriptors: int = 4100  # limit of the node's process, where the command line sets none


def _head(path: str, headers: tuple[tuple[str, str], ...] = (), method: str = "POST") -> bytes:
    known = ((REQUEST, "c0ffee"), (DEADLINE, str(DEADLINE_MS)), (CREDENTIAL, STANDING_KEYS[0]))
    return http_head(method, path, HOST, (*known, *headers))


def _with_length(path: str, size: int) -> bytes:
    return _head(path, (("Content-Length", str(size)),))


def _body_short_of_a_byte(sizes: Sizes) -> Script:
    size = sizes.body_bytes
    return Script((_with_length(SIZED_PREFIX + "?work=0", size) + b"x" * (size - 1),))


def _insisting_body(sizes: Sizes) -> Script:
    return Script(_body_short_of_a_byte(sizes).blocks, insists=True)


def _chunked_body_without_end(sizes: Sizes) -> Script:
    half = sizes.body_bytes // 2
    chunk = b"%x\r\n%b\r\n" % (half, b"x" * half)
    return Script((_head(SIZED_PREFIX + "?work=0", (("Transfer-Encoding", "chunked"),)) + chunk * 2,))


def _body_in_pieces(sizes: Sizes) -> Script:
    piece = b"x" * (sizes.body_bytes // PIECES)
    first = _with_length(SIZED_PREFIX + "?work=0", sizes.body_bytes) + piece
    return Script((first, *(piece for _ in range(PIECES_SENT - 1))), PIECE_PAUSE_S)


def _whole_body_at_a_slow_server(sizes: Sizes) -> Script:
    path = SIZED_PREFIX + "?work=6"
    return Script((_with_length(path, sizes.body_bytes) + b"x" * sizes.body_bytes,))


def _whole_body_that_no_server_reads(sizes: Sizes) -> Script:
    path = SIZED_PREFIX + "?work=6&unread=1"
    return Script((_with_length(path, sizes.body_bytes) + b"x" * sizes.body_bytes,))


def _whole_body_without_a_route(sizes: Sizes) -> Script:
    return Script((_with_length("/nowhere/", sizes.body_bytes) + b"x" * sizes.body_bytes,))


def _unfinished_head(sizes: Sizes) -> Script:
    return Script((_head(SIZED_PREFIX, (("Filler", "x" * (15 * KIBIBYTE)),))[:-2],))


def _long_unfinished_head(sizes: Sizes) -> Script:
    fields = tuple((f"Filler-{number}", "x" * LONG_FIELD_BYTES) for number in range(LONG_FIELDS))
    return Script((_head(SIZED_PREFIX, fields)[:-2],))


def _pipelined_requests(sizes: Sizes) -> Script:
    first = _with_length(SIZED_PREFIX + "?work=6", 2) + b"{}"
    further = _with_length(SIZED_PREFIX + "?work=0", PIPELINED_BODY_BYTES) + b"x" * PIPELINED_BODY_BYTES
    return Script((first + further * PIPELINED_REQUESTS,))


def _slowly_read_answer(size: int) -> Callable[[Sizes], Script]:
    def script(sizes: Sizes) -> Script:
        return Script((_with_length(f"{SIZED_PREFIX}?bytes={size}", 2) + b"{}",), read_bytes_s=SLOW_BYTES_S)

    return script


def _unread_stream(sizes: Sizes) -> Script:
    count = 8 * MEBIBYTE // EVENT_BYTES
    return Script((_with_length(f"{FEED_PREFIX}?events={count}", 2) + b"{}",), read_bytes_s=SLOW_BYTES_S)


def _idle(sizes: Sizes) -> Script:
    return Script((), insists=True)


def _order_short_of_a_byte(sizes: Sizes) -> Script:
    size = sizes.order_bytes
    return Script((_with_length("/Configuration.Replace", size) + b" " * (size - 1),))


def _whole_order(sizes: Sizes) -> Script:
    numbers = b"[" + b"1," * (sizes.order_bytes // 2 - 40) + b"1]"
    body = b'{"version":900,"routes":' + numbers + b"}"
    return Script((_with_length("/Configuration.Replace", len(body)) + body,))


def _readiness_body(sizes: Sizes) -> Script:
    return Script((_with_length("/readiness", MEBIBYTE) + b"x" * (MEBIBYTE - 1),))


def _frame_short_of_a_byte(sizes: Sizes) -> Script:
    size = MAX_FRAME_BYTES
    return Script((size.to_bytes(LENGTH_PREFIX_BYTES, "big") + b"x" * (size - 1),))


CROWDS = (
    CrowdSpec("bodies one byte short", Listener.FRONT, 120, _body_short_of_a_byte),
    CrowdSpec("bodies one byte short that come again", Listener.FRONT, 120, _insisting_body),
    CrowdSpec("chunked bodies without their end", Listener.FRONT, 120, _chunked_body_without_end),
    CrowdSpec("bodies in pieces", Listener.FRONT, 120, _body_in_pieces, PIECES_SENT * PIECE_PAUSE_S),
    CrowdSpec("whole bodies at a slow server", Listener.FRONT, 120, _whole_body_at_a_slow_server),
    CrowdSpec("whole bodies that no server reads", Listener.FRONT, 120, _whole_body_that_no_server_reads),
    CrowdSpec("whole bodies without a route", Listener.FRONT, 300, _whole_body_without_a_route),
    CrowdSpec("unfinished heads", Listener.FRONT, 3600, _unfinished_head),
    CrowdSpec("long unfinished heads", Listener.FRONT, 120, _long_unfinished_head),
    CrowdSpec("pipelined requests", Listener.FRONT, 200, _pipelined_requests),
    CrowdSpec("slowly read answers", Listener.FRONT, 300, _slowly_read_answer(768 * KIBIBYTE), 8.0),
    CrowdSpec("slowly read answers of 15 MiB", Listener.FRONT, 20, _slowly_read_answer(15 * MEBIBYTE), 8.0),
    CrowdSpec("slowly read streams", Listener.FRONT, 200, _unread_stream, 6.0),
    CrowdSpec("idle connections", Listener.FRONT, 1200, _idle, 8.0, 1000),
    CrowdSpec("bodies at the readiness address", Listener.READINESS, 120, _readiness_body),
    CrowdSpec("orders one byte short", Listener.CONTROL, 60, _order_short_of_a_byte),
    CrowdSpec("whole orders", Listener.CONTROL, 60, _whole_order),
    CrowdSpec("frames one byte short at an edge", Listener.EDGE_INTERNAL, 60, _frame_short_of_a_byte),
    CrowdSpec("frames one byte short at a core", Listener.CORE_INTERNAL, 60, _frame_short_of_a_byte),
)
CROWD_BY_NAME = {crowd.name: crowd for crowd in CROWDS}
