"""Simulates edges and cores that run only rate limiters and lease issuers, under a virtual clock (docs/design/quotas.md)."""

from datetime import timedelta
from heapq import heappop, heappush
from random import Random
from types import SimpleNamespace

from sumachook.configuration.capacity import Capacity
from sumachook.configuration.tenant import Tenant
from sumachook.host.effects import Log, Send
from sumachook.host.events import MessageReceived
from sumachook.quotas.effects import AdmissionDenied, AdmissionGranted
from sumachook.quotas.events import (
    AdmissionKey,
    AdmissionRequested,
    IssuerTick,
    LeaseRequestReceived,
    LimiterTick,
    Pipeline,
    UsageSettled,
)
from sumachook.quotas.lease_issuer import QuotaLeaseIssuer
from sumachook.quotas.messages import LeaseRequest, UsageReport
from sumachook.quotas.rate_limiter import RateLimiter
from sumachook.quotas.terms import QuotaTerms
from sumachook.simulation.quota_invariant_checker import Bounds, ClientRequest, QuotaInvariantChecker, Run
from sumachook.transport.codec import Codec, read_frame

SECOND = timedelta(seconds=1)
TICK = SECOND / 20
VACANCY = SECOND * 4.5
REMAINING_LEASE = SECOND * 2
FIRST_RESTART_EPOCH = 1_800_000_000_000  # restart epoch of the first start, in milliseconds as on real nodes


class Node:
    """A simulated process with its rate limiter or lease issuer, its state and its faults."""

    __slots__ = (
        "name",
        "machine",
        "state",
        "is_up",
        "is_frozen",
        "buffer",
        "restart_epoch",
        "up_at",
        "knows_edges_from",
    )

    def __init__(self, name):
        self.name, self.machine, self.state, self.is_up, self.is_frozen, self.buffer, self.restart_epoch = (
            name,
            None,
            None,
            False,
            False,
            [],
            FIRST_RESTART_EPOCH,
        )
        self.up_at = self.knows_edges_from = None


class SimulatedRequest:
    """A request and its outcome; `ran_at` is when it was admitted, as a server would record it."""

    __slots__ = (
        "tenant",
        "edge",
        "at",
        "answered_at",
        "is_refused",
        "retry_delay_s",
        "ran_at",
        "tokens",
        "estimate",
        "is_yielding",
        "denial_fields",
        "patience",
        "is_lost",
    )

    def __init__(self, tenant, edge, at, tokens, estimate, patience):
        self.tenant, self.edge, self.at, self.tokens, self.estimate, self.patience = (
            tenant,
            edge,
            at,
            tokens,
            estimate,
            patience,
        )
        self.answered_at = self.ran_at = self.retry_delay_s = self.denial_fields = None
        self.is_refused = self.is_yielding = self.is_lost = False


class QuotaSimulator:
    """Simulates a deployment: `send` and `offer` generate traffic, `run` advances the clock.

    `kill`, `start`, `freeze`, `wake`, `cut` and `heal` inject faults. At most one core holds the accounting duty;
    `lose_holder` lets its lease expire and assigns the duty to another core after the vacancy.
    """

    def __init__(self, tenants, edges=4, seed=1, capacity=None, latency=(0.0005, 0.003), discovery_delay=SECOND * 3):
        self.now, self.random, self.heap, self.count, self.latency, self.discovery_delay = (
            timedelta(seconds=100),
            Random(seed),
            [],
            0,
            latency,
            discovery_delay,
        )
        self.tenants, self.capacity, self.generation = tenants, capacity or Capacity(), 1
        self.nodes, self.cuts, self.latest, self.calls, self.logs, self.lease_request_count = {}, set(), {}, [], [], 0
        self.holder, self.fence, self.known_holder, self.leased_until = "core-1", 1, "core-1", None
        self.changes, self.disturbed_at = [], []
        for name in ("core-1", "core-2", "core-3"):
            self.start(name)
        for place in range(edges):
            self.start(f"edge-{place + 1}")
        for edge in self.edges:
            edge.knows_edges_from = self.now
        self.run(0.3)

    @property
    def edges(self):
        return [node for name, node in sorted(self.nodes.items()) if name.startswith("edge") and node.is_up]

    def _catalogue(self):
        return SimpleNamespace(tenants=tuple(self.tenants), capacity=self.capacity)

    # faults -------------------------------------------------------------------------------

    def start(self, name):
        node = self.nodes.setdefault(name, Node(name))
        node.is_up, node.is_frozen, node.buffer, node.restart_epoch, node.up_at = (
            True,
            False,
            [],
            node.restart_epoch + 1,
            self.now,
        )
        node.state = SimpleNamespace(generation=self.generation, catalogue=self._catalogue())
        node.knows_edges_from = self.now + self.discovery_delay
        if name.startswith("core"):
            node.machine = QuotaLeaseIssuer(node.state, self.now)
        else:
            node.machine = RateLimiter(node.state, node.restart_epoch, self.now)
        self._schedule(TICK * self.random.random(), self._tick, node, node.restart_epoch)

    def kill(self, name):
        node = self.nodes[name]
        node.is_up, node.restart_epoch = False, node.restart_epoch + 1
        for call in self.calls:
            if call.edge == name and call.answered_at is None:
                call.answered_at, call.is_lost = self.now, True
        if name == self.holder:
            self.lose_holder()

    def freeze(self, name):
        self.nodes[name].is_frozen = True

    def wake(self, name):
        node = self.nodes[name]
        node.is_frozen, buffer, node.buffer = False, node.buffer, []
        for message in buffer:
            self._deliver(node, message)

    def cut(self, first, second):
        self.cuts |= {(one, other) for one in first for other in second} | {
            (other, one) for one in first for other in second
        }

    def heal(self):
        self.cuts.clear()

    def lose_holder(self, after=VACANCY, is_away=None):
        """Lets the holder's lease expire; another core gets the duty after the vacancy."""
        if self.holder is None:
            return
        old, fence = self.holder, self.fence
        self.holder, self.leased_until = None, (old, fence, self.now + REMAINING_LEASE)
        self._schedule(after * 0.7, self._announce_vacancy)
        self._schedule(after, self._assign_duty, old)

    def _announce_vacancy(self):
        self.known_holder = None

    def _assign_duty(self, old):
        up = [
            name
            for name, node in sorted(self.nodes.items())
            if name.startswith("core") and node.is_up and not node.is_frozen and name != old
        ]
        if not up:
            self._schedule(SECOND / 2, self._assign_duty, "")
            return
        self.fence += 1
        self.holder = self.known_holder = up[self.random.randrange(len(up))]
        self.changes.append(self.now)

    def _fence_of(self, name):
        if name == self.holder:
            return self.fence
        if self.leased_until and name == self.leased_until[0] and self.now < self.leased_until[2]:
            return self.leased_until[1]
        return 0

    def configure(self, tenants, capacity=None, spread=0.05):
        """Changes the catalogue; each node receives it after a random delay of up to `spread` seconds."""
        self.tenants, self.capacity, self.generation = tenants, capacity or self.capacity, self.generation + 1
        for node in self.nodes.values():
            self._schedule(SECOND * spread * self.random.random(), self._update_catalogue, node, self.generation)

    def _update_catalogue(self, node, generation):
        if node.state is not None and node.state.generation < generation:
            node.state.generation, node.state.catalogue = self.generation, self._catalogue()

    # time -----------------------------------------------------------------------------------

    def _schedule(self, delay, call, *arguments):
        self.count += 1
        heappush(self.heap, (self.now + delay, self.count, call, arguments))

    def run(self, seconds):
        end = self.now + SECOND * seconds
        while self.heap and self.heap[0][0] <= end:
            self.now, _, call, arguments = heappop(self.heap)
            call(*arguments)
        self.now = end
        return self

    def _tick(self, node, restart_epoch):
        if node.restart_epoch != restart_epoch:
            return
        if node.name.startswith("core"):
            message = IssuerTick(0)
        else:
            peers = tuple(
                other.name for other in self.edges if other is not node and (node.name, other.name) not in self.cuts
            )
            peer_count = (
                len([name for name in self.nodes if name.startswith("edge")])
                if self.now >= node.knows_edges_from
                else 0
            )
            cores = tuple(name for name in self.nodes if name.startswith("core"))
            message = LimiterTick(self.known_holder, cores, peers, peer_count)
        if not node.is_frozen:
            self._deliver(node, message)
        self._schedule(TICK, self._tick, node, restart_epoch)

    def _deliver(self, node, message):
        if not node.is_up:
            return
        if node.is_frozen:
            node.buffer.append(message)
            return
        if node.name.startswith("core"):
            fence = self._fence_of(node.name)
            if isinstance(message, IssuerTick):
                message = IssuerTick(fence)
            elif isinstance(message.message, UsageReport):
                return
            else:
                message = LeaseRequestReceived(message.sender, message.address, message.message, fence)
        for effect in node.machine.take(message, self.now):
            self._apply_effect(node, effect)

    def _apply_effect(self, node, effect):
        if isinstance(effect, Send):
            other = self.nodes.get(effect.address)
            if other is None or (node.name, other.name) in self.cuts:
                return
            self.lease_request_count += isinstance(effect.message, LeaseRequest)
            raw = Codec("c", node.name, node.name, node.restart_epoch).pack(effect.message)
            at = self.now + SECOND * self.random.uniform(*self.latency)
            key = (node.name, other.name)
            at = self.latest[key] = max(at, self.latest.get(key, at))
            self._schedule(at - self.now, self._receive, key, other, other.restart_epoch, raw)
        elif isinstance(effect, AdmissionGranted):
            self._answer(effect.key.request, True, effect.is_yielding)
        elif isinstance(effect, AdmissionDenied):
            call = effect.key.request
            call.retry_delay_s, call.denial_fields = effect.retry_after_s, effect.record_fields
            self._answer(call, False, False)
        elif isinstance(effect, Log):
            self.logs.append((self.now, node.name, effect.level, effect.component, effect.text, effect.fields))

    def _receive(self, key, other, restart_epoch, raw):
        if key in self.cuts or other.restart_epoch != restart_epoch:
            return
        sender, address, _, message = read_frame("c", raw)
        self._deliver(other, MessageReceived(sender, address, message))

    # traffic ---------------------------------------------------------------------------------

    def send(self, tenant, edge, tokens=0, estimate=None, patience=2.0, takes=None):
        """Sends one request now; if `takes` is given, its token charge is corrected after so many seconds."""
        call = SimulatedRequest(
            tenant, edge, self.now, tokens, tokens if estimate is None else estimate, SECOND * patience
        )
        node = self.nodes[edge]
        if not node.is_up:
            call.answered_at, call.is_lost = self.now, True
            return call
        self.calls.append(call)
        if takes is not None:
            self._schedule(SECOND * takes, self._settle_usage, call, node.restart_epoch)
        self._deliver(node, AdmissionRequested(_admission_key(call), tenant, call.estimate, call.patience))
        return call

    def _answer(self, call, is_admitted, is_yielding):
        assert call.answered_at is None, "answered twice"
        call.answered_at, call.is_refused, call.is_yielding = self.now, not is_admitted, is_yielding
        if is_admitted:
            call.ran_at = self.now

    def _settle_usage(self, call, restart_epoch):
        node = self.nodes[call.edge]
        if call.ran_at is not None and not call.is_yielding and node.restart_epoch == restart_epoch:
            self._deliver(node, UsageSettled(_admission_key(call), call.tenant, 0, call.estimate - call.tokens))

    def offer(self, tenant, rate, seconds, edges=None, is_even=False, **more):
        """Schedules `rate` requests per second for `seconds`, each to a random one of the edges."""
        at = 0.0
        while True:
            at += 1 / rate if is_even else self.random.expovariate(rate)
            if at >= seconds:
                return self
            self._schedule(SECOND * at, self._send_offered, tenant, edges, more)

    def _send_offered(self, tenant, edges, more):
        names = edges or [node.name for node in self.edges]
        if names:
            self.send(tenant, names[self.random.randrange(len(names))], **more)

    # records of callers and servers --------------------------------------------------------------

    def of(self, tenant, since=None, until=None, **wanted):
        return [
            call
            for call in self.calls
            if call.tenant == tenant
            and (since is None or call.at >= since)
            and (until is None or call.at < until)
            and all(getattr(call, name) == value for name, value in wanted.items())
        ]

    def invariant_checker(self, tenant):
        terms = QuotaTerms.of(next(each for each in self.tenants if each.name == tenant))
        return QuotaInvariantChecker(Bounds(terms.ceiling, terms.floor, terms.burst, terms.floor_burst))

    def runs(self, tenant, edges=None):
        return [
            Run(call.ran_at, call.tokens, call.estimate)
            for call in self.of(tenant)
            if call.ran_at is not None and not call.is_yielding and (edges is None or call.edge in edges)
        ]

    def asked(self, tenant, but=()):
        return [ClientRequest(call.at, call.is_refused) for call in self.of(tenant) if call.edge not in but]


def _admission_key(call):
    return AdmissionKey(Pipeline.PROXY, call)


def tenant(name="shops", requests_per_s=20.0, **more) -> Tenant:
    return Tenant(name, requests_per_s=requests_per_s, **more)
