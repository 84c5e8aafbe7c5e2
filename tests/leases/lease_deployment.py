"""Simulates voters with leases whose messages and log entries are delayed, cut and lost at random."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from heapq import heappop, heappush
from itertools import count
from random import Random

from sumachook.control_state.effects import ProposeChange
from sumachook.control_state.state import State
from sumachook.host.effects import Send
from sumachook.host.events import MessageReceived
from sumachook.leases import Leases
from sumachook.leases.events import Quit, Tick

MS = timedelta(milliseconds=1)
VOTERS = ("s0", "s1", "s2")
TICK_INTERVAL = MS * 50


@dataclass
class Tenure:
    """A voter that held the role, with the times when it was first and last observed to hold it."""

    voter: str
    first: timedelta
    last: timedelta


class LeaseDeployment:
    """Simulates three voters; each applies the log in order with random delays, and messages are delayed or cut one way.

    Every voter counts as fresh, in a working view or not, which is a harder case than the replicated state allows.
    """

    def __init__(self, seed: int, is_fenced: bool, turn_gap: timedelta = timedelta(0)):
        self.random = Random(seed)
        self.is_fenced = is_fenced
        self.turn_gap = turn_gap
        self.now = timedelta(0)
        self.queue, self.order = [], count()
        self.states, self.leases = {}, {}
        self.changes, self.ordered = [], State()
        self.cuts: set[tuple[str, str]] = set()  # pairs of a sender and a receiver whose messages are lost
        self.frozen: set[str] = set()
        self.leader = "s0"
        self.tenures: list[Tenure] = []
        self.delay: Callable[[], timedelta] = lambda: MS * 3
        self._order(("found", {voter: voter for voter in VOTERS}))
        for voter in VOTERS:
            self.start(voter)
        self._schedule(timedelta(0), self._tick)

    def start(self, voter: str) -> None:
        state = State()
        for number, change in enumerate(self.changes, 1):
            state.apply(number, change)
        self.states[voter] = state
        random = Random(self.random.random())
        self.leases[voter] = Leases(voter, state, random, self.now, self.is_fenced, self.turn_gap)

    def holds(self, voter: str) -> int:
        return self.leases[voter].holds("placer", self.now)

    @property
    def last_holder(self) -> str:
        return self.tenures[-1].voter

    def lead_another(self) -> None:
        """Makes a voter other than the last holder the leader."""
        self.leader = next(voter for voter in VOTERS if voter != self.last_holder)

    def run(self, duration: timedelta) -> None:
        until = self.now + duration
        while self.queue and self.queue[0][0] <= until:
            self.now, _, action, arguments = heappop(self.queue)
            action(*arguments)
            self._check_holders()
        self.now = until

    def _check_holders(self) -> None:
        holders = [voter for voter in VOTERS if self.holds(voter)]
        assert len(holders) <= 1, (self.now, holders)
        if holders and (not self.tenures or self.last_holder != holders[0]):
            self.tenures.append(Tenure(holders[0], self.now, self.now))
        elif holders:
            self.tenures[-1].last = self.now

    def handle(self, voter: str, event) -> None:
        for effect in self.leases[voter].take(event, self.now):
            match effect:
                case Send(address, message) if (voter, address) not in self.cuts:
                    self._schedule(self.delay(), self._receive, voter, address, message)
                case ProposeChange(change):
                    self._schedule(self.delay(), self._order, change)

    def quit(self, voter: str) -> None:
        self.handle(voter, Quit())

    def _schedule(self, delay: timedelta, action: Callable[..., None], *arguments) -> None:
        heappush(self.queue, (self.now + delay, next(self.order), action, arguments))

    def _receive(self, sender: str, voter: str, message) -> None:
        if voter not in self.frozen:
            self.handle(voter, MessageReceived(sender, sender, message))

    def _order(self, change) -> None:
        self.ordered.apply(len(self.changes) + 1, change)
        self.changes.append(change)

    def _tick(self) -> None:
        for voter in VOTERS:
            state = self.states[voter]
            if voter not in self.frozen:
                while state.number < len(self.changes) and self.random.random() < 0.7:
                    state.apply(state.number + 1, self.changes[state.number])
                self.handle(voter, Tick(True, voter == self.leader))
        self._schedule(TICK_INTERVAL, self._tick)


def run_random_faults(seed: int, is_fenced: bool, turn_gap: timedelta = timedelta(0)) -> LeaseDeployment:
    """Runs sixty steps of random cuts, freezes, leader changes, releases, restarts and times without faults."""
    deployment = LeaseDeployment(seed, is_fenced, turn_gap)
    random = Random(seed + 1)
    deployment.delay = lambda: MS * random.choice((1, 2, 3, 10, 80, 300))
    for _ in range(60):
        draw = random.random()
        if draw < 0.4:
            deployment.cuts = {(random.choice(VOTERS), random.choice(VOTERS)) for _ in range(random.randrange(4))}
        elif draw < 0.6:
            deployment.frozen = {random.choice(VOTERS)}  # the clock of a frozen voter keeps running
        elif draw < 0.7:
            deployment.leader = random.choice(VOTERS)
        elif draw < 0.75:
            deployment.quit(random.choice(VOTERS))  # the voter releases its roles; a later step restarts it
        elif draw < 0.85:
            deployment.start(random.choice(VOTERS))
        else:
            deployment.cuts, deployment.frozen = set(), set()
        deployment.run(MS * random.randrange(1500))
    return deployment
