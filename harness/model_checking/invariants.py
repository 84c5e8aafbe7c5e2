"""Invariant checker of a walk: records acknowledged, delivered and reported states independently of the product and
finds violated rules.
"""

from bisect import bisect_right
from datetime import timedelta

import msgspec

from harness.model_checking import observe

# a state that a core reports as fresh includes every change that was acknowledged longer ago than this
MAX_STALENESS = timedelta(seconds=0.8)
NO_TIME = timedelta(0)


class Finding(msgspec.Struct, frozen=True):
    """One violation of a rule, at a virtual time in seconds."""

    at: float
    rule: str
    text: str


class RunningMaximum:
    """History of a running maximum: the highest value recorded up to any time."""

    __slots__ = ("times", "values")

    def __init__(self):
        self.times, self.values = [], []

    def record(self, at, value):
        """Records a value; a value that does not exceed the maximum is ignored."""
        if not self.values or value > self.values[-1]:
            self.times.append(at)
            self.values.append(value)

    def at(self, at):
        """Returns the highest value recorded at or before this time, 0 if there is none."""
        place = bisect_right(self.times, at)
        return self.values[place - 1] if place else 0


class ZoneOrders:
    """The evacuate and restore orders for one area, in the order in which they were sent."""

    __slots__ = ("orders",)

    def __init__(self):
        self.orders = []

    def expected(self, since):
        """Whether a read sent at `since` must show the area as evacuated; None if that is undetermined."""
        if not self.orders or self.orders[-1].acknowledged_at is None or self.orders[-1].acknowledged_at > since:
            return None
        return self.orders[-1].kind == "evacuate"


class InvariantChecker:
    """Checks the invariants of one walk; `findings` lists the violations."""

    def __init__(self):
        self.findings, self.now, self.ignored = [], timedelta(0), frozenset()
        self.entries, self.states = {}, {}  # number -> change, number -> digest of the state after it
        self.keys_by_version = {}  # version -> key of the order that created it
        self.first_delivered_at = {}  # key of an order -> when it was first delivered
        self.versions = RunningMaximum()  # versions delivered by any core
        # versions and log numbers that were acknowledged to operators
        self.acknowledged, self.numbers = RunningMaximum(), RunningMaximum()
        self.acknowledged_keys, self.zones = {}, {}
        self.fences, self.followed = {}, {}
        self.on_acknowledged = lambda attempt: None  # callback for faults that follow an acknowledgement
        self.counts = {"acknowledged": 0, "refused": 0, "unclear": 0, "reads": 0, "delivered": 0}

    def fail(self, rule: str, text: str):
        """Records a violation, unless the rule is ignored or the same text is already recorded."""
        if rule not in self.ignored and all(finding.text != text for finding in self.findings):
            self.findings.append(Finding(self.now.total_seconds(), rule, text))

    def zone(self, name: str) -> ZoneOrders:
        """Returns the register of orders for this area."""
        return self.zones.setdefault(name, ZoneOrders())

    # changes that cores deliver -----------------------------------------------------------

    def delivered(self, core, number, change, state, now):
        """Checks that a core applied the same change `number`, with the same resulting state, as all other cores."""
        self.now = now
        if self.entries.setdefault(number, change) != change:
            self.fail(
                "order",
                f"{core} delivers a different change {number}: {change!r:.120}, not {self.entries[number]!r:.120}",
            )
        digest = state_digest(state)
        if number not in self.states:
            self.states[number] = digest
            self.counts["delivered"] += 1
            self._record_first_delivery(state, now)
        elif self.states[number] != digest:
            self.fail("order", f"{core} has a state that differs from another core's after change {number}")

    def _record_first_delivery(self, state, now):
        if state.doc and state.version not in self.keys_by_version:
            key = state.doc["extra"].get("order")
            self.keys_by_version[state.version], self.first_delivered_at[key] = key, now
            self.versions.record(now, state.version)
        for duty, (holder, fence) in state.role_holders.items():
            if holder and self.fences.setdefault((duty, fence), holder) != holder:
                self.fail(
                    "fence",
                    f"{duty}: fencing token {fence} is assigned to {holder} and to {self.fences[(duty, fence)]}",
                )

    def restored(self, core, number, state, now):
        """Checks that a snapshot restored by a core equals the state after that change."""
        self.now = now
        if number in self.states and self.states[number] != state_digest(state):
            self.fail(
                "order", f"{core} restores a snapshot of change {number} that differs from the state after that change"
            )

    # states that cores report as fresh, and leases that they hold ---------------------------------------------------

    def check_core(self, core, now):
        """Checks a core after each message: a state reported as fresh has all changes acknowledged by then.

        The bound is 0 s for a leader and 0.8 s (MAX_STALENESS) for a member.
        """
        self.now = now
        if not observe.regards_state_as_fresh(core, now):
            return
        bound = NO_TIME if observe.is_leading(core) else MAX_STALENESS
        version, number = self.acknowledged.at(now - bound), self.numbers.at(now - bound)
        role = "leads" if observe.is_leading(core) else "is a member"
        if core.state.version < version or core.state.number < number:
            self.fail(
                "stale",
                f"{core.node} ({role}) reports its state as fresh at version {core.state.version}, "
                f"change {core.state.number}, "
                f"but version {version}, change {number} was acknowledged more than {bound.total_seconds()} s earlier",
            )

    def check_cores(self, cores, now):
        """Checks that the running cores include at most one leader with a lease and one holder of each role's lease."""
        self.now = now
        leaders = [core.node for core in cores if observe.is_leading(core) and observe.is_fresh(core, now)]
        if len(leaders) > 1:
            self.fail("leaders", f"{' and '.join(leaders)} hold a leader lease at the same time")
        holders = {}
        for core in cores:
            for duty, fence in observe.duties_held(core, now).items():
                if holders.setdefault(duty, core.node) != core.node:
                    self.fail(
                        "fence",
                        f"{core.node} and {holders[duty]} hold the lease of {duty} at the same time "
                        f"(fencing token {fence})",
                    )

    # operators ------------------------------------------------------------------------

    def answered(self, attempt, status, body, now):
        """Checks the response to an operator's request; status 0 stands for a failed call."""
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
        self.numbers.record(now, msgspec.json.decode(body).get("number", 0))
        if order.kind != "configure":
            return
        other = self.acknowledged_keys.setdefault(order.version, order.key)
        if other != order.key:
            self.fail("two-acknowledged", f"version {order.version} was acknowledged for {order.key} and for {other}")
        if self.keys_by_version.get(order.version) != order.key:
            self.fail(
                "lost",
                f"{order.key} was acknowledged as version {order.version}, "
                f"but that version is {self.keys_by_version.get(order.version)}",
            )
        self.acknowledged.record(now, order.version)

    def _refused(self, attempt, status, body, now):
        order = attempt.order
        self.counts["refused"] += 1
        if order.key in self.first_delivered_at and self.first_delivered_at[order.key] <= attempt.sent_at:
            self.fail(
                "refused-resend",
                f"{order.key} was applied at {self.first_delivered_at[order.key]}, resent at {attempt.sent_at} "
                f"and refused with {status} {body[:150]!r}",
            )
        elif order.kind == "configure" and order.version > order.base and not order.is_invalid:
            before, after = self.versions.at(attempt.sent_at), self.versions.at(now)
            if before == after == order.base:
                self.fail(
                    "wrong-refusal",
                    f"{order.key} on base {order.base}, which was the current version throughout, "
                    f"was refused with {status} {body[:150]!r}",
                )
        if order.kind != "configure" and self.versions.at(attempt.sent_at):
            self.fail("wrong-refusal", f"{order.key} ({order.kind}) was refused with {status} {body[:150]!r}")
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
            self._check_catalogue_read(attempt, shown, now)
        else:
            self._check_servers_read(attempt, shown)

    def _check_catalogue_read(self, attempt, shown, now):
        """Checks that reads of the configuration are linearizable."""
        floor, version = self.acknowledged.at(attempt.sent_at), (shown["catalogue"] or {}).get("version", 0)
        number = self.numbers.at(attempt.sent_at)
        if version < floor or shown["number"] < number:
            self.fail(
                "stale-read",
                f"a read sent at {attempt.sent_at} shows version {version}, change {shown['number']}, "
                f"but version {floor}, change {number} was acknowledged or read earlier",
            )
        if version and version not in self.keys_by_version:
            self.fail("stale-read", f"a read shows version {version}, which no core delivered")
        self.acknowledged.record(now, version)
        self.numbers.record(now, shown["number"])

    def _check_servers_read(self, attempt, shown):
        """Checks a read of the servers, answered by a core from its own state, up to 0.8 s (MAX_STALENESS) old."""
        since = attempt.sent_at - MAX_STALENESS
        if shown["number"] < self.numbers.at(since):
            self.fail(
                "stale-read",
                f"a read sent at {attempt.sent_at} shows change {shown['number']}, older than the permitted staleness",
            )
        for zone, register in self.zones.items():
            expected = register.expected(since)
            if expected is not None and (zone in shown["evacuated"]) != expected:
                wanted = "evacuate" if expected else "restore"
                self.fail(
                    "overtaken",
                    f"the last acknowledged order for {zone} was to {wanted} it, but a later read shows the opposite",
                )

    # followers of the feed ----------------------------------------------------------------

    def feed_advanced(self, follower, number, state, now):
        """Checks that a feed follower only advances and has the same state after change `number` as the cores."""
        self.now = now
        if number < self.followed.get(follower, 0):
            self.fail("feed", f"{follower} goes back from change {self.followed[follower]} to {number}")
        self.followed[follower] = number
        if number and self.states.get(number) != state_digest(state):
            self.fail("feed", f"{follower} has a different state after change {number} than the cores")


def state_digest(state) -> bytes:
    """Encodes the parts of the state that must be identical on every node that applied the same change."""
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
