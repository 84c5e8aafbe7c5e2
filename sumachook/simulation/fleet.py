"""The in-memory fleet: runs every simulated process under one seeded virtual clock."""

from collections.abc import Callable
from datetime import UTC, datetime, timedelta
from heapq import heappop, heappush
from random import Random
from typing import Any
from zlib import crc32

import msgspec
from assel import Parser

from sumachook.calls.run_status import CallFailure
from sumachook.host import effects, events
from sumachook.host.events import Event
from sumachook.nodes.component_guard import FAILURE_TEXTS
from sumachook.simulation.disk import Disk
from sumachook.simulation.reachability import OBSERVE_EVERY, Reachability
from sumachook.transport.codec import Codec, read_frame
from sumachook.transport.errors import UnreadableFrameError

TICK = timedelta(seconds=0.05)
DEFAULT_START_TIME = datetime(2026, 3, 2, 6, 0, tzinfo=UTC)
MAX_BUFFERED_EVENTS = 2000
Link = tuple[str, str]  # names of the sending and the receiving box
MAX_HOLD_TIME = timedelta(seconds=1.5)  # then the sender has closed the connection and held messages are lost
DISK_RETRY_DELAY = timedelta(seconds=0.25)  # between attempts of a process to read and repair a disk that refuses it


class ComponentFailedError(Exception):
    """Raised when a component of a simulated node raises an exception and `Fleet.tolerates_failures` is false."""


class BoxClock:
    """The monotonic clock and the wall clock of one machine; the wall clock may jump by `jump`."""

    __slots__ = ("fleet", "jump")

    def __init__(self, fleet: "Fleet") -> None:
        self.fleet, self.jump = fleet, timedelta(0)

    def mono(self) -> timedelta:
        """Returns the virtual time since the start of the simulation."""
        return self.fleet.now

    def wall(self) -> datetime:
        """Returns the wall-clock time of this machine, including its jumps."""
        return self.fleet.start_time + self.fleet.now + self.jump


class Box:
    """A simulated machine that runs at most one process, with its disk, clock and addresses."""

    __slots__ = (
        "name",
        "make",
        "machine",
        "address",
        "http_address",
        "zone",
        "disk",
        "clock",
        "incarnation",
        "is_frozen",
        "buffer",
        "restart_epochs",
        "codec",
        "is_gone",
        "role",
        "wake",
        "extra_tick_delay",
        "records",
    )

    machine: Any  # the state machine of the running process, or None
    codec: Codec | None
    records: dict[str, Any]
    buffer: list[Event]

    def __init__(
        self,
        name: str,
        role: str,
        make: Callable[["Box"], Any],
        zone: str,
        address: str,
        http_address: str,
        clock: "BoxClock",
        seed: int,
    ) -> None:
        self.name, self.role, self.make, self.zone, self.address, self.http_address = (
            name,
            role,
            make,
            zone,
            address,
            http_address,
        )
        self.machine, self.disk, self.clock, self.incarnation, self.is_frozen = (
            None,
            Disk(crc32(name.encode(), seed)),
            clock,
            0,
            False,
        )
        self.records = {}  # what the process read from the disk at its start
        self.buffer, self.restart_epochs, self.codec, self.is_gone, self.extra_tick_delay = (
            [],
            0,
            None,
            False,
            timedelta(0),
        )


class HeldMessage(msgspec.Struct, frozen=True):
    """A message that a cut link holds until it heals, as TCP does for a connection that stays open."""

    sent_at: timedelta
    receiver: Box
    receiver_incarnation: int
    deliver: Callable[..., Any]
    arguments: tuple[Any, ...]

    def is_deliverable(self, now: timedelta) -> bool:
        """Returns whether the connection is still open: the receiver has not restarted, the sender has not given up."""
        return self.receiver.incarnation == self.receiver_incarnation and now - self.sent_at <= MAX_HOLD_TIME


class Exchange:
    """One HTTP request between two boxes, with the incarnations of client and server at its start."""

    __slots__ = (
        "server_call_id",
        "client",
        "client_incarnation",
        "client_call_id",
        "server",
        "server_incarnation",
        "mode",
        "parser",
        "is_open",
        "is_broken",
    )

    def __init__(self, server_call_id: Any, client: Box, client_call_id: Any, server: Any, mode: str) -> None:
        self.server_call_id, self.client, self.client_incarnation, self.client_call_id, self.server = (
            server_call_id,
            client,
            client.incarnation,
            client_call_id,
            server,
        )
        self.server_incarnation, self.mode, self.parser, self.is_open, self.is_broken = (
            server.incarnation,
            mode,
            Parser(),
            True,
            False,
        )


class Fleet:
    """Runs boxes in virtual time; the same seed gives the same run (docs/design/simulation.md).

    `run(seconds)` advances the time. `kill`, `start`, `freeze`, `wake`, `cut`, `heal`, `vanish` and the disks of the
    boxes inject faults.
    """

    __slots__ = (
        "now",
        "random",
        "heap",
        "count",
        "boxes",
        "by_address",
        "by_http_address",
        "cuts",
        "loss",
        "latest",
        "exchanges",
        "exchange_ids",
        "logs",
        "cluster",
        "latency",
        "seed",
        "attempts",
        "arrivals",
        "deaths",
        "reachability",
        "start_time",
        "holding",
        "held",
        "slow_links",
        "tolerates_failures",
    )

    heap: list[tuple[timedelta, int, Callable[..., object], tuple[Any, ...]]]
    boxes: dict[str, Box]
    by_address: dict[str, Box]
    by_http_address: dict[str, Box]
    cuts: set[Link]
    latest: dict[Link, timedelta]
    exchanges: dict[Any, Exchange]
    exchange_ids: dict[Any, int]
    logs: list[tuple[Any, ...]]
    attempts: list[tuple[timedelta, bool, str]]
    arrivals: dict[str, list[tuple[timedelta, str]]]
    deaths: list[tuple[str, timedelta]]
    holding: set[Link]
    held: dict[Link, list[HeldMessage]]
    slow_links: dict[Link, timedelta]

    def __init__(self, seed: int, cluster: str = "fleet") -> None:
        self.seed = seed
        self.now, self.random, self.heap, self.count, self.cluster = timedelta(0), Random(seed), [], 0, cluster
        self.boxes, self.by_address, self.by_http_address, self.cuts, self.loss = {}, {}, {}, set(), 0.0
        self.latest, self.exchanges, self.exchange_ids, self.logs = {}, {}, {}, []
        self.latency, self.attempts, self.arrivals, self.deaths = (0.0005, 0.003), [], {}, []
        self.reachability, self.start_time = Reachability(self.now), DEFAULT_START_TIME
        self.holding, self.held = set(), {}  # cut links that hold what is sent, and the messages held
        self.slow_links = {}  # added latency of each slow link
        self.tolerates_failures = False  # whether an exception in a component of a node does not end the run
        self._later(OBSERVE_EVERY, self._observe)

    # setup ----------------------------------------------------------------------

    def add(
        self,
        name: str,
        role: str,
        make: Callable[[Box], Any],
        zone: str = "",
        address: str = "",
        http_address: str = "",
        start: bool = True,
    ) -> Box:
        """Adds a box and starts its process, unless `start` is false.

        `make(box)` creates the state machine at each start.
        """
        box = self.boxes[name] = Box(name, role, make, zone, address, http_address, BoxClock(self), self.seed)
        self.by_address[address] = self.by_http_address[http_address] = box
        if start:
            self.start(name)
        return box

    def start(self, name: str) -> None:
        """Starts a new process on the box."""
        box = self.boxes[name]
        box.incarnation += 1
        box.restart_epochs += 1
        box.is_frozen, box.is_gone, box.buffer = False, False, []
        self._load(box, box.incarnation)

    def _load(self, box: Box, incarnation: int) -> None:
        """Opens the data folder, retrying while the disk refuses, then creates the process's state machine."""
        if box.incarnation != incarnation:
            return
        try:
            opened = box.disk.open(self.now)
        except OSError:
            self._later(DISK_RETRY_DELAY, self._load, box, incarnation)
            return
        for damage in opened.damages:
            self.logs.append(
                (self.now, box.name, "error", "storage", "A damaged file was set aside.", {"file": damage.name})
            )
        box.records = opened.records
        box.machine = box.make(box)
        name = box.name
        node = getattr(box.machine, "node", name)
        box.codec = Codec(self.cluster, node, box.address, box.restart_epochs)
        self.by_address[box.address] = self.by_http_address[box.http_address] = box
        self._later(TICK * self.random.random(), self._tick, box, box.incarnation)

    def kill(self, name: str, writes_kept: int | None = None) -> None:
        """Ends the process at once; with a probability of one half its disk also loses what was not synced.

        With `writes_kept`, exactly that many of the oldest unfinished writes are kept.
        """
        box = self.boxes[name]
        if not self._end(box):
            return
        if writes_kept is not None or box.disk.random.random() < 0.5:
            box.disk.lose_power(writes_kept)
        else:
            box.disk.end_process()

    def lose_power(self, name: str, writes_kept: int | None = None) -> None:
        """Cuts the power: ends the process and also loses unsynced data and messages that its links held."""
        box = self.boxes[name]
        if not self._end(box):
            return
        box.disk.lose_power(writes_kept)
        for link in [link for link in self.held if link[0] == name]:
            del self.held[link]

    def _end(self, box: Box) -> bool:
        """Ends the process, if one runs, and returns whether one did.

        A process that still waits for its disk will not start.
        """
        was_running = box.machine is not None
        box.machine, box.incarnation = None, box.incarnation + 1
        if was_running:
            self.deaths.append((box.name, self.now))
            self._break_exchanges(box)
        return was_running

    def vanish(self, name: str) -> None:
        """Removes the machine from the network: connections to it time out instead of being refused."""
        self.lose_power(name)
        self.boxes[name].is_gone = True

    def stop(self, name: str) -> None:
        """Sends the process a stop request, as the platform does shortly before it ends a machine."""
        self._deliver(self.boxes[name], events.StopRequested())

    def freeze(self, name: str) -> None:
        """Suspends the process; events for it are buffered, at most 2000."""
        self.boxes[name].is_frozen = True

    def wake(self, name: str) -> None:
        """Resumes a frozen process; the buffered events are delivered before its next tick."""
        box = self.boxes[name]
        box.is_frozen, buffer, box.buffer = False, box.buffer, []
        for message in buffer:
            self._deliver(box, message)

    def cut(self, first: Any, second: Any, one_way: bool = False, holds: bool = False) -> Any:
        """Cuts the links from the boxes of `first` to those of `second`, and returns the cut links.

        Unless `one_way`, the reverse links are cut too. With `holds`, messages sent on open connections arrive late
        and in order when the link heals, if they are not older than MAX_HOLD_TIME by then and the receiver still runs;
        datagrams are lost. Without `holds`, everything sent is lost.
        """
        links = {(one, other) for one in first for other in second if one != other}
        if not one_way:
            links |= {(other, one) for one, other in links}
        self.cuts |= links
        if holds:
            self.holding |= links
        else:
            self.holding -= links
        return links

    def heal(self, links: Any = None) -> None:
        """Restores the given cut links, or all; held messages are delivered first."""
        healed = set(self.cuts if links is None else links)
        self.cuts -= healed
        self.holding -= healed
        for link in sorted(healed & self.held.keys()):
            self._later(timedelta(0), self._release, link)

    # time -----------------------------------------------------------------------------

    def _later(self, delay: timedelta, call: Any, *arguments: Any) -> None:
        self.count += 1
        heappush(self.heap, (self.now + delay, self.count, call, arguments))

    def run(self, seconds: float) -> None:
        """Advances virtual time by `seconds`."""
        self.run_until(lambda: False, seconds)

    def run_until(self, is_reached: Callable[[], bool], seconds: float) -> bool:
        """Runs until the condition holds or `seconds` of virtual time pass; returns whether the condition holds."""
        end = self.now + timedelta(seconds=seconds)
        check_at = self.now
        while self.heap and self.heap[0][0] <= end:
            if self.heap[0][0] >= check_at:
                if is_reached():
                    return True
                check_at = self.heap[0][0] + TICK
            self.now, _, call, arguments = heappop(self.heap)
            call(*arguments)
        self.now = end
        return is_reached()

    def _observe(self) -> None:
        self.reachability.observe(self.boxes, self.cuts, self.now)
        self._later(OBSERVE_EVERY, self._observe)

    def _tick(self, box: Box, incarnation: int) -> None:
        if box.incarnation != incarnation or box.machine is None:
            return
        if not box.is_frozen:
            if (change := box.disk.queue.state_change(self.now)) is not None:
                self._deliver(box, change)
            self._deliver(box, events.Tick())
        self._later(TICK + box.extra_tick_delay, self._tick, box, incarnation)

    def _deliver(self, box: Box, message: Any) -> None:
        if box.machine is None:
            return
        if box.is_frozen:
            if len(box.buffer) < MAX_BUFFERED_EVENTS:
                box.buffer.append(message)
            return
        incarnation = box.incarnation
        for effect in box.machine.take(message, self.now):
            if box.incarnation == incarnation:
                self._execute(box, effect)

    def _can_reach(self, box: Box, other: Box) -> bool:
        return (box.name, other.name) not in self.cuts and not other.is_gone

    def _send(self, box: Box, other: Box, call: Any, *arguments: Any) -> None:
        """Delivers a message after the link's latency, in order between two boxes; a cut link loses or holds it."""
        self._schedule_delivery(box, other, True, call, arguments)

    def _send_datagram(self, box: Box, other: Box, call: Any, *arguments: Any) -> None:
        """Delivers a datagram as `_send` does a message, except that a cut link never holds it."""
        self._schedule_delivery(box, other, False, call, arguments)

    def _schedule_delivery(self, box: Box, other: Box, is_connected: bool, call: Any, arguments: Any) -> None:
        at = self.now + timedelta(seconds=self.random.uniform(*self.latency))
        key = (box.name, other.name)
        at += self.slow_links.get(key, timedelta(0))
        at = self.latest[key] = max(at, self.latest.get(key, at))
        self._later(at - self.now, self._arrive, key, other, is_connected, call, arguments)

    def _arrive(self, key: Link, other: Box, is_connected: bool, call: Any, arguments: Any) -> None:
        exchange = arguments[0] if isinstance(arguments[0], Exchange) else None
        is_held = is_connected and not other.is_gone and (key in self.holding if key in self.cuts else key in self.held)
        if is_held:
            self.held.setdefault(key, []).append(HeldMessage(self.now, other, other.incarnation, call, arguments))
        elif key in self.cuts or other.is_gone:
            if exchange is not None:
                exchange.is_broken = True  # a connection that lost data delivers nothing more
        elif exchange is None or not exchange.is_broken:
            call(*arguments)

    def _release(self, link: Any) -> None:
        """Delivers the messages that a healed link held, except those whose connection has been closed."""
        if link in self.cuts:
            return  # the link was cut again before its messages were delivered
        for message in self.held.pop(link, ()):
            exchange = message.arguments[0] if isinstance(message.arguments[0], Exchange) else None
            if not message.is_deliverable(self.now):
                if exchange is not None:
                    exchange.is_broken = True
            elif exchange is None or not exchange.is_broken:
                message.deliver(*message.arguments)

    # effects --------------------------------------------------------------------------

    def _execute(self, box: Box, effect: Any) -> None:
        match effect:
            case effects.Send(address, message):
                self._send_message(box, address, message, False)
            case effects.SendDatagram(address, message):
                self._send_message(box, address, message, True)
            case effects.AppendRecords() | effects.RewriteRecords() | effects.AppendDayLog():
                self._queue_write(box, effect)
            case effects.Fetch():
                self._fetch(box, effect)
            case effects.CancelCall(call_id):
                self._cancel_call(box, call_id)
            case (
                effects.Reply()
                | effects.BeginResponse()
                | effects.SendChunk()
                | effects.EndResponse()
                | effects.AbortResponse()
            ):
                self._send_response(box, effect)
            case effects.Log(level, component, text, fields):
                self.logs.append((self.now, box.name, level, component, text, fields))
                if text in FAILURE_TEXTS and not self.tolerates_failures:
                    raise ComponentFailedError(f"{box.name} at {self.now}: {fields}")
            case effects.Exit():
                self.kill(box.name)

    def _send_message(self, box: Box, address: str, message: Any, is_datagram: bool) -> None:
        other = self.by_address.get(address)
        if other is None or (is_datagram and self.random.random() < self.loss):
            return
        assert box.codec is not None, "a running process has a codec"
        raw = box.codec.pack(message)
        send = self._send_datagram if is_datagram else self._send
        send(box, other, self._receive_message, other, raw)

    def _receive_message(self, other: Box, raw: bytes) -> None:
        try:
            frame = read_frame(self.cluster, raw)
        except UnreadableFrameError:
            self._deliver(other, events.UnreadableMessageReceived())
            return
        self._deliver(other, events.MessageReceived(frame.sender, frame.address, frame.message))

    def _queue_write(self, box: Box, effect: Any) -> None:
        is_idle = box.disk.queue.is_empty
        box.disk.begin(effect, self.now)
        if is_idle:
            self._later(timedelta(0), self._begin_sync, box, box.incarnation)

    def _begin_sync(self, box: Box, incarnation: int) -> None:
        """Starts one sync for all waiting writes of a file; writes that arrive during it wait for the next sync."""
        if box.incarnation != incarnation or box.disk.queue.begin_step(self.now) is None:
            return
        delay = max(
            box.disk.delay,
            box.disk.stalled_until - self.now,
            DISK_RETRY_DELAY if box.disk.queue.error else box.disk.delay,
        )
        self._later(delay, self._synced, box, box.incarnation)

    def _synced(self, box: Box, incarnation: int) -> None:
        if box.incarnation != incarnation:
            return
        followups = box.disk.finish(self.now) if self.now >= box.disk.stalled_until else None
        self._begin_sync(box, incarnation)
        if followups is None and (change := box.disk.queue.state_change(self.now)) is not None:
            self._deliver(box, change)
        for followup in followups or ():
            if box.incarnation == incarnation:
                self._deliver(box, followup)

    # HTTP ---------------------------------------------------------------------------------

    def _fetch(self, box: Box, effect: Any) -> None:
        client_call_id, method = effect.call_id, effect.method
        address, _, path = effect.url.removeprefix("http://").partition("/")
        server = self.by_http_address.get(address)
        self.count += 1
        server_call_id = self.count
        if box.role == "edge" and (client_call_id[0] == "lookup" or method == "POST"):  # a resumed stream is no retry
            self.attempts.append((self.now, client_call_id[2] > 1, client_call_id[0]))
        if server is None or not self._can_reach(box, server) or not self._can_reach(server, box):
            failed = events.CallFailed(client_call_id, CallFailure.CONNECT_TIMEOUT)
            self._later(effect.connect_timeout, self._notify_client, box, box.incarnation, failed)
            return
        if server.machine is None:
            failed = events.CallFailed(client_call_id, CallFailure.REFUSED)
            self._later(timedelta(seconds=0.002), self._notify_client, box, box.incarnation, failed)
            return
        exchange = self.exchanges[server_call_id] = Exchange(server_call_id, box, client_call_id, server, effect.mode)
        self.exchange_ids[(box.name, box.incarnation, client_call_id)] = server_call_id
        headers = {name.lower(): value for name, value in effect.headers.items()}
        request = events.HttpRequestReceived(server_call_id, method, "/" + path, headers, effect.body)
        self._later(timedelta(seconds=0.001), self._connected, exchange, request)
        self._later(effect.total_timeout, self._expire, exchange)

    def _connected(self, exchange: Exchange, request: Any) -> None:
        if not exchange.is_open:
            return
        if exchange.server.incarnation != exchange.server_incarnation:
            self._end_exchange(exchange, events.CallFailed(exchange.client_call_id, CallFailure.REFUSED))
            return
        self._notify_client(exchange.client, exchange.client_incarnation, events.RequestSent(exchange.client_call_id))
        self._send(exchange.client, exchange.server, self._deliver_if_same_process, exchange, request)

    def _deliver_if_same_process(self, exchange: Exchange, event: Event) -> None:
        if exchange.server.incarnation == exchange.server_incarnation:
            is_request = isinstance(event, events.HttpRequestReceived)
            if is_request and exchange.client.role == "edge":  # on arrival, also if frozen
                self.arrivals.setdefault(exchange.server.name, []).append((self.now, exchange.client.name))
            self._deliver(exchange.server, event)

    def _expire(self, exchange: Exchange) -> None:
        if exchange.is_open:
            self._finish(exchange)
            self._deliver_if_same_process(exchange, events.ClientDisconnected(exchange.server_call_id))
            failed = events.CallFailed(exchange.client_call_id, CallFailure.TIMEOUT)
            self._notify_client(exchange.client, exchange.client_incarnation, failed)

    def _finish(self, exchange: Exchange) -> None:
        exchange.is_open = False
        self.exchanges.pop(exchange.server_call_id, None)
        self.exchange_ids.pop((exchange.client.name, exchange.client_incarnation, exchange.client_call_id), None)

    def _cancel_call(self, box: Box, client_call_id: Any) -> None:
        exchange = self.exchanges.get(self.exchange_ids.get((box.name, box.incarnation, client_call_id)))
        if exchange is not None:
            self._finish(exchange)
            self._send(
                box,
                exchange.server,
                self._deliver_if_same_process,
                exchange,
                events.ClientDisconnected(exchange.server_call_id),
            )

    def _send_response(self, box: Box, effect: Any) -> None:
        exchange = self.exchanges.get(effect.call_id)
        if exchange is not None:
            self._send(box, exchange.client, self._receive_response, exchange, effect)

    def _receive_response(self, exchange: Exchange, effect: Any) -> None:
        if not exchange.is_open:
            return
        client_call_id = exchange.client_call_id
        match effect:
            case effects.Reply(_, status, headers, body):
                self._end_exchange(
                    exchange, events.ResponseReceived(client_call_id, status, _lowercase_names(headers), bytes(body))
                )
            case effects.BeginResponse(_, status, headers):
                head = events.ResponseHeadReceived(client_call_id, status, _lowercase_names(headers))
                self._notify_client(exchange.client, exchange.client_incarnation, head)
            case effects.SendChunk(_, data):
                for event in exchange.parser.receive_bytes(data):
                    received = events.ServerEventReceived(client_call_id, event.id, event.data)
                    self._notify_client(exchange.client, exchange.client_incarnation, received)
            case effects.EndResponse():
                self._end_exchange(exchange, events.ResponseEnded(client_call_id))
            case _:
                self._end_exchange(exchange, events.CallFailed(client_call_id, CallFailure.RESET))

    def _end_exchange(self, exchange: Exchange, event: Event) -> None:
        """Closes the exchange and delivers its final event to the client."""
        self._finish(exchange)
        self._notify_client(exchange.client, exchange.client_incarnation, event)

    def _notify_client(self, box: Box, incarnation: int, event: Event) -> None:
        if box.incarnation == incarnation:
            self._deliver(box, event)

    def _break_exchanges(self, box: Box) -> None:
        for exchange in list(self.exchanges.values()):
            if exchange.server is box:
                self._finish(exchange)
                failed = events.CallFailed(exchange.client_call_id, CallFailure.RESET)
                self._send(
                    box, exchange.client, self._notify_client, exchange.client, exchange.client_incarnation, failed
                )
            elif exchange.client is box:
                self._finish(exchange)
                self._send(
                    box,
                    exchange.server,
                    self._deliver_if_same_process,
                    exchange,
                    events.ClientDisconnected(exchange.server_call_id),
                )


def _lowercase_names(headers: Any) -> dict[str, Any]:
    return {name.lower(): value for name, value in headers.items()}
