"""Simulated concurrent operators as the platform's pages describe them.

They lose responses, retry at any core, follow redirects and race each other.
"""

from dataclasses import dataclass, field
from datetime import timedelta
from random import Random

import msgspec

from harness.experiments.order_history import OK, REFUSED, AreaChange, Order, OrderHistory, Read, kind_of, marks_of
from sumachook.calls.run_status import CallFailure
from sumachook.host.effects import Fetch
from sumachook.host.events import CallFailed, ResponseReceived, Tick

REQUEST_TIMEOUT = timedelta(seconds=1)
CALL_TIMEOUT = timedelta(seconds=4)
RETRY_PAUSE, MAX_RETRY_PAUSE = timedelta(seconds=0.1), timedelta(seconds=0.8)
MAX_REDIRECTS = 2
RESPONSE_LOSS_CHANCE = 0.5
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
    subject: Order | AreaChange | None
    started_at: timedelta
    give_up_at: timedelta
    next_at: timedelta
    pause: timedelta = RETRY_PAUSE
    redirects: int = 0
    http_address: str = ""
    call_id: int | None = None
    sent_at: timedelta = timedelta(0)


@dataclass(slots=True)
class Operator:
    """The state of one operator, which has at most one call in flight."""

    number: int
    version: int
    configuration: dict | None = None
    call: Call | None = None
    idle_until: timedelta = timedelta(0)
    unclear_order: Order | None = None


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
    calls_in_flight: dict = field(default_factory=dict)
    count: int = 0
    is_on: bool = True
    evacuations: bool = True

    def __post_init__(self):
        self.operators = [Operator(number, self.history.first_version) for number in range(OPERATORS)]

    def take(self, event, now) -> list:
        if isinstance(event, Tick):
            return self._tick(now)
        if isinstance(event, ResponseReceived | CallFailed):
            return self._on_response(event, now)
        return []

    # sending ----------------------------------------------------------------------

    def _tick(self, now):
        effects = []
        for operator in self.operators:
            if operator.call is None and self.is_on and now >= operator.idle_until:
                operator.call = self._choose(operator, now)
            call = operator.call
            if call is not None and call.call_id is None and now >= call.next_at:
                effects += self._send(operator, call, now)
        return effects

    def _send(self, operator, call, now):
        if now > call.give_up_at:
            self._end(operator, now)
            return []
        call.http_address = self.random.choice(self.http_addresses())
        call.redirects = 0
        return self._fetch(operator, call, call.http_address, now)

    def _fetch(self, operator, call, http_address, now):
        self.count += 1
        call.call_id, call.sent_at, call.http_address = self.count, now, http_address
        self.calls_in_flight[call.call_id] = (operator, call)
        self.on_sent(http_address)
        document = call.document
        if document is not None and self.random.random() < 0.5:
            document = reordered(document)
        body = b"" if document is None else msgspec.json.encode(document)
        method = "GET" if document is None else "POST"
        url = f"http://{http_address}{call.path}"
        return [Fetch(call.call_id, method, url, {}, body, REQUEST_TIMEOUT, REQUEST_TIMEOUT, "whole")]

    # choosing ---------------------------------------------------------------------

    def _choose(self, operator, now):
        chance = self.random.random()
        if self.evacuations and operator.number < len(ZONES) and chance < 0.5:
            return self._change_area(ZONES[operator.number], now)
        if operator.configuration is None or chance > 0.75:
            return Call("/show/catalogue", None, None, now, now + CALL_TIMEOUT, now)
        return self._change_configuration(operator, now)

    def _change_area(self, zone, now):
        before = self.history.last_area_change(zone)
        change = AreaChange(zone, not (before and before.is_evacuation), now)
        self.history.area_changes.append(change)
        path = "/operator/evacuate" if change.is_evacuation else "/operator/restore"
        return Call(path, {"area": zone}, change, now, now + CALL_TIMEOUT, now)

    def _change_configuration(self, operator, now):
        mark = f"mark-{len(self.history.orders)}"
        base = operator.version
        if operator.unclear_order is not None and self.random.random() < 0.3:
            base = operator.unclear_order.version  # base on a change that may have been applied: its response was lost
        version = base + self.random.choice((1, 2, 2, 3))
        is_valid = self.random.random() < 0.9
        added = route(mark, 5000 if is_valid else 0)
        if base == operator.version and self.random.random() < 0.3:
            current = operator.configuration
            document = {
                "ifVersion": base,
                "doc": {**current, "version": version, "httpRoutes": [*current["httpRoutes"], added]},
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
        return Call("/operator/configure", document, order, now, now + CALL_TIMEOUT * 3, now)

    # responses ----------------------------------------------------------------------

    def _on_response(self, event, now):
        operator, call = self.calls_in_flight.pop(event.call_id)
        call.call_id = None
        status, headers, body = 0, {}, b""
        match event:
            case ResponseReceived():
                status, headers, body = event.status, event.headers, event.body
            case CallFailed(failure=CallFailure.TIMEOUT):
                self.on_answer(call.http_address, call, 0)
        if status == 307 and call.redirects < MAX_REDIRECTS:
            call.redirects += 1
            return self._fetch(operator, call, headers["location"].removeprefix("http://").partition("/")[0], now)
        if status:
            self.on_answer(call.http_address, call, status)
        is_lost = bool(status) and self.random.random() < RESPONSE_LOSS_CHANCE
        self._record(operator, call, status, body, is_lost, now)
        is_final = not is_lost and kind_of(status) in (OK, REFUSED)
        if is_final:
            self._end(operator, now)
        else:
            call.next_at = now + call.pause
            call.pause = min(call.pause * 2, MAX_RETRY_PAUSE)
        return []

    def _record(self, operator, call, status, body, is_lost, now):
        subject = call.subject
        if isinstance(subject, Order):
            if status:
                self.history.record_answer(subject, now, status, not is_lost)
            operator.unclear_order = None if status and not is_lost else subject
            if status == 200 and not is_lost:
                operator.version, operator.configuration = subject.version, None
        elif isinstance(subject, AreaChange):
            if status == 200 and subject.acknowledged_at is None:
                subject.acknowledged_at = now
        elif status == 200 and not is_lost:
            configuration = msgspec.json.decode(body)["catalogue"]
            operator.version, operator.configuration = configuration["version"], configuration
            self.history.reads.append(Read(call.sent_at, now, configuration["version"], marks_of(configuration)))

    def _end(self, operator, now):
        operator.call = None
        operator.idle_until = now + timedelta(seconds=self.random.uniform(0, 0.15))
        if self.random.random() < 0.5:
            operator.configuration = None  # read the configuration again before the next change
