"""Simulates engine servers, edges and lease holders in virtual time, for the tests of placement on demand."""

from datetime import timedelta
from heapq import heappop, heappush
from itertools import count
from random import Random
from types import SimpleNamespace as Item

import msgspec

from sumachook.calls.run_status import CallFailure
from sumachook.host.effects import Fetch, Log, Send, WakeAfter
from sumachook.host.events import CallFailed, DelayElapsed, MessageReceived, ResponseReceived
from sumachook.placement.events import LeaseTick, StateChanged
from sumachook.placement.messages import ModelUsage, PlacementRequest
from sumachook.placement.places import PlacementView
from sumachook.placement.port import ServerPort
from sumachook.placement.provisioner import Provisioner
from sumachook.simulation.fake_engine_server import FakeEngineServer
from sumachook.transport.codec import Codec, read_frame

MS = timedelta(milliseconds=1)
EDGES = ("10.0.1.1:7", "10.0.1.2:7")


class ProvisionerSimulation:
    """Runs engine servers and successive lease holders; calls take `delay` each way and fail with probability
    `loss`."""

    def __init__(
        self,
        servers=6,
        models=12,
        memory_mb=220.0,
        seed=1,
        loads_per_s=6.8,
        load_ms=600.0,
        held=None,
        places=8,
        loss=0.0,
    ):
        self.random = Random(seed)
        self.now = timedelta(0)
        self.queue = []
        self.event_number = count()
        self.loss = loss
        self.delay = lambda: MS * 2
        self.is_ticking = True
        self.reports_check_name = False  # whether servers compare their name with the one that a report request names
        self.updates = []
        self.logs = []
        self.edges = {address: PlacementView() for address in EDGES}
        self.engines = {}
        self.holder = None
        self.fence = 0
        self.engine_config = Item(
            slots=64,
            cache_tokens=1000,
            memory_mb=memory_mb,
            adapter_places=places,
            loads_per_s=loads_per_s,
            models=tuple(
                Item(name=f"m{number}", size_mb=(65.1, 72.7)[number % 2], load_ms=load_ms, adapters=8, adapter_mb=0.066)
                for number in range(models)
            ),
        )
        self.state = Item(
            servers={},
            evacuated=(),
            catalogue=Item(
                services=(
                    Item(name="llm", connections=100, cold_ms=0.0, cold_per_s=0.0, engine=self.engine_config),
                    Item(name="stamps", connections=100, cold_ms=0.0, cold_per_s=0.0, engine=None),
                )
            ),
        )
        for number in range(servers):
            self.add_server(f"i-{number}", "abc"[number % 3], (held or {}).get(number, ()))
        self.take_over()

    def add_server(self, name, zone, models=()):
        self.engines[name] = FakeEngineServer(
            name, self.engine_config, dict.fromkeys(models, ()) if not isinstance(models, dict) else models
        )
        self.state.servers[name] = {
            "service": "llm",
            "address": f"{name}:1",
            "area": zone,
            "leaving": False,
            "slots": 64,
            "models": {},
        }

    def start_life(self, host, name, models=()):
        """Starts a new life of a server at the address of a host: the former one has ended, but may still be listed."""
        self.engines[host] = FakeEngineServer(name, self.engine_config, dict.fromkeys(models, ()))
        return {"service": "llm", "address": f"{host}:1", "area": "a", "leaving": False, "slots": 64, "models": {}}

    def list_servers(self, servers):
        """Puts a list of servers, {name: entry} in this order, in force."""
        self.state.servers = dict(servers)
        return self.handle(StateChanged())

    def configure(self, models, has_service=True):
        """Puts a configuration in force whose engine lists the named models only, or that lacks the service."""
        if not hasattr(self, "all_models"):
            self.all_models = self.engine_config.models
        engine = Item(**{**vars(self.engine_config), "models": tuple(m for m in self.all_models if m.name in models)})
        service = Item(name="llm", connections=100, cold_ms=0.0, cold_per_s=0.0, engine=engine)
        self.state.catalogue = Item(services=(service,) if has_service else ())
        return self.handle(StateChanged())

    def take_over(self):
        """Transfers the lease to another core; calls of the previous holder stay in flight."""
        self.fence += 1
        self.holder = Provisioner(self.state, ServerPort(), f"core-{self.fence}", self.now)
        self.schedule(timedelta(0), "tick", self.holder)

    def restart(self):
        """Restarts the holder's process before its lease ends: same name and fencing token, next incarnation."""
        self.holder = Provisioner(self.state, ServerPort(), self.holder.node, self.now, self.holder.incarnation + 1)
        self.schedule(timedelta(0), "tick", self.holder)

    def schedule(self, span, *event):
        heappush(self.queue, (self.now + span, next(self.event_number), *event))

    def run(self, span):
        until = self.now + span
        while self.queue and self.queue[0][0] <= until:
            self.now, _, *event = heappop(self.queue)
            getattr(self, "_" + event[0])(*event[1:])
        self.now = until

    def handle(self, event, holder=None):
        """Passes an event to the holder and carries out its effects; returns them."""
        holder = holder or self.holder
        effects = holder.take(event, self.now)
        for effect in effects:
            match effect:
                case Fetch() if self.random.random() < self.loss / 2:
                    failed = CallFailed(effect.call_id, CallFailure.TIMEOUT)
                    self.schedule(effect.total_timeout, "answer", holder, failed)
                case Fetch():
                    self.schedule(self.delay(), "arrive", holder, effect)
                case Send():
                    self.schedule(MS, "deliver", effect.address, effect.message)
                case WakeAfter():
                    self.schedule(effect.delay, "wake", holder)
                case Log():
                    self.logs.append(effect)
                case _:
                    raise AssertionError(effect)
        return effects

    def _tick(self, holder):
        if holder is self.holder and self.is_ticking:
            self.handle(LeaseTick(self.fence, EDGES), holder)
            self.schedule(MS * 50, "tick", holder)

    def _wake(self, holder):
        self.handle(DelayElapsed(), holder)

    def _arrive(self, holder, effect):
        name, path = effect.url.removeprefix("http://").split(":1", 1)
        if name not in self.engines:
            self.schedule(self.delay(), "answer", holder, CallFailed(effect.call_id, CallFailure.REFUSED))
            return
        status, answer = self._answer_of(self.engines[name], effect, path)
        if self.random.random() < self.loss / 2:
            self.schedule(effect.total_timeout, "answer", holder, CallFailed(effect.call_id, CallFailure.TIMEOUT))
        else:
            self.schedule(self.delay(), "answer", holder, ResponseReceived(effect.call_id, status, {}, answer))

    def _answer_of(self, engine, effect, path):
        """Returns the status and body of a server's answer; 421 if the call names another one."""
        is_checked = effect.method == "POST" or self.reports_check_name
        name = getattr(engine, "name", None)
        if is_checked and name is not None and effect.headers.get(getattr(ServerPort, "INSTANCE", ""), name) != name:
            return 421, b""
        return engine.take(effect.method, path, effect.body, self.now)

    def _answer(self, holder, event):
        self.handle(event, holder)

    def _deliver(self, address, message):
        _, _, _, message = read_frame("c", Codec("c", "core", "10.0.0.1:1", 1).pack(message))
        self.updates.append((self.now, address, message))
        for effect in self.edges[address].take(MessageReceived("core", "10.0.0.1:1", message), self.now):
            if isinstance(effect, Send):
                self.schedule(MS, "ask", address, effect.message)

    def _ask(self, address, message):
        self.handle(MessageReceived(address, address, message))

    # messages from edges ------------------------------------------------------------------

    def request(self, *names, edge=EDGES[0], left=2000.0):
        return self.handle(MessageReceived(edge, edge, PlacementRequest({"llm": dict.fromkeys(names, (1, left))})))

    def report_usage(self, names, edge=EDGES[0]):
        return self.handle(MessageReceived(edge, edge, ModelUsage({"llm": names})))

    def run_with_usage(self, seconds, usage, requested=()):
        """Reports usage {name: (started, running)} and repeats placement requests every half second."""
        for _ in range(int(seconds * 2)):
            self.report_usage(usage)
            if requested:
                self.request(*requested)
            self.run(MS * 500)

    # results -----------------------------------------------------------------

    def records(self, kind):
        return sorted(
            (at, name, what) for name, engine in self.engines.items() for at, key, what in engine.record if key == kind
        )

    def holders(self, model):
        return sorted(name for name, engine in self.engines.items() if model in engine.models)

    def is_store_rate_limit_kept(self):
        times = [at for at, _, _ in self.records("stored")]
        limit = self.engine_config.loads_per_s * 5 * 1.1 + 3
        return all(sum(1 for other in times if at <= other < at + timedelta(seconds=5)) <= limit for at in times)


def orders_of(effects):
    return [
        msgspec.json.decode(effect.body) for effect in effects if isinstance(effect, Fetch) and effect.method == "POST"
    ]
