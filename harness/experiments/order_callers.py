"""Simulated concurrent operators as the platform's pages describe them.

They lose responses, retry at any core, follow redirects and race each other.
"""

from dataclasses import dataclass, field
from datetime import timedelta
from random import Random

import msgspec

from harness.experiments.order_history import OK, REFUSED, Order, OrderHistory, Read, Turn, kind_of, marks_of
from sumachook.calls.run_status import CallFailure
from sumachook.host.effects import Fetch
from sumachook.host.events import CallFailed, ResponseReceived, Tick

SILENCE = timedelta(seconds=1)
ACKNOWLEDGE = timedelta(seconds=4)
PAUSE, LONGEST_PAUSE = timedelta(seconds=0.1), timedelta(seconds=0.8)
MOST_REDIRECTS = 2
LOST_ANSWERS = 0.5
OPERATORS = 8
ZONES = ("hall-a", "hall-b")


def route(mark: str, timeout: float = 5000) -> dict:
    return {
        "name": mark,
        "host": "h.example",
        "prefix": f"/{mark}/",
        "kind": "repeatable",
        "timeoutMs": timeout,
        "split": [{"service": "huvo11a", "weight": 1}],
    }


def reordered(value):
    """Returns the document with the members of every object in reverse order."""
    if isinstance(value, dict):
        return {name: reordered(item) for name, item in reversed(value.items())}
    return [reordered(item) for item in value] if isinstance(value, list) else value


@dataclass(slots=True, eq=False)
class Call:
    """One request of an operator over all its attempts."""

    path: str
    document: dict | None
    subject: Order | Turn | None
    started_at: timedelta
    give_up_at: timedelta
    next_at: timedelta
    pause: timedelta = PAUSE
    redirects: int = 0
    http_address: str = ""
    tid: int | None = None
    sent_at: timedelta = timedelta(0)


@dataclass(slots=True)
class Operator:
    """The state of one operator, which has at most one call in flight."""

    number: int
    version: int
    configuration: dict | None = None
    call: Call | None = None
    idle_until: timedelta = timedelta(0)
    was_unclear: Order | None = None


@dataclass(slots=True)
class Operators:
    """The state machine of eight operators and their calls in the in-memory fleet.

    `http_addresses` returns the control addresses to choose from; `on_sent` is called for each request sent and
    `on_answer` for each response or timeout (status 0).
    """

    history: OrderHistory
    random: Random
    http_addresses: object
    on_sent: object
    on_answer: object
    operators: list = field(default_factory=list)
    under_way: dict = field(default_factory=dict)
    count: int = 0
    is_on: bool = True
    evacuations: bool = True

    def __post_init__(self):
        self.operators = [Operator(number, self.history.first_version) for number in range(OPERATORS)]

    def take(self, event, now) -> list:
        if isinstance(event, Tick):
            return self._tick(now)
        if isinstance(event, ResponseReceived | CallFailed):
            return self._answered(event, now)
        return []

    # sending ----------------------------------------------------------------------

    def _tick(self, now):
        out = []
        for operator in self.operators:
            if operator.call is None and self.is_on and now >= operator.idle_until:
                operator.call = self._choose(operator, now)
            call = operator.call
            if call is not None and call.tid is None and now >= call.next_at:
                out += self._send(operator, call, now)
        return out

    def _send(self, operator, call, now):
        if now > call.give_up_at:
            self._end(operator, now)
            return []
        call.http_address = self.random.choice(self.http_addresses())
        call.redirects = 0
        return self._fetch(operator, call, call.http_address, now)

    def _fetch(self, operator, call, http_address, now):
        self.count += 1
        call.tid, call.sent_at, call.http_address = self.count, now, http_address
        self.under_way[call.tid] = (operator, call)
        self.on_sent(http_address)
        document = call.document
        if document is not None and self.random.random() < 0.5:
            document = reordered(document)
        body = b"" if document is None else msgspec.json.encode(document)
        method = "GET" if document is None else "POST"
        url = f"http://{http_address}{call.path}"
        return [Fetch(call.tid, method, url, {}, body, SILENCE, SILENCE, "whole")]

    # choosing ---------------------------------------------------------------------

    def _choose(self, operator, now):
        chance = self.random.random()
        if self.evacuations and operator.number < len(ZONES) and chance < 0.5:
            return self._turn(ZONES[operator.number], now)
        if operator.configuration is None or chance > 0.75:
            return Call("/show/catalogue", None, None, now, now + ACKNOWLEDGE, now)
        return self._change(operator, now)

    def _turn(self, zone, now):
        before = self.history.last_turn(zone)
        turn = Turn(zone, not (before and before.is_left), now)
        self.history.turns.append(turn)
        path = "/operator/evacuate" if turn.is_left else "/operator/restore"
        return Call(path, {"area": zone}, turn, now, now + ACKNOWLEDGE, now)

    def _change(self, operator, now):
        mark = f"mark-{len(self.history.orders)}"
        base = operator.version
        if operator.was_unclear is not None and self.random.random() < 0.3:
            base = operator.was_unclear.version  # base on a change that may have been applied: its response was lost
        version = base + self.random.choice((1, 2, 2, 3))
        is_valid = self.random.random() < 0.9
        added = route(mark, 5000 if is_valid else 0)
        if base == operator.version and self.random.random() < 0.3:
            standing = operator.configuration
            document = {
                "ifVersion": base,
                "doc": {**standing, "version": version, "httpRoutes": [*standing["httpRoutes"], added]},
            }
        else:
            document = {
                "ifVersion": base,
                "part": True,
                "doc": {"version": version, "httpRoutes": [added]},
                "removals": {"httpRoutes": ["never"]},
            }
        document["request"] = mark
        order = Order(mark, base, version, document, is_valid)
        self.history.orders.append(order)
        return Call("/operator/configure", document, order, now, now + ACKNOWLEDGE * 3, now)

    # responses ----------------------------------------------------------------------

    def _answered(self, event, now):
        operator, call = self.under_way.pop(event.call_id)
        call.tid = None
        status, headers, body = 0, {}, b""
        match event:
            case ResponseReceived():
                status, headers, body = event.status, event.headers, event.body
            case CallFailed(failure=CallFailure.TIMEOUT):
                self.on_answer(call.http_address, call, 0)
        if status == 307 and call.redirects < MOST_REDIRECTS:
            call.redirects += 1
            return self._fetch(operator, call, headers["location"].removeprefix("http://").partition("/")[0], now)
        if status:
            self.on_answer(call.http_address, call, status)
        is_lost = bool(status) and self.random.random() < LOST_ANSWERS
        self._note(operator, call, status, body, is_lost, now)
        is_clear = not is_lost and kind_of(status) in (OK, REFUSED)
        if is_clear:
            self._end(operator, now)
        else:
            call.next_at = now + call.pause
            call.pause = min(call.pause * 2, LONGEST_PAUSE)
        return []

    def _note(self, operator, call, status, body, is_lost, now):
        subject = call.subject
        if isinstance(subject, Order):
            if status:
                self.history.note_answer(subject, now, status, not is_lost)
            operator.was_unclear = None if status and not is_lost else subject
            if status == 200 and not is_lost:
                operator.version, operator.configuration = subject.version, None
        elif isinstance(subject, Turn):
            if status == 200 and subject.taken_at is None:
                subject.taken_at = now
        elif status == 200 and not is_lost:
            configuration = msgspec.json.decode(body)["catalogue"]
            operator.version, operator.configuration = configuration["version"], configuration
            self.history.reads.append(Read(call.sent_at, now, configuration["version"], marks_of(configuration)))

    def _end(self, operator, now):
        operator.call = None
        operator.idle_until = now + timedelta(seconds=self.random.uniform(0, 0.15))
        if self.random.random() < 0.5:
            operator.configuration = None  # read the configuration again before the next change
