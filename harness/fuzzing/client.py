"""A client that runs one case: sequential, pipelined or partial requests, with fast, slow or aborted reads."""

import asyncio
from random import Random

from harness.fuzzing.http_text import read_responses
from harness.fuzzing.oracle import Oracle
from harness.fuzzing.plan import Case, ClientFault, PlannedRequest
from harness.fuzzing.server import reset, yield_to_loop

READ_SIZE = 65536
SLOW_READ = 700  # bytes per read of a client that reads slowly
WHOLE_CONNECTION = frozenset({ClientFault.NONE, ClientFault.KEPT, ClientFault.HALF_CLOSE})


class FuzzClient:
    """Runs a case against one address and records the requests and responses in the oracle."""

    def __init__(self, case: Case, address: tuple[str, int], oracle: Oracle) -> None:
        self.case, self.address, self.oracle = case, address, oracle
        self.received = bytearray()
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter

    async def play(self) -> None:
        """Runs the case until its connection ends."""
        self.reader, self.writer = await asyncio.open_connection(*self.address)
        try:
            await self._play()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writer.close()
        self._read_back()

    async def _play(self) -> None:
        fault = self.case.fault
        if fault in (ClientFault.PARTIAL_CLOSE, ClientFault.PARTIAL_RESET):
            await self._send_part()
        elif fault in (ClientFault.PIPELINED, ClientFault.PIECES, ClientFault.SLOW_READER):
            await self._send_all_at_once()
        elif fault in (ClientFault.RESET_IN_ANSWER, ClientFault.CLOSE_IN_ANSWER):
            await self._abort_in_response()
        else:
            await self._send_in_turn()

    def _encoded(self, request: PlannedRequest) -> bytes:
        return request.encode(is_last=request is self.case.requests[-1])

    def _record_sent(self, request: PlannedRequest, is_whole: bool = True) -> None:
        entry = self.oracle.ask(request)
        entry.is_whole = is_whole
        entry.sent_at = asyncio.get_running_loop().time()

    async def _send_in_turn(self) -> None:
        for request in self.case.requests:
            before = len(self._responses())
            self._record_sent(request)
            self.writer.write(self._encoded(request))
            if self.case.fault is ClientFault.HALF_CLOSE:
                self.writer.write_eof()
            while len(self._responses()) == before:
                if not await self._read():
                    return
            self._record_end(request)
        await self._read_to_end()

    async def _send_all_at_once(self) -> None:
        raw = b""
        for request in self.case.requests:
            self._record_sent(request)
            raw += self._encoded(request)
        for piece in self._pieces(raw):
            self.writer.write(piece)
            await yield_to_loop(3)
        if self.case.fault is ClientFault.SLOW_READER:
            while await self._read(SLOW_READ):
                await asyncio.sleep(0)
        await self._read_to_end()

    def _pieces(self, raw: bytes) -> list[bytes]:
        if self.case.fault is not ClientFault.PIECES:
            return [raw]
        random = Random(f"pieces/{self.case.number}/{self.case.position}")
        cuts = sorted(random.randrange(len(raw) + 1) for _ in range(self.case.pieces))
        return [raw[begin:end] for begin, end in zip([0, *cuts], [*cuts, len(raw)], strict=True)]

    async def _send_part(self) -> None:
        request = self.case.requests[0]
        raw = self._encoded(request)
        self._record_sent(request, is_whole=False)
        self.writer.write(raw[: int(self.case.position * len(raw))])
        await self.writer.drain()
        await yield_to_loop(self.case.pieces)
        if self.case.fault is ClientFault.PARTIAL_RESET:
            reset(self.writer)

    async def _abort_in_response(self) -> None:
        request = self.case.requests[0]
        self._record_sent(request)
        self.writer.write(self._encoded(request))
        await self.writer.drain()
        read_limit = int(self.case.position * 400)
        while len(self.received) < read_limit and await self._read(max(1, read_limit - len(self.received))):
            pass
        if self.case.fault is ClientFault.RESET_IN_ANSWER:
            reset(self.writer)

    async def _read(self, size: int = READ_SIZE) -> bool:
        raw = await self.reader.read(size)
        self.received += raw
        return bool(raw)

    async def _read_to_end(self) -> None:
        while await self._read():
            pass

    def _responses(self) -> tuple:
        methods = [request.method for request in self.case.requests]
        return tuple(
            each
            for each in read_responses(bytes(self.received), methods, is_closed=False).responses
            if each.is_complete
        )

    def _record_end(self, request: PlannedRequest) -> None:
        self.oracle.asked[request.request_id].ended_at = asyncio.get_running_loop().time()

    def _read_back(self) -> None:
        """Matches the received responses to the requests by their order, the only key on an HTTP/1.1 connection."""
        reading = read_responses(bytes(self.received), [request.method for request in self.case.requests])
        for request, response in zip(self.case.requests, reading.responses, strict=False):
            self.oracle.receive(request, response)
        left_early = self.case.fault in (ClientFault.RESET_IN_ANSWER, ClientFault.CLOSE_IN_ANSWER)
        if (
            reading.rest
            and not left_early
            and self.case.fault not in (ClientFault.PARTIAL_CLOSE, ClientFault.PARTIAL_RESET)
        ):
            self.oracle.note(
                "MIXED", f"case {self.case.number}: surplus bytes after its responses: {reading.rest[:80]!r}"
            )
