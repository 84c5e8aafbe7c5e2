"""The oracle of a fuzz run: records requests sent, requests run, and responses, and judges them by the rules."""

from collections import defaultdict
from dataclasses import dataclass, field

from harness.fuzzing.http_text import Response, read_responses
from harness.fuzzing.plan import MAX_ATTEMPTS, PlannedRequest

NOT_RUN_PROMISES = frozenset({408, 421, 429, 503})
OWN_FAILURES = frozenset({429, 502, 503, 504})
REQUEST_ID, SEAL = b"x-request-id", b"x-server-seal"


@dataclass(slots=True)
class Arrival:
    """One request as received by a server, and whether the server ran it."""

    server: str
    method: str
    path: str
    body: bytes
    has_run: bool


@dataclass(slots=True)
class ServedAnswer:
    """One response of a server: as composed, and the bytes that were actually sent."""

    request_id: str
    seal: str
    method: str
    status: int
    body: bytes
    raw: bytes
    fault: str
    sent: bytearray = field(default_factory=bytearray)

    def readable(self) -> Response | None:
        """Returns the complete response in the sent bytes according to the fuzzer's parser, or None."""
        reading = read_responses(bytes(self.sent), [self.method], is_closed=True)
        return reading.responses[0] if reading.responses and reading.responses[0].is_complete else None


@dataclass(slots=True)
class Asked:
    """A request that a client sent, whether it was sent completely, and its start and end times in seconds."""

    request: PlannedRequest
    is_whole: bool = False
    sent_at: float = 0.0
    ended_at: float = 0.0


def stream_event(number: int, owner: str) -> bytes:
    """Returns one event of a stream; `owner` identifies the run if events of several runs must not be combined."""
    return b"id: %d\ndata: %s\n\n" % (number, owner.encode())


class Oracle:
    """Collects the records of clients and servers and judges them, independently of the product's code."""

    def __init__(self) -> None:
        self.asked: dict[str, Asked] = {}
        self.arrivals: dict[str, list[Arrival]] = defaultdict(list)
        self.answers: dict[str, list[ServedAnswer]] = defaultdict(list)
        self.received: dict[str, Response] = {}
        self.violations: list[str] = []
        self.outcomes: dict[str, int] = defaultdict(int)

    def ask(self, request: PlannedRequest) -> Asked:
        """Records that a client is about to send a request."""
        entry = self.asked[request.request_id] = Asked(request)
        return entry

    def receive(self, request: PlannedRequest, response: Response) -> None:
        """Records the response that a client received for a request."""
        self.received[request.request_id] = response

    def note(self, rule: str, what: str) -> None:
        """Records the violation of a rule."""
        self.violations.append(f"{rule}: {what}")

    def judge(self) -> list[str]:
        """Judges all records after the last request has ended, and returns all violations."""
        for request_id, arrivals in self.arrivals.items():
            self._judge_arrivals(request_id, arrivals)
        for request_id, response in self.received.items():
            self._judge_response(self.asked[request_id].request, response)
        return self.violations

    def _judge_arrivals(self, request_id: str, arrivals: list[Arrival]) -> None:
        entry = self.asked.get(request_id)
        if entry is None:
            self.note("UNASKED", f"{request_id!r} reached a server, but no client sent it")
            return
        request = entry.request
        for arrival in arrivals:
            if not entry.is_whole:
                self.note("UNASKED", f"{request_id} reached a server although its client sent only a part of it")
            if (arrival.method, arrival.path, arrival.body) != (request.method, request.path, request.body):
                self.note(
                    "UNASKED",
                    f"{request_id} reached a server as {arrival.method} {arrival.path} with {len(arrival.body)} bytes",
                )
        runs = sum(arrival.has_run for arrival in arrivals)
        if runs > 1 and not request.is_repeatable:
            self.note("TWICE", f"{request_id} ran {runs} times")
        servers = {arrival.server for arrival in arrivals}
        if len(servers) > MAX_ATTEMPTS[request.route]:
            self.note("BUDGET", f"{request_id} was sent to {len(servers)} servers")

    def _judge_response(self, request: PlannedRequest, response: Response) -> None:
        name, ran = request.request_id, any(arrival.has_run for arrival in self.arrivals.get(request.request_id, ()))
        self.outcomes[f"{response.status}{'' if response.is_complete else ' cut'}"] += 1
        if response.status < 200:
            self.note("MIXED", f"{name} got an informational response as the final one, {response.status}")
        if any(value != name.encode() for value in response.values(REQUEST_ID)):
            self.note("MIXED", f"{name} got a response with the request id {response.values(REQUEST_ID)}")
        if response.status in NOT_RUN_PROMISES and ran and not request.is_repeatable:
            self.note("REFUSED", f"{name} got {response.status} although it has run")
        seals = response.values(SEAL)
        if response.status < 300:
            self._judge_success(request, response, seals)
        elif seals:
            self._judge_sealed_failure(request, response, seals)
        elif response.status not in OWN_FAILURES and not self._was_refused_with(request, response.status):
            self.note("DENIED", f"{name} got {response.status} from the edge itself")

    def _was_refused_with(self, request: PlannedRequest, status: int) -> bool:
        """Returns whether a server refused the request with this status, which promises that it was not run."""
        is_promise = status in NOT_RUN_PROMISES
        return is_promise and any(answer.status == status for answer in self.answers.get(request.request_id, ()))

    def _judge_success(self, request: PlannedRequest, response: Response, seals: list[bytes]) -> None:
        name = request.request_id
        if len(seals) != 1:
            self.note("MIXED", f"{name} got {response.status} with the seals {seals}")
            return
        candidates = [body for status, body in self._whole_answers(request, seals[0]) if status == response.status]
        if request.is_stream and request.is_repeatable:
            candidates.append(b"".join(stream_event(number, name) for number in range(1, request.size + 1)))
        if response.is_complete and response.body not in candidates:
            given = [f"{answer.seal} ({answer.fault})" for answer in self.answers.get(name, ())]
            self.note(
                "MIXED",
                f"{name} got a complete {response.status} of {len(response.body)} bytes with the seal {seals[0]!r}; "
                f"servers sent: {given}; it begins {response.body[:40]!r} and ends {response.body[-40:]!r}",
            )
        elif not response.is_complete and not any(
            body.startswith(response.body) for body in self._partial_bodies(request, seals[0], candidates)
        ):
            self.note("ORDER", f"{name} got a partial response that no server sent: {response.body[:80]!r}")

    def _judge_sealed_failure(self, request: PlannedRequest, response: Response, seals: list[bytes]) -> None:
        given = self._whole_answers(request, seals[0])
        if not any(status == response.status for status, _ in given):
            self.note(
                "MIXED",
                f"{request.request_id} got {response.status} with the seal of a response with status "
                f"{[status for status, _ in given]}",
            )
        elif response.is_complete and not any(
            (status, body) == (response.status, response.body) for status, body in given
        ):
            self.note("MIXED", f"{request.request_id} got a sealed {response.status} whose body no server sent")

    def _whole_answers(self, request: PlannedRequest, seal: bytes) -> list[tuple[int, bytes]]:
        """Returns (status, body) of the complete responses to this request that servers sent with this seal."""
        found = []
        for answer in self.answers.get(request.request_id, ()):
            read = answer.readable()
            if read is not None and read.value(SEAL) == seal:
                found.append((read.status, read.body))
        return found

    def _partial_bodies(self, request: PlannedRequest, seal: bytes, candidates: list[bytes]) -> list[bytes]:
        return candidates + [
            answer.body for answer in self.answers.get(request.request_id, ()) if answer.seal.encode() == seal
        ]
