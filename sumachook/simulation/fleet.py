"""The in-memory fleet: every machine under one seeded virtual clock."""

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
from sumachook.simulation.disk import Disk
from sumachook.simulation.reachability import OBSERVE_EVERY, Reachability
from sumachook.transport.codec import Codec, read_frame
from sumachook.transport.errors import UnreadableFrameError

TICK = timedelta(seconds=0.05)
START = datetime(2026, 3, 2, 6, 0, tzinfo=UTC)
MOST_BUFFERED = 2000
Link = tuple[str, str]  # names of the sending and the receiving box
HELD_FOR = timedelta(seconds=1.5)  # what a cut held for longer is lost: its sender has given the connection up
START_AGAIN = timedelta(seconds=0.25)  # between two tries of a process whose disk refuses to be read and settled


class BoxClock:
    """One machine's clocks; the wall may jump."""

    __slots__ = ("fleet", "jump")

    def __init__(self, fleet: "Fleet") -> None:
        self.fleet, self.jump = fleet, timedelta(0)

    def mono(self) -> timedelta:
        """Time since the fleet began."""
        return self.fleet.now

    def wall(self) -> datetime:
        """The time of day, as this machine has it."""
        return self.fleet.dawn + self.fleet.now + self.jump


class Box:
    """A place where one process runs, with its disk, clock and addresses."""

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
        "slow",
        "records",
    )

    machine: Any  # a state machine, or None where no process runs
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
        self.records = {}  # what its process found on the disk at its start
        self.buffer, self.restart_epochs, self.codec, self.is_gone, self.slow = [], 0, None, False, timedelta(0)


class HeldMessage(msgspec.Struct, frozen=True):
    """What a cut link keeps for its end, as TCP does for a connection that stays open."""

    sent_at: timedelta
    receiver: Box
    receiver_incarnation: int
    deliver: Callable[..., Any]
    arguments: tuple[Any, ...]

    def is_deliverable(self, now: timedelta) -> bool:
        """Whether the connection still stands: the same process at the other end, and not given up by the sender."""
        return self.receiver.incarnation == self.receiver_incarnation and now - self.sent_at <= HELD_FOR


class Exchange:
    """One HTTP request between two boxes."""

    __slots__ = (
        "cid",
        "client",
        "client_incarnation",
        "tid",
        "server",
        "server_incarnation",
        "mode",
        "parser",
        "is_open",
        "is_broken",
    )

    def __init__(self, cid: Any, client: Box, tid: Any, server: Any, mode: str) -> None:
        self.cid, self.client, self.client_incarnation, self.tid, self.server = (
            cid,
            client,
            client.incarnation,
            tid,
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

    `run(seconds)` goes on; `kill`, `start`, `freeze`, `wake`, `cut`, `heal`, `vanish` and the disks bring faults about.
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
        "by_tid",
        "logs",
        "cluster",
        "latency",
        "seed",
        "tries",
        "arrivals",
        "deaths",
        "reachability",
        "dawn",
        "holding",
        "held",
        "slow_links",
    )

    heap: list[tuple[timedelta, int, Callable[..., object], tuple[Any, ...]]]
    boxes: dict[str, Box]
    by_address: dict[str, Box]
    by_http_address: dict[str, Box]
    cuts: set[Link]
    latest: dict[Link, timedelta]
    exchanges: dict[Any, Exchange]
    by_tid: dict[Any, int]
    logs: list[tuple[Any, ...]]
    tries: list[tuple[timedelta, bool, str]]
    arrivals: dict[str, list[tuple[timedelta, str]]]
    deaths: list[tuple[str, timedelta]]
    holding: set[Link]
    held: dict[Link, list[HeldMessage]]
    slow_links: dict[Link, timedelta]

    def __init__(self, seed: int, cluster: str = "fleet") -> None:
        self.seed = seed
        self.now, self.random, self.heap, self.count, self.cluster = timedelta(0), Random(seed), [], 0, cluster
        self.boxes, self.by_address, self.by_http_address, self.cuts, self.loss = {}, {}, {}, set(), 0.0
        self.latest, self.exchanges, self.by_tid, self.logs = {}, {}, {}, []
        self.latency, self.tries, self.arrivals, self.deaths = (0.0005, 0.003), [], {}, []
        self.reachability, self.dawn = Reachability(self.now), START
        self.holding, self.held = set(), {}  # cut links that keep what is sent, and what they keep
        self.slow_links = {}  # what each adds to the latency
        self._later(OBSERVE_EVERY, self._observe)

    # building ----------------------------------------------------------------------

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
        """`make(box)` gives the machine anew at each start."""
        box = self.boxes[name] = Box(name, role, make, zone, address, http_address, BoxClock(self), self.seed)
        self.by_address[address] = self.by_http_address[http_address] = box
        if start:
            self.start(name)
        return box

    def start(self, name: str) -> None:
        """A process begins on the box."""
        box = self.boxes[name]
        box.incarnation += 1
        box.restart_epochs += 1
        box.is_frozen, box.is_gone, box.buffer = False, False, []
        self._load(box, box.incarnation)

    def _load(self, box: Box, incarnation: int) -> None:
        """The process reads its folder, tries until the disk lets it, and begins."""
        if box.incarnation != incarnation:
            return
        try:
            opened = box.disk.open(self.now)
        except OSError:
            self._later(START_AGAIN, self._load, box, incarnation)
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
        """The process ends at once; half of the times the power is lost too, and with it what its disk had not synced.

        With `writes_kept` just so many of the writes on their way stay.
        """
        box = self.boxes[name]
        if not self._end(box):
            return
        if writes_kept is not None or box.disk.random.random() < 0.5:
            box.disk.lose_power(writes_kept)
        else:
            box.disk.end_process()

    def lose_power(self, name: str, writes_kept: int | None = None) -> None:
        """The process ends, and what the machine had still to send is lost too."""
        box = self.boxes[name]
        if not self._end(box):
            return
        box.disk.lose_power(writes_kept)
        for link in [link for link in self.held if link[0] == name]:
            del self.held[link]

    def _end(self, box: Box) -> bool:
        """Ends the process, if there is one; one that waits for its disk will not begin."""
        was_running = box.machine is not None
        box.machine, box.incarnation = None, box.incarnation + 1
        if was_running:
            self.deaths.append((box.name, self.now))
            self._break_exchanges(box)
        return was_running

    def vanish(self, name: str) -> None:
        """The machine is gone: nothing answers, not even a refusal."""
        self.lose_power(name)
        self.boxes[name].is_gone = True

    def stop(self, name: str) -> None:
        """The platform's short warning."""
        self._hand(self.boxes[name], events.StopRequested())

    def freeze(self, name: str) -> None:
        """The process stands still; what is sent to it lies in its buffers."""
        self.boxes[name].is_frozen = True

    def wake(self, name: str) -> None:
        """What lay in its buffers comes first, then its pulse."""
        box = self.boxes[name]
        box.is_frozen, buffer, box.buffer = False, box.buffer, []
        for message in buffer:
            self._hand(box, message)

    def cut(self, first: Any, second: Any, one_way: bool = False, holds: bool = False) -> Any:
        """Boxes of `first` cannot reach those of `second`; gives the links that were cut.

        With `holds` what is sent on connections that stand arrives late, in order, when the link heals, if it is not
        older than HELD_FOR by then and its receiver still runs; datagrams are lost all the same. Else all that is
        sent is lost.
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
        """Ends these cuts, or all; what they held comes first."""
        healed = set(self.cuts if links is None else links)
        self.cuts -= healed
        self.holding -= healed
        for link in sorted(healed & self.held.keys()):
            self._later(timedelta(0), self._release, link)

    # time -----------------------------------------------------------------------------

    def _later(self, delay: timedelta, call: Any, *words: Any) -> None:
        self.count += 1
        heappush(self.heap, (self.now + delay, self.count, call, words))

    def run(self, seconds: float) -> None:
        """Virtual time goes on by so many seconds."""
        self.run_until(lambda: False, seconds)

    def run_until(self, is_reached: Callable[[], bool], seconds: float) -> bool:
        """Whether it was reached within the virtual seconds."""
        end = self.now + timedelta(seconds=seconds)
        check_at = self.now
        while self.heap and self.heap[0][0] <= end:
            if self.heap[0][0] >= check_at:
                if is_reached():
                    return True
                check_at = self.heap[0][0] + TICK
            self.now, _, call, words = heappop(self.heap)
            call(*words)
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
                self._hand(box, change)
            self._hand(box, events.Tick())
        self._later(TICK + box.slow, self._tick, box, incarnation)

    def _hand(self, box: Box, message: Any) -> None:
        if box.machine is None:
            return
        if box.is_frozen:
            if len(box.buffer) < MOST_BUFFERED:
                box.buffer.append(message)
            return
        incarnation = box.incarnation
        for effect in box.machine.take(message, self.now):
            if box.incarnation == incarnation:
                self._do(box, effect)

    def _reach(self, box: Box, other: Box) -> bool:
        return (box.name, other.name) not in self.cuts and not other.is_gone

    def _send(self, box: Box, other: Box, call: Any, *words: Any) -> None:
        """In order between two boxes, after the wire's latency; lost or held where they are cut off."""
        self._pass_on(box, other, True, call, words)

    def _send_datagram(self, box: Box, other: Box, call: Any, *words: Any) -> None:
        """As `_send`, but never held."""
        self._pass_on(box, other, False, call, words)

    def _pass_on(self, box: Box, other: Box, is_connected: bool, call: Any, words: Any) -> None:
        at = self.now + timedelta(seconds=self.random.uniform(*self.latency))
        key = (box.name, other.name)
        at += self.slow_links.get(key, timedelta(0))
        at = self.latest[key] = max(at, self.latest.get(key, at))
        self._later(at - self.now, self._arrive, key, other, is_connected, call, words)

    def _arrive(self, key: Link, other: Box, is_connected: bool, call: Any, words: Any) -> None:
        exchange = words[0] if isinstance(words[0], Exchange) else None
        is_held = is_connected and not other.is_gone and (key in self.holding if key in self.cuts else key in self.held)
        if is_held:
            self.held.setdefault(key, []).append(HeldMessage(self.now, other, other.incarnation, call, words))
        elif key in self.cuts or other.is_gone:
            if exchange is not None:
                exchange.is_broken = True  # a connection that lost something says nothing more
        elif exchange is None or not exchange.is_broken:
            call(*words)

    def _release(self, link: Any) -> None:
        """Delivers what a link held that has healed, but for what was given up meanwhile."""
        if link in self.cuts:
            return  # cut again before anything came through
        for message in self.held.pop(link, ()):
            exchange = message.arguments[0] if isinstance(message.arguments[0], Exchange) else None
            if not message.is_deliverable(self.now):
                if exchange is not None:
                    exchange.is_broken = True
            elif exchange is None or not exchange.is_broken:
                message.deliver(*message.arguments)

    # effects --------------------------------------------------------------------------

    def _do(self, box: Box, effect: Any) -> None:
        match effect:
            case effects.Send(address, message):
                self._tell(box, address, message, False)
            case effects.SendDatagram(address, message):
                self._tell(box, address, message, True)
            case effects.AppendRecords() | effects.RewriteRecords() | effects.AppendDayLog():
                self._disk(box, effect)
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
                self._answer(box, effect)
            case effects.Log(level, component, text, fields):
                self.logs.append((self.now, box.name, level, component, text, fields))
            case effects.Exit():
                self.kill(box.name)

    def _tell(self, box: Box, address: str, message: Any, is_cast: bool) -> None:
        other = self.by_address.get(address)
        if other is None or (is_cast and self.random.random() < self.loss):
            return
        assert box.codec is not None, "a process that runs has a codec"
        raw = box.codec.pack(message)
        send = self._send_datagram if is_cast else self._send
        send(box, other, self._heard, other, raw)

    def _heard(self, other: Box, raw: bytes) -> None:
        try:
            frame = read_frame(self.cluster, raw)
        except UnreadableFrameError:
            self._hand(other, events.UnreadableMessageReceived())
            return
        self._hand(other, events.MessageReceived(frame.sender, frame.address, frame.message))

    def _disk(self, box: Box, effect: Any) -> None:
        is_idle = box.disk.queue.is_empty
        box.disk.begin(effect, self.now)
        if is_idle:
            self._later(timedelta(0), self._begin_sync, box, box.incarnation)

    def _begin_sync(self, box: Box, incarnation: int) -> None:
        """One sync for all that waits for one file by now; what comes meanwhile is for the next."""
        if box.incarnation != incarnation or box.disk.queue.begin_step(self.now) is None:
            return
        delay = max(
            box.disk.delay, box.disk.stalled_until - self.now, START_AGAIN if box.disk.queue.error else box.disk.delay
        )
        self._later(delay, self._synced, box, box.incarnation)

    def _synced(self, box: Box, incarnation: int) -> None:
        if box.incarnation != incarnation:
            return
        followups = box.disk.finish(self.now) if self.now >= box.disk.stalled_until else None
        self._begin_sync(box, incarnation)
        if followups is None and (change := box.disk.queue.state_change(self.now)) is not None:
            self._hand(box, change)
        for followup in followups or ():
            if box.incarnation == incarnation:
                self._hand(box, followup)

    # HTTP ---------------------------------------------------------------------------------

    def _fetch(self, box: Box, effect: Any) -> None:
        tid, method = effect.call_id, effect.method
        address, _, path = effect.url.removeprefix("http://").partition("/")
        server = self.by_http_address.get(address)
        self.count += 1
        cid = self.count
        if box.role == "edge" and (tid[0] == "lookup" or method == "POST"):  # a resume runs nothing and is no resend
            self.tries.append((self.now, tid[2] > 1, tid[0]))
        if server is None or not self._reach(box, server) or not self._reach(server, box):
            failed = events.CallFailed(tid, CallFailure.CONNECT_TIMEOUT)
            self._later(effect.connect_timeout, self._tell_client, box, box.incarnation, failed)
            return
        if server.machine is None:
            failed = events.CallFailed(tid, CallFailure.REFUSED)
            self._later(timedelta(seconds=0.002), self._tell_client, box, box.incarnation, failed)
            return
        exchange = self.exchanges[cid] = Exchange(cid, box, tid, server, effect.mode)
        self.by_tid[(box.name, box.incarnation, tid)] = cid
        headers = {name.lower(): value for name, value in effect.headers.items()}
        request = events.HttpRequestReceived(cid, method, "/" + path, headers, effect.body)
        self._later(timedelta(seconds=0.001), self._connected, exchange, request)
        self._later(effect.total_timeout, self._expire, exchange)

    def _connected(self, exchange: Exchange, request: Any) -> None:
        if not exchange.is_open:
            return
        if exchange.server.incarnation != exchange.server_incarnation:
            self._end_exchange(exchange, events.CallFailed(exchange.tid, CallFailure.REFUSED))
            return
        self._tell_client(exchange.client, exchange.client_incarnation, events.RequestSent(exchange.tid))
        self._send(exchange.client, exchange.server, self._hand_alive, exchange, request)

    def _hand_alive(self, exchange: Exchange, event: Event) -> None:
        if exchange.server.incarnation == exchange.server_incarnation:
            is_request = isinstance(event, events.HttpRequestReceived)
            if is_request and exchange.client.role == "edge":  # it came in now, whenever it is taken up
                self.arrivals.setdefault(exchange.server.name, []).append((self.now, exchange.client.name))
            self._hand(exchange.server, event)

    def _expire(self, exchange: Exchange) -> None:
        if exchange.is_open:
            self._finish(exchange)
            self._hand_alive(exchange, events.ClientDisconnected(exchange.cid))
            failed = events.CallFailed(exchange.tid, CallFailure.TIMEOUT)
            self._tell_client(exchange.client, exchange.client_incarnation, failed)

    def _finish(self, exchange: Exchange) -> None:
        exchange.is_open = False
        self.exchanges.pop(exchange.cid, None)
        self.by_tid.pop((exchange.client.name, exchange.client_incarnation, exchange.tid), None)

    def _cancel_call(self, box: Box, tid: Any) -> None:
        exchange = self.exchanges.get(self.by_tid.get((box.name, box.incarnation, tid)))
        if exchange is not None:
            self._finish(exchange)
            self._send(box, exchange.server, self._hand_alive, exchange, events.ClientDisconnected(exchange.cid))

    def _answer(self, box: Box, effect: Any) -> None:
        exchange = self.exchanges.get(effect.call_id)
        if exchange is not None:
            self._send(box, exchange.client, self._answered, exchange, effect)

    def _answered(self, exchange: Exchange, effect: Any) -> None:
        if not exchange.is_open:
            return
        tid = exchange.tid
        match effect:
            case effects.Reply(_, status, headers, body):
                self._end_exchange(exchange, events.ResponseReceived(tid, status, _lower(headers), body))
            case effects.BeginResponse(_, status, headers):
                head = events.ResponseHeadReceived(tid, status, _lower(headers))
                self._tell_client(exchange.client, exchange.client_incarnation, head)
            case effects.SendChunk(_, data):
                for event in exchange.parser.receive_bytes(data):
                    received = events.ServerEventReceived(tid, event.id, event.data)
                    self._tell_client(exchange.client, exchange.client_incarnation, received)
            case effects.EndResponse():
                self._end_exchange(exchange, events.ResponseEnded(tid))
            case _:
                self._end_exchange(exchange, events.CallFailed(tid, CallFailure.RESET))

    def _end_exchange(self, exchange: Exchange, event: Event) -> None:
        """The client is told how its call ended."""
        self._finish(exchange)
        self._tell_client(exchange.client, exchange.client_incarnation, event)

    def _tell_client(self, box: Box, incarnation: int, event: Event) -> None:
        if box.incarnation == incarnation:
            self._hand(box, event)

    def _break_exchanges(self, box: Box) -> None:
        for exchange in list(self.exchanges.values()):
            if exchange.server is box:
                self._finish(exchange)
                failed = events.CallFailed(exchange.tid, CallFailure.RESET)
                self._send(
                    box, exchange.client, self._tell_client, exchange.client, exchange.client_incarnation, failed
                )
            elif exchange.client is box:
                self._finish(exchange)
                self._send(box, exchange.server, self._hand_alive, exchange, events.ClientDisconnected(exchange.cid))


def _lower(headers: Any) -> dict[str, Any]:
    return {name.lower(): value for name, value in headers.items()}
