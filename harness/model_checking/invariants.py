"""The invariant checker of a walk, apart from the product: what was acknowledged, delivered and vouched for, and which
rule that breaks.
"""

from bisect import bisect_right
from datetime import timedelta

import msgspec

from harness.model_checking import observe

FRESH = timedelta(seconds=0.8)  # a core that vouches for its state lacks nothing that was acknowledged longer ago
NO_TIME = timedelta(0)


class Finding(msgspec.Struct, frozen=True):
    """One broken rule."""

    at: float
    rule: str
    text: str


class Floor:
    """The highest value noted up to a time."""

    __slots__ = ("times", "values")

    def __init__(self):
        self.times, self.values = [], []

    def note(self, at, value):
        """Values that do not rise add nothing."""
        if not self.values or value > self.values[-1]:
            self.times.append(at)
            self.values.append(value)

    def at(self, at):
        """The highest value noted at this time or before, 0 if there is none."""
        place = bisect_right(self.times, at)
        return self.values[place - 1] if place else 0


class ZoneRegister:
    """What operators did to one area, one order after the other."""

    __slots__ = ("orders",)

    def __init__(self):
        self.orders = []

    def expected(self, since):
        """Whether it must be evacuated for all that begins at `since`, or None where that is open."""
        if not self.orders or self.orders[-1].acknowledged_at is None or self.orders[-1].acknowledged_at > since:
            return None
        return self.orders[-1].kind == "evacuate"


class InvariantChecker:
    """Judges one walk; `findings` holds what was broken."""

    def __init__(self):
        self.findings, self.now, self.ignored = [], timedelta(0), frozenset()
        self.entries, self.states = {}, {}  # number -> change, number -> digest of the state after it
        self.taken = {}  # version -> key of the order that made it
        self.taken_at = {}  # key of an order -> when it was first delivered
        self.versions = Floor()  # what was delivered anywhere
        self.acknowledged, self.numbers = Floor(), Floor()  # what operators may rely on: versions, log numbers
        self.acknowledged_keys, self.zones = {}, {}
        self.fences, self.followed = {}, {}
        self.on_acknowledged = lambda attempt: None  # what else is to happen then
        self.counts = {"acknowledged": 0, "refused": 0, "unclear": 0, "reads": 0, "delivered": 0}

    def fail(self, rule: str, text: str):
        """Notes a broken rule, once."""
        if rule not in self.ignored and all(finding.text != text for finding in self.findings):
            self.findings.append(Finding(self.now.total_seconds(), rule, text))

    def zone(self, name: str) -> ZoneRegister:
        """What was done to this area."""
        return self.zones.setdefault(name, ZoneRegister())

    # what cores deliver -----------------------------------------------------------

    def delivered(self, core, number, change, state, now):
        """A core applied change `number`."""
        self.now = now
        if self.entries.setdefault(number, change) != change:
            self.fail(
                "order", f"{core} delivers another change {number}: {change!r:.120}, not {self.entries[number]!r:.120}"
            )
        digest = state_digest(state)
        if number not in self.states:
            self.states[number] = digest
            self.counts["delivered"] += 1
            self._note_first(state, now)
        elif self.states[number] != digest:
            self.fail("order", f"{core} has another state after change {number}")

    def _note_first(self, state, now):
        if state.doc and state.version not in self.taken:
            key = state.doc["extra"].get("order")
            self.taken[state.version], self.taken_at[key] = key, now
            self.versions.note(now, state.version)
        for duty, (holder, fence) in state.role_holders.items():
            if holder and self.fences.setdefault((duty, fence), holder) != holder:
                self.fail("fence", f"{duty} fence {fence} is given to {holder} and to {self.fences[(duty, fence)]}")

    def restored(self, core, number, state, now):
        """A core took a snapshot."""
        self.now = now
        if number in self.states and self.states[number] != state_digest(state):
            self.fail("order", f"{core} takes a snapshot of change {number} that is not its state")

    # what cores say of themselves ---------------------------------------------------

    def look(self, core, now):
        """After each message that a core took."""
        self.now = now
        if not observe.is_fresh(core, now):
            return
        bound = NO_TIME if observe.is_leading(core) else FRESH
        version, number = self.acknowledged.at(now - bound), self.numbers.at(now - bound)
        role = "leads" if observe.is_leading(core) else "is a member"
        if core.state.version < version or core.state.number < number:
            self.fail(
                "stale",
                f"{core.node} ({role}) calls its state fresh at version {core.state.version}, "
                f"change {core.state.number}; "
                f"version {version}, change {number} was acknowledged more than {bound.total_seconds()} s before",
            )

    def look_at_all(self, cores, now):
        """At moments, at all running cores that are not frozen."""
        self.now = now
        leaders = [core.node for core in cores if observe.is_leading(core) and observe.is_fresh(core, now)]
        if len(leaders) > 1:
            self.fail("leaders", f"{' and '.join(leaders)} lead under a lease at the same time")
        holders = {}
        for core in cores:
            for duty, fence in observe.duties_held(core, now).items():
                if holders.setdefault(duty, core.node) != core.node:
                    self.fail(
                        "fence",
                        f"{core.node} and {holders[duty]} hold the lease of {duty} at the same time (fence {fence})",
                    )

    # operators ------------------------------------------------------------------------

    def answered(self, attempt, status, body, now):
        """An operator got an answer, or none (0)."""
        self.now, order = now, attempt.order
        if order.kind == "read":
            self._read_answered(attempt, status, body, now)
        elif status == 200:
            self._acknowledged(order, body, now)
            self.on_acknowledged(attempt)
        elif 400 <= status < 500 and status not in (408, 429):
            self._refused(attempt, status, body, now)
        else:
            self.counts["unclear"] += 1

    def _acknowledged(self, order, body, now):
        self.counts["acknowledged"] += 1
        if order.acknowledged_at is None:
            order.acknowledged_at = now
        self.numbers.note(now, msgspec.json.decode(body).get("number", 0))
        if order.kind != "configure":
            return
        other = self.acknowledged_keys.setdefault(order.version, order.key)
        if other != order.key:
            self.fail("two-acknowledged", f"version {order.version} is acknowledged for {order.key} and for {other}")
        if self.taken.get(order.version) != order.key:
            self.fail(
                "lost",
                f"{order.key} is acknowledged as version {order.version}, which is {self.taken.get(order.version)}",
            )
        self.acknowledged.note(now, order.version)

    def _refused(self, attempt, status, body, now):
        order = attempt.order
        self.counts["refused"] += 1
        if order.key in self.taken_at and self.taken_at[order.key] <= attempt.sent_at:
            self.fail(
                "refused-resend",
                f"{order.key} was taken at {self.taken_at[order.key]}, sent again at {attempt.sent_at}, "
                f"refused with {status} {body[:150]!r}",
            )
        elif order.kind == "configure" and order.version > order.base and not order.is_invalid:
            before, after = self.versions.at(attempt.sent_at), self.versions.at(now)
            if before == after == order.base:
                self.fail(
                    "wrong-refusal",
                    f"{order.key} on base {order.base}, which was current all the while, "
                    f"is refused with {status} {body[:150]!r}",
                )
        if order.kind != "configure" and self.versions.at(attempt.sent_at):
            self.fail("wrong-refusal", f"{order.key} ({order.kind}) is refused with {status} {body[:150]!r}")
        if order.acknowledged_at is None and order.refused_at is None:
            order.refused_at = now

    def _read_answered(self, attempt, status, body, now):
        if status != 200:
            return
        shown = msgspec.json.decode(body)
        if shown.get("stale"):
            return
        self.counts["reads"] += 1
        attempt.order.acknowledged_at = now
        if "catalogue" in shown:
            self._judge_catalogue(attempt, shown, now)
        else:
            self._judge_servers(attempt, shown)

    def _judge_catalogue(self, attempt, shown, now):
        """The configuration is read back linearizably."""
        floor, version = self.acknowledged.at(attempt.sent_at), (shown["catalogue"] or {}).get("version", 0)
        number = self.numbers.at(attempt.sent_at)
        if version < floor or shown["number"] < number:
            self.fail(
                "stale-read",
                f"a read sent at {attempt.sent_at} shows version {version}, change {shown['number']}; version {floor}, "
                f"change {number} was acknowledged or read before",
            )
        if version and version not in self.taken:
            self.fail("stale-read", f"a read shows version {version}, which nobody delivered")
        self.acknowledged.note(now, version)
        self.numbers.note(now, shown["number"])

    def _judge_servers(self, attempt, shown):
        """What else a core shows is its own state, which may be as old as a fresh core's."""
        since = attempt.sent_at - FRESH
        if shown["number"] < self.numbers.at(since):
            self.fail("stale-read", f"at {attempt.sent_at} a core shows change {shown['number']} as fresh")
        for zone, register in self.zones.items():
            expected = register.expected(since)
            if expected is not None and (zone in shown["evacuated"]) != expected:
                wanted = "evacuate" if expected else "restore"
                self.fail(
                    "overtaken", f"the last order for {zone}, acknowledged before, was to {wanted} it, and it is not so"
                )

    # followers of the feed ----------------------------------------------------------------

    def followed_to(self, follower, number, state, now):
        """A follower of the feed stands at this number."""
        self.now = now
        if number < self.followed.get(follower, 0):
            self.fail("feed", f"{follower} goes back from {self.followed[follower]} to {number}")
        self.followed[follower] = number
        if number and self.states.get(number) != state_digest(state):
            self.fail("feed", f"{follower} has another state after change {number} than the cores")


def state_digest(state) -> bytes:
    """What must be the same wherever a change was applied."""
    order = state.doc["extra"].get("order") if state.doc else None
    routes = len(state.doc.get("httpRoutes", ())) if state.doc else 0
    return msgspec.json.encode(
        (
            state.version,
            state.generation,
            order,
            routes,
            state.evacuated,
            state.role_holders,
            sorted(state.voting_members.items()),
        )
    )
