"""A server that injects faults: truncated, corrupted, late, duplicate or swapped responses."""

import asyncio
import re
import socket
import struct
from dataclasses import dataclass

from harness.fuzzing.oracle import Arrival, Oracle, ServedAnswer, stream_event
from harness.fuzzing.plan import ServerFault, ServerMove, draw_move

YIELDS_PER_PAUSE = 6  # iterations of the event loop after which the other side has read what was written
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
CONTENT_LENGTH = re.compile(rb"(?i)\r\ncontent-length: (\d+)")
CHUNKED = re.compile(rb"(?i)\r\ntransfer-encoding: chunked")
NOT_RUN_STATUSES = (503, 429, 421, 408)
NOT_RUN_FAULTS = frozenset({ServerFault.NOT_RUN, ServerFault.LATE_COPY})


@dataclass(frozen=True, slots=True)
class Received:
    """A request as parsed from the received bytes."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes

    @property
    def request_id(self) -> str:
        """The request id from the client's header, or ""."""
        return self.headers.get("x-request-id", "")

    @property
    def route(self) -> str:
        """The first segment of the path, which names the route."""
        return self.path.split("/")[1]


class ConnectionOverError(Exception):
    """Raised to close the connection."""


async def yield_to_loop(count: int = YIELDS_PER_PAUSE) -> None:
    """Yields to the event loop `count` times, so that tasks that are ready can run."""
    for _ in range(count):
        await asyncio.sleep(0)


def reset(writer: asyncio.StreamWriter) -> None:
    """Closes the connection with a TCP reset."""
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()


class FaultyServer:
    """A server on loopback that records every received request and every sent byte in the oracle."""

    def __init__(
        self,
        name: str,
        seed: int,
        oracle: Oracle,
        fault_free_share: float,
        faults: tuple[ServerFault, ...] = tuple(ServerFault),
    ) -> None:
        self.name, self.seed, self.oracle, self.fault_free_share = name, seed, oracle, fault_free_share
        self.faults = faults
        self.address = ""
        self.connections: set[asyncio.Task[None]] = set()
        self.listener: asyncio.Server | None = None
        self.seals = 0
        self.last_answered_id = ""  # id of the request that was answered last

    async def start(self) -> None:
        """Listens on a free loopback port and sets `address`."""
        self.listener = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self.listener.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Closes the listener and all connections."""
        assert self.listener is not None
        self.listener.close()
        for task in self.connections:
            task.cancel()
        await asyncio.gather(*self.connections, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.connections.add(task)
        try:
            await ServerConnection(self, reader, writer).run()
        except (ConnectionOverError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError):
            pass
        finally:
            self.connections.discard(task)
            writer.close()

    def next_seal(self) -> str:
        """Returns a response seal that no other response has."""
        self.seals += 1
        return f"{self.name}.{self.seals}"


class ServerConnection:
    """One connection to a server: sequential requests, each with its own fault."""

    def __init__(self, server: FaultyServer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.server, self.reader, self.writer = server, reader, writer
        self.idle_fault: ServerFault | None = None
        self.late_copy = b""  # a response that is sent once more in the place of the next one

    async def run(self) -> None:
        """Serves requests until the connection is closed."""
        while True:
            head = await self.reader.readuntil(b"\r\n\r\n")
            await self._serve_next(head)

    async def _serve_next(self, head: bytes) -> None:
        received = _read_head(head)
        oracle, name = self.server.oracle, received.request_id
        server = self.server
        move = draw_move(server.seed, name, len(oracle.arrivals[name]), server.fault_free_share, server.faults)
        arrival = Arrival(self.server.name, received.method, received.path, b"", False)
        if move.fault is ServerFault.EARLY and self.idle_fault is None:
            answer = self._compose(received, move)
            self._write(answer, answer.raw)
            await yield_to_loop()
        arrival.body = await self._read_body(head)
        oracle.arrivals[name].append(arrival)
        if self.late_copy:
            self._write(None, self.late_copy)
            self.late_copy = b""
            await yield_to_loop()
        if self.idle_fault is not None:
            await self._fail_on_reuse(arrival, move)
        arrival.has_run = move.fault not in NOT_RUN_FAULTS and (
            move.does_run or move.fault not in (ServerFault.RESET, ServerFault.CUT, ServerFault.HANG)
        )
        if move.fault is not ServerFault.EARLY:
            await MoveExecutor(self, received, move).play()
        self.server.last_answered_id = name
        if received.headers.get("connection", "").lower() == "close":
            await self.writer.drain()
            raise ConnectionOverError

    async def _fail_on_reuse(self, arrival: Arrival, move: ServerMove) -> None:
        """Hangs or closes a reused connection, according to the idle fault of the previous request."""
        arrival.has_run = move.does_run
        if self.idle_fault is ServerFault.SILENT_IDLE:
            await self.hang()
        raise ConnectionOverError

    async def _read_body(self, head: bytes) -> bytes:
        if CHUNKED.search(head):
            body = b""
            while size := int(await self.reader.readline(), 16):
                body += (await self.reader.readexactly(size + 2))[:-2]
            await self.reader.readline()
            return body
        length = CONTENT_LENGTH.search(head)
        return await self.reader.readexactly(int(length[1])) if length else b""

    async def hang(self) -> None:
        """Sends nothing more until the other side closes the connection."""
        while await self.reader.read(65536):
            pass
        raise ConnectionOverError

    def _compose(self, received: Received, move: ServerMove) -> ServedAnswer:
        """Composes the response of a move, without faults in sending, and records it in the oracle."""
        answer = compose(received, move, self.server.next_seal(), self.server.oracle)
        self.server.oracle.answers[received.request_id].append(answer)
        return answer

    def compose(self, received: Received, move: ServerMove) -> ServedAnswer:
        """Composes the response of a move and records it in the oracle."""
        return self._compose(received, move)

    def _write(self, answer: ServedAnswer | None, raw: bytes) -> None:
        if answer is not None:
            answer.sent += raw
        self.writer.write(raw)

    def write(self, answer: ServedAnswer | None, raw: bytes) -> None:
        """Sends bytes; appends them to the record of `answer` if there is one."""
        self._write(answer, raw)


class MoveExecutor:
    """Executes one server move on one connection."""

    def __init__(self, connection: ServerConnection, received: Received, move: ServerMove) -> None:
        self.connection, self.received, self.move = connection, received, move
        self.answer = connection.compose(received, move)

    async def play(self) -> None:
        """Sends the response with the fault of the move."""
        special = {
            ServerFault.CUT: self._cut,
            ServerFault.RESET: self._reset,
            ServerFault.PAUSE: self._pause,
            ServerFault.HANG: self._hang,
            ServerFault.GARBLE: self._garble,
            ServerFault.INSERT: self._insert,
            ServerFault.DUPLICATE: self._duplicate,
            ServerFault.SURPLUS: self._surplus,
            ServerFault.LATE_SURPLUS: self._late_surplus,
            ServerFault.HALF_SURPLUS: self._half_surplus,
            ServerFault.LATE_COPY: self._late_copy,
            ServerFault.SWAP: self._swap,
            ServerFault.EARLIER_ID: self._earlier_id,
            ServerFault.INFORMATIONAL: self._informational,
            ServerFault.DROPPED_IDLE: self._fail_when_idle,
            ServerFault.SILENT_IDLE: self._fail_when_idle,
        }
        await special.get(self.move.fault, self._whole)()
        await self.connection.writer.drain()
        if self.move.fault is ServerFault.NO_LENGTH:
            raise ConnectionOverError

    def _fault_offset(self) -> int:
        """Returns the offset of the fault in the response bytes.

        A corrupted stream is changed only in its head: changed bytes in the body could be a valid event.
        """
        length = len(self.answer.raw)
        is_spoiled_stream = self.move.fault in (ServerFault.GARBLE, ServerFault.INSERT) and self.received.route in (
            "chat",
            "loose",
        )
        if is_spoiled_stream:
            length = self.answer.raw.index(b"\r\n\r\n")
        return int(self.move.position * length)

    def _send(self, raw: bytes) -> None:
        self.connection.write(self.answer, raw)

    async def _whole(self) -> None:
        self._send(self.answer.raw)

    async def _cut(self) -> None:
        self._send(self.answer.raw[: self._fault_offset()])
        await self.connection.writer.drain()
        raise ConnectionOverError

    async def _reset(self) -> None:
        self._send(self.answer.raw[: self._fault_offset()])
        await yield_to_loop()
        reset(self.connection.writer)
        raise ConnectionOverError

    async def _pause(self) -> None:
        at = self._fault_offset()
        self._send(self.answer.raw[:at])
        await yield_to_loop()
        self._send(self.answer.raw[at:])

    async def _hang(self) -> None:
        self._send(self.answer.raw[: self._fault_offset()])
        await self.connection.hang()

    async def _garble(self) -> None:
        at, raw = self._fault_offset(), self.answer.raw
        self._send(raw[:at] + bytes([self.move.byte]) + raw[at + 1 :])
        await yield_to_loop()
        raise ConnectionOverError

    async def _insert(self) -> None:
        at, raw = self._fault_offset(), self.answer.raw
        self._send(raw[:at] + b"\r\n" * (self.move.byte % 3) + bytes([self.move.byte]) * 3 + raw[at:])
        await yield_to_loop()
        raise ConnectionOverError

    async def _duplicate(self) -> None:
        self._send(self.answer.raw)
        self.connection.write(None, self.answer.raw)

    def _foreign(self, is_over: bool = True) -> bytes:
        """Returns a complete response to another request: to a finished one, or to any if not `is_over`.

        An unfinished request may yet be sent on this very connection, and the response would then be taken for its own.
        """
        server = self.connection.server
        names = server.oracle.received if is_over else server.oracle.asked
        others = [name for name in names if name != self.received.request_id]
        other = others[int(self.move.position * len(others))] if others else "none"
        return compose(_with_request_id(self.received, other), self.move, server.next_seal(), server.oracle).raw

    async def _surplus(self) -> None:
        self._send(self.answer.raw)
        self.connection.write(None, self._foreign())

    async def _late_surplus(self) -> None:
        self._send(self.answer.raw)
        await yield_to_loop(YIELDS_PER_PAUSE + self.move.byte % 8)
        self.connection.write(None, self._foreign())

    async def _half_surplus(self) -> None:
        foreign = self._foreign()
        at = int(self.move.position * len(foreign))
        self.connection.write(self.answer, self.answer.raw)
        self.connection.write(None, foreign[:at])
        await yield_to_loop(YIELDS_PER_PAUSE + self.move.byte % 8)
        self.connection.write(None, foreign[at:])

    async def _late_copy(self) -> None:
        self._send(self.answer.raw)
        self.connection.late_copy = self.answer.raw

    async def _swap(self) -> None:
        self.connection.write(None, self._foreign(is_over=False))
        await yield_to_loop()
        raise ConnectionOverError

    async def _earlier_id(self) -> None:
        server = self.connection.server
        is_other = (
            server.last_answered_id in server.oracle.received and server.last_answered_id != self.received.request_id
        )
        last_answered_id = _with_request_id(self.received, server.last_answered_id if is_other else "none")
        self.connection.write(None, compose(last_answered_id, self.move, server.next_seal(), server.oracle).raw)

    async def _informational(self) -> None:
        lines = (
            b"HTTP/1.1 100 Continue\r\n\r\n",
            b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n",
            b"HTTP/1.1 102 Processing\r\n\r\n",
        )
        self.connection.write(self.answer, lines[self.move.byte % 3])
        await yield_to_loop(self.move.byte % 4)
        self._send(self.answer.raw)

    async def _fail_when_idle(self) -> None:
        self._send(self.answer.raw)
        self.connection.idle_fault = self.move.fault


def _with_request_id(received: Received, request_id: str) -> Received:
    return Received(received.method, received.path, {**received.headers, "x-request-id": request_id}, received.body)


def _read_head(head: bytes) -> Received:
    first, *lines = head[:-4].decode("latin-1").split("\r\n")
    method, path, _ = first.split(" ", 2)
    pairs = (line.partition(":") for line in lines)
    return Received(method, path, {name.strip().lower(): value.strip() for name, _, value in pairs}, b"")


def compose(received: Received, move: ServerMove, seal: str, oracle: Oracle) -> ServedAnswer:
    """Composes a response, with the faults that affect its status, headers, body or framing."""
    fault, name = move.fault, received.request_id
    entry = oracle.asked.get(name)
    size = entry.request.size if entry is not None else 1
    status, body, more = _content(received, move, seal, size)
    headers = [f"X-Request-Id: {name}"] if fault is not ServerFault.NO_ID else []
    if fault is not ServerFault.NO_SEAL and fault not in NOT_RUN_FAULTS:
        headers.append(f"X-Server-Seal: {seal}")
    headers += more
    framing, payload = _framed(received, move, body, status)
    text = "\r\n".join([f"HTTP/1.1 {status} Any", *headers, *framing]).encode() + b"\r\n\r\n"
    payload = b"" if received.method == "HEAD" or status in (204, 304) else payload
    return ServedAnswer(name, seal, received.method, status, body, text + payload, fault)


def _content(received: Received, move: ServerMove, seal: str, size: int) -> tuple[int, bytes, list[str]]:
    """Returns (status, body, further headers) of the response."""
    fault, name = move.fault, received.request_id
    if fault in NOT_RUN_FAULTS:
        return NOT_RUN_STATUSES[move.byte % len(NOT_RUN_STATUSES)], b"", ["X-Not-Run: 1"]
    if fault is ServerFault.UNMARKED_REFUSAL:
        return (503, 429, 408)[move.byte % 3], b"unmarked", []
    if fault is ServerFault.FAILURE:
        return (500, 502, 504)[move.byte % 3], f"{name}/{seal}/failure".encode(), []
    if fault is ServerFault.OTHER_STATUS:
        return move.status, b"" if move.status in (204, 304) else f"{name}/{seal}/other".encode(), []
    if fault is ServerFault.SWITCHING:
        return 101, b"", ["Upgrade: any", "Connection: Upgrade"]
    more = ["X-Not-Run: 1"] if fault is ServerFault.MARKED_SUCCESS else []
    more += ["Content-Encoding: gzip"] if fault is ServerFault.ENCODED else []
    if received.route in ("loose", "chat"):
        first = int(received.headers.get("last-event-id", "0")) + 1
        owner = name if received.route == "chat" else f"{name}/{seal}"
        return (
            200,
            b"".join(stream_event(number, owner) for number in range(first, size + 1)),
            [*more, "Content-Type: text/event-stream"],
        )
    return 200, f"{name}/{seal}|".encode().ljust(size, b"a"), more


def _framed(received: Received, move: ServerMove, body: bytes, status: int) -> tuple[list[str], bytes]:
    """Returns (headers that frame the body, body with its framing)."""
    fault = move.fault
    is_chunked = (received.route in ("loose", "chat") and status < 300) or move.byte % 4 == 0
    if fault is ServerFault.NO_LENGTH:
        return [], body
    if fault is ServerFault.SHORT_LENGTH:
        return [f"Content-Length: {max(0, len(body) - 1 - move.byte % 5)}"], body
    if fault is ServerFault.LONG_LENGTH:
        return [f"Content-Length: {len(body) + 1 + move.byte}"], body
    if fault is ServerFault.TWO_LENGTHS:
        return [f"Content-Length: {len(body)}", f"Content-Length: {len(body) + 1}"], body
    if fault is ServerFault.SWITCHING:
        return [], b""
    if status in (204, 304):
        return [], b""
    chunks = _chunks(body, 1 + move.byte % 3, fault)
    if fault is ServerFault.LENGTH_AND_CHUNKED:
        return [f"Content-Length: {len(body)}", "Transfer-Encoding: chunked"], chunks
    if is_chunked or fault in (ServerFault.BAD_CHUNK, ServerFault.TRAILERS):
        return ["Transfer-Encoding: chunked"], chunks
    return [f"Content-Length: {len(body)}"], body


def _chunks(body: bytes, count: int, fault: ServerFault) -> bytes:
    size = max(1, -(-len(body) // count))
    parts = [body[at : at + size] for at in range(0, len(body), size)]
    raw = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)
    if fault is ServerFault.BAD_CHUNK:
        return raw + b"zz\r\nbroken\r\n0\r\n\r\n"
    if fault is ServerFault.TRAILERS:
        return raw + b"0\r\nX-Server-Seal: trailer\r\nX-Request-Id: other\r\n\r\n"
    return raw + b"0\r\n\r\n"
