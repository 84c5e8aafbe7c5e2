"""Replicas of the consensus state machine with their disks and links, driven one step at a time.

Nothing here runs by itself: a message stays queued on its link until it is delivered, a write is pending until it is
synced, and the clock advances only with a tick. A cluster is copied by `pickle`, so that a search can branch from it.
"""

import pickle
from collections import deque
from datetime import timedelta

import msgspec

from harness.model_checking.observe import groups_of
from sumachook.consensus import Options, Replica, effects, events
from sumachook.consensus.timing import FRESH_FOR
from sumachook.host.effects import AppendRecords, RewriteRecords, Send
from sumachook.host.events import MessageReceived
from sumachook.transport.codec import read_entry

FOUNDERS = ("a", "b", "c")
CHANGE = "change"  # kind of the changes that the checker proposes
NO_TIME = timedelta(0)
RANDOM_FRACTIONS = {"a": 0.3, "b": 0.5, "c": 0.8, "d": 0.6}
REPLACE_AFTER = timedelta(seconds=1.6)
MAX_PASSES = 2000  # passes over all links in one round; more means that replicas answer each other endlessly
MAX_LOG_ENTRIES = 6  # entries in the log before it is compacted; low, so that the search also covers snapshots


class FixedRandom:
    """Deterministic replacement for a random generator: a node always draws the same fraction of a range, so that equal
    states have equal successors.
    """

    def __init__(self, fraction: float, start: int):
        self.fraction, self.start = fraction, start

    def uniform(self, low: float, high: float) -> float:
        """Returns the value at this node's fixed fraction of the range."""
        return low + (high - low) * self.fraction

    def getrandbits(self, _bits: int) -> int:
        """Returns a number that is unique to this node and this start of its process."""
        return self.start


class Application:
    """Replicated application of the checker: the number of the last delivered entry and a digest of all entries."""

    def __init__(self):
        self.number, self.digest = 0, 0

    def snapshot(self):
        """Returns the state as plain data for `restore`."""
        return {"number": self.number, "digest": self.digest}

    def apply(self, number: int, entry: bytes):
        """Applies one delivered entry."""
        self.number, self.digest = number, hash_of(self.digest, entry)

    def restore(self, snapshot):
        """Replaces the state by that of a snapshot; None stands for the empty state."""
        self.number, self.digest = (snapshot["number"], snapshot["digest"]) if snapshot else (0, 0)


class Node:
    """One machine: its replica while its process runs, its application and its disk."""

    def __init__(self, name: str):
        self.name, self.address = name, f"{name}:1"
        self.replica, self.application = None, Application()
        self.durable, self.writes = [], deque()
        self.is_frozen, self.is_stalled, self.has_departed, self.incarnation = False, False, False, 0

    @property
    def is_running(self) -> bool:
        """Whether the process runs, suspended or not."""
        return self.replica is not None


class BrokenRuleError(Exception):
    """Raised when a step violates an invariant; `rule` is the short name of the invariant."""

    def __init__(self, rule: str, text: str):
        super().__init__(f"{rule}: {text}")
        self.rule, self.text = rule, text


class Cluster:
    """Three founding replicas and at most one joining replica, with the invariants that hold after every step."""

    def __init__(self, names=FOUNDERS):
        self.now = timedelta(seconds=100)
        self.nodes = {name: Node(name) for name in names}
        self.links = {(one, other): deque() for one in names for other in names if one != other}
        self.held, self.entries, self.delivered_at, self.proposals, self.skipped = set(), {}, {}, 0, 0
        self.lost_disks = set()

    def copy(self) -> "Cluster":
        """Returns a deep copy of the cluster."""
        return pickle.loads(self.pack())

    def pack(self) -> bytes:
        """Serializes the cluster with pickle."""
        return pickle.dumps(self, pickle.HIGHEST_PROTOCOL)

    # processes and disks ------------------------------------------------------------------------------

    def add(self, name: str):
        """Adds a stopped node with an empty disk."""
        for other in self.nodes:
            self.links[(name, other)], self.links[(other, name)] = deque(), deque()
        self.nodes[name] = Node(name)

    def start(self, name: str):
        """Starts the process of a node from the records on its disk.

        Raises BrokenRuleError if the restored application is not at the number of the snapshot.
        """
        node = self.nodes[name]
        node.incarnation += 1
        node.application, node.is_frozen, node.has_departed = Application(), False, False
        founders = tuple(f"{founder}:1" for founder in FOUNDERS) if name in FOUNDERS else ()
        options = Options(replace_after=REPLACE_AFTER, max_log_entries=MAX_LOG_ENTRIES)
        node.replica = Replica(
            name,
            node.address,
            founders,
            FixedRandom(
                RANDOM_FRACTIONS[name], node.incarnation * len(RANDOM_FRACTIONS) + sorted(RANDOM_FRACTIONS).index(name)
            ),
            node.application.snapshot,
            tuple(node.durable),
            options,
            self.now,
        )
        number, snapshot = node.replica.snapshot()
        node.application.restore(snapshot)
        if node.application.number != number:
            raise BrokenRuleError(
                "snapshot",
                f"{name} starts from a snapshot of change {number}, but its state is at {node.application.number}",
            )

    def crash(self, name: str, writes_kept: int = 0):
        """Ends the process; the first `writes_kept` of its unsynced writes reach the disk, the others are lost."""
        node = self.nodes[name]
        for _ in range(min(writes_kept, len(node.writes))):
            self._write(node)
        node.writes.clear()
        node.replica = None
        for link, messages in self.links.items():
            if link[1] == name:
                messages.clear()

    def lose_disk(self, name: str):
        """Erases the disk of a stopped node."""
        self.nodes[name].durable.clear()
        self.lost_disks.add(name)

    # messages and effects ------------------------------------------------------------------------------

    def handle(self, name: str, event):
        """Passes one event to a replica, executes the resulting effects and checks the invariants."""
        node = self.nodes[name]
        queue = [event]
        while queue:
            for effect in node.replica.take(queue.pop(0), self.now):
                follow_up = self._carry_out(node, effect)
                if follow_up is not None:
                    queue.append(follow_up)
        self.check(name)

    def _carry_out(self, node, effect):
        match effect:
            case Send(address, message):
                receiver = address.partition(":")[0]
                link = (node.name, receiver)
                if link in self.links and self.nodes[receiver].is_running:
                    self.links[link].append(message)
            case AppendRecords(_, records, done):
                node.writes.append(("store", records, done))
            case RewriteRecords(_, records, done):
                node.writes.append(("replace", records, done))
            case effects.Deliver(number, entry):
                self._deliver(node, number, entry)
            case effects.Restore(number, state):
                node.application.restore(state)
                self._compare(node, number)
            case effects.Compact():
                return events.LogCompacted()
            case effects.Departed():
                node.has_departed = True
        return None

    def _deliver(self, node, number, entry):
        if number != node.application.number + 1:
            raise BrokenRuleError("order", f"{node.name} delivers change {number} after {node.application.number}")
        if self.entries.setdefault(number, entry) != entry:
            raise BrokenRuleError(
                "order",
                f"{node.name} delivers {entry!r} as change {number}, another node delivered {self.entries[number]!r}",
            )
        self.delivered_at.setdefault(number, self.now)
        node.application.apply(number, entry)

    def _compare(self, node, number):
        digest = 0
        for index in range(1, number + 1):
            digest = hash_of(digest, self.entries.get(index, b""))
        if (node.application.number, node.application.digest) != (number, digest):
            raise BrokenRuleError(
                "snapshot",
                f"{node.name} restores a snapshot of change {number} that differs from the state after that change",
            )

    def deliver_next(self, link) -> bool:
        """Delivers the oldest message of a link; returns False if there is none or the receiver is suspended."""
        sender, receiver = link
        node = self.nodes[receiver]
        if not self.links[link] or node.is_frozen:
            return False
        message = self.links[link].popleft()
        if node.is_running:
            self.handle(receiver, MessageReceived(sender, self.nodes[sender].address, message))
        return True

    def sync(self, name: str):
        """Makes the oldest pending write of a node durable and reports it to the replica."""
        node = self.nodes[name]
        done = self._write(node)
        if done is not None and node.is_running:
            self.handle(name, done)

    def _write(self, node):
        verb, records, done = node.writes.popleft()
        if verb == "replace":
            node.durable.clear()
        node.durable.extend(read_back(record) for record in records)
        return done

    # rounds of ticks and deliveries -------------------------------------------------------------------------------

    def tick(self, seconds: float):
        """Advances the clock and sends a tick to every process that is not suspended; departed processes end."""
        self.now += timedelta(seconds=seconds)
        for name, node in self.nodes.items():
            if node.is_running and not node.is_frozen:
                addresses = tuple(other.address for other in self.nodes.values())
                self.handle(name, events.Tick(addresses))
        for node in self.nodes.values():
            if node.has_departed and node.is_running:
                self.crash(node.name)

    def settle(self, is_reversed: bool = False):
        """Delivers messages and syncs writes until none is left that may proceed."""
        links = sorted(self.links, reverse=is_reversed)
        for _ in range(MAX_PASSES):
            moved = False
            for link in links:
                if link not in self.held and self.deliver_next(link):
                    moved = True
            for name, node in self.nodes.items():
                if node.writes and not node.is_stalled and not node.is_frozen:
                    self.sync(name)
                    moved = True
            if not moved:
                return
        raise BrokenRuleError("endless", "the replicas never stop exchanging messages")

    def propose(self, name: str):
        """Proposes the next change at one node, or counts it as skipped if the node does not run."""
        node = self.nodes[name]
        if not node.is_running or node.is_frozen:
            self.skipped += 1
        else:
            self.proposals += 1
            self.handle(name, events.ProposalMade((CHANGE, self.proposals)))

    def propose_somewhere(self):
        """Proposes a change at the nodes in round-robin order."""
        names = sorted(self.nodes)
        self.propose(names[(self.proposals + self.skipped) % len(names)])

    def delivered_proposals(self):
        """Yields the proposal numbers of all delivered changes."""
        for entry in self.entries.values():
            change = read_entry(entry)
            if change[0] == CHANGE:
                yield change[1]

    def hold(self, name: str, is_out: bool, is_in: bool):
        """Blocks the outgoing and/or incoming links of a node; their messages stay queued."""
        for link in self.links:
            if (is_out and link[0] == name) or (is_in and link[1] == name):
                self.held.add(link)

    def drop_held(self):
        """Drops all messages that are queued on blocked links."""
        for link in self.held:
            self.links[link].clear()

    def end_faults(self):
        """Ends all faults: releases links, resumes processes and disks, and restarts stopped and leaving nodes."""
        self.held.clear()
        for name, node in self.nodes.items():
            node.is_frozen = node.is_stalled = False
            if node.is_running and node.replica.state.is_leaving:
                self.crash(name)
            if not node.is_running:
                self.start(name)

    # invariants -----------------------------------------------------------------------------------

    def active_nodes(self) -> list:
        """Returns the nodes whose process runs and is not suspended."""
        return [node for node in self.nodes.values() if node.is_running and not node.is_frozen]

    def leaders(self) -> list:
        """Returns the nodes that lead with a valid lease."""
        return [
            node for node in self.active_nodes() if node.replica.role == "leading" and node.replica.is_fresh(self.now)
        ]

    def check(self, name: str):
        """Checks the invariants after this node handled an event; raises BrokenRuleError."""
        node, replica = self.nodes[name], self.nodes[name].replica
        committed = max(self.entries, default=0)
        if replica.role == "leading" and replica.log.end < committed:
            raise BrokenRuleError(
                "lost",
                f"{name} leads view {replica.view} with a log up to {replica.log.end}, "
                f"but change {committed} has been delivered",
            )
        if replica.is_fresh(self.now):
            self._check_fresh(node, committed)
        leaders = self.leaders()
        if len(leaders) > 1:
            raise BrokenRuleError(
                "leaders", f"{' and '.join(leader.name for leader in leaders)} hold a leader lease at the same time"
            )

    def _check_fresh(self, node, committed):
        is_leading = node.replica.role == "leading"
        bound = NO_TIME if is_leading else FRESH_FOR
        acknowledged = max((number for number, at in self.delivered_at.items() if at <= self.now - bound), default=0)
        if node.application.number < acknowledged:
            raise BrokenRuleError(
                "stale",
                f"{node.name} ({node.replica.role}) reports its state as fresh at change {node.application.number}, "
                f"but {acknowledged} was delivered more than {bound.total_seconds()} s earlier",
            )

    def check_durable(self):
        """Checks that every delivered change is on the disks of a majority of the voters.

        Skipped without a leader or after the loss of a disk.
        """
        committed = max(self.entries, default=0)
        leaders = self.leaders()
        if not leaders or self.lost_disks:
            return
        holding = {name for name, node in self.nodes.items() if durable_end(node.durable) >= committed}
        for voters in groups_of(leaders[0].replica.state.voting_members):
            if len(holding & voters) < len(voters) // 2 + 1:
                raise BrokenRuleError(
                    "durable",
                    f"change {committed} was delivered but is only on the disks of {sorted(holding)}, of the voters "
                    f"{sorted(voters)}",
                )


def read_back(record):
    """Returns a record as it would be read back from disk."""
    return as_tuples(msgspec.json.decode(msgspec.json.encode(record)))


def as_tuples(value):
    """Converts lists to tuples recursively, because the storage returns tuples."""
    if isinstance(value, list):
        return tuple(as_tuples(item) for item in value)
    if isinstance(value, dict):
        return {name: as_tuples(item) for name, item in value.items()}
    return value


def durable_end(records) -> int:
    """Returns the number of the last log entry that the records of a disk contain."""
    end = 0
    for record in records:
        if record[0] == "snapshot":
            end = record[1]
        elif record[0] == "view":
            end = record[3] - 1 + len(record[4])
        elif record[0] == "entries":
            end = record[2] - 1 + len(record[3])
    return end


def hash_of(digest: int, entry: bytes) -> int:
    """Returns the next digest of a chain; unlike `hash`, it is the same in every process."""
    return int.from_bytes(msgspec.json.encode([digest, entry.decode()]), "big") % (2**61 - 1)
