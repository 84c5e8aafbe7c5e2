"""A fake client that sends a request, retries it, and checks each response."""

import asyncio
from itertools import count
from random import Random

import aiohttp

from harness.fakes.call_history import Attempt, CallHistory
from harness.fakes.request_kind import RequestKind
from harness.fakes.response_chunks import digest_of, event_count
from harness.fakes.response_reader import ResponseReader
from harness.fakes.server import DEADLINE, REQUEST, SEAL
from harness.fakes.tenants import CREDENTIAL, STANDING_KEYS

NOT_RUN_PROMISES, FINAL_STATUSES = (408, 421, 429, 503), (400, 401, 404, 413, 431)
TRIES, CONNECT, FIRST_PAUSE = 5, 1.0, 0.03
NUMBERS = count(1)


class Client:
    """`ask(kind)` makes one request within its deadline and returns its outcome: in time, late, refused or failed."""

    __slots__ = ("name", "zone", "host", "call_history", "balancer", "random", "session")

    def __init__(self, name: str, zone: str, host: str, call_history: CallHistory, balancer, session):
        self.name, self.zone, self.host, self.call_history, self.balancer, self.session = (
            name,
            zone,
            host,
            call_history,
            balancer,
            session,
        )
        self.random = Random(name)

    async def ask(self, kind: RequestKind):
        """Returns (outcome, seconds to the response or its first event or None, status of the last attempt)."""
        loop = asyncio.get_running_loop()
        begun, until = loop.time(), loop.time() + kind.deadline.total_seconds()
        path, body, headers, total = self._draw_request(kind)
        reading, pause = ResponseReader(kind, digest_of(body), total), FIRST_PAUSE
        for number in range(TRIES):
            is_same = await self._try(kind, path, body, headers, reading, until, number)
            left = until - loop.time()
            if reading.is_whole or not is_same or left <= 0.05:
                break
            await asyncio.sleep(min(max(reading.retry_after, pause * self.random.uniform(0.5, 1.5)), left / 3))
            pause *= 2
        first = None if reading.first_at is None else reading.first_at - begun
        return self._outcome(kind, reading, first), first, reading.status

    def _outcome(self, kind, reading, first):
        if reading.is_whole:
            is_smooth = not kind.gap or reading.longest_gap <= kind.gap.total_seconds()
            return "in time" if is_smooth and first <= kind.aim.total_seconds() else "late"
        return "refused" if reading.status in NOT_RUN_PROMISES else "failed"

    def _draw_request(self, kind):
        number = next(NUMBERS)
        path, headers = f"{kind.prefix}{number % 97}", {}
        body = f'{{"client":"{self.name}","number":{number},"text":"{"x" * self.random.randint(1, 400)}"}}'.encode()
        if not kind.models:
            return path, body, headers, 0
        model = self.random.choices([name for name, _ in kind.models], [share for _, share in kind.models])[0]
        shared, own, tokens_out = (
            self.random.choice((200, 400)),
            self.random.randint(20, 200),
            self.random.randint(12, 60),
        )
        headers["Sumachook-Model"] = model
        headers["Sumachook-Token-Counts"] = f"{shared + own},{tokens_out}"
        headers["Sumachook-Prompt-Prefix"] = f"{shared:x}:{shared},{number:08x}:{own}"
        return path, body, headers, event_count(tokens_out)

    async def _try(self, kind, path, body, headers, reading, until, number) -> bool:
        """Makes one attempt; returns whether another one is allowed if time is left before the deadline."""
        request = f"{self.random.getrandbits(64):016x}"
        asked = self.call_history.attempts[request] = Attempt(kind, path, digest_of(body), credential=STANDING_KEYS[0])
        left = until - asyncio.get_running_loop().time()
        front = self.balancer.choose(self.zone, f"{self.name}/{number}")
        sent = {
            **headers,
            "Host": self.host,
            REQUEST: request,
            DEADLINE: str(int(left * 1000)),
            CREDENTIAL: STANDING_KEYS[0],
            "Accept-Encoding": "identity",
        }
        if reading.events and kind.is_resumable:
            sent["Last-Event-Id"] = str(reading.events)
        else:
            reading.restart()
        timeout = aiohttp.ClientTimeout(total=left, sock_connect=CONNECT)
        was_not_sent, reading.status, reading.retry_after = True, 0, 0.0
        try:
            async with self.session.post(f"http://{front}{path}", data=body, headers=sent, timeout=timeout) as answer:
                was_not_sent, reading.status = False, answer.status
                self._check_head(kind, request, answer)
                if 200 <= answer.status < 300:
                    await self._read(kind, request, answer, reading)
                    return not reading.is_whole and kind.is_resumable and reading.events > 0
                await answer.read()
                asked.is_promised_not_run = answer.status in NOT_RUN_PROMISES
                reading.retry_after = _seconds(answer.headers.get("Retry-After"))
        except aiohttp.ClientConnectorError:
            pass
        except (aiohttp.ClientError, TimeoutError, ConnectionError):
            was_not_sent = False
        if reading.status in FINAL_STATUSES or 200 <= reading.status < 300:
            return kind.is_resumable and reading.events > 0
        return kind.is_repeatable or was_not_sent or asked.is_promised_not_run

    def _check_head(self, kind, request, answer):
        returned_id = answer.headers.get(REQUEST)
        if 200 <= answer.status < 300:
            if SEAL not in answer.headers:
                self._note(kind, request, f"a success response ({answer.status}) without a seal")
            elif not answer.headers[SEAL].endswith("." + request):
                self._note(kind, request, f"the seal of another request, {answer.headers[SEAL]}")
            elif answer.headers[SEAL] not in self.call_history.bodies:
                self._note(kind, request, f"a seal that no server issued, {answer.headers[SEAL]}")
            if returned_id != request:
                self._note(kind, request, f"the id of another request, {returned_id}")
        elif returned_id not in (None, request):
            self._note(kind, request, f"a rejection with the id of another request, {returned_id}")
        if "Content-Encoding" in answer.headers:
            self._note(kind, request, "a body that was re-encoded in transit")

    async def _read(self, kind, request, answer, reading):
        loop = asyncio.get_running_loop()
        if kind.form != "streaming":
            body = await answer.read()
            reading.first_at = loop.time()
            sealed = self.call_history.bodies.get(answer.headers.get(SEAL))
            reading.is_whole = body == sealed
            if sealed not in (None, body):
                self._note(kind, request, f"a body of {len(body)} bytes that differs from the one the server sent")
            return
        read_timeout = max(2.0, 4 * kind.aim.total_seconds(), 8 * kind.gap.total_seconds())
        while line := await asyncio.wait_for(answer.content.readuntil(b"\n\n"), read_timeout):
            if reason := reading.take(line, loop.time()):
                self._note(kind, request, reason)
        reading.is_whole = reading.events == reading.total
        if not reading.is_whole:
            self._note(
                kind, request, f"a stream that ended as complete after {reading.events} of {reading.total} events"
            )

    def _note(self, kind, request, reason):
        self.call_history.noted.append(f"MIXED: {kind.name} {request} got {reason}")


def _seconds(text) -> float:
    try:
        return float(text)
    except (TypeError, ValueError):
        return 0.0
