"""Schedules of walks: the seed and the timed faults and requests; saving, loading and deterministic replay."""

from datetime import timedelta
from pathlib import Path

import msgspec

from harness.model_checking import observe
from harness.model_checking.choices import AnyChoice, Evacuate, Order, Read, Recover, Resend
from harness.model_checking.control_deployment import ControlDeployment
from harness.model_checking.faults import Faults
from harness.model_checking.invariants import Finding
from harness.model_checking.losses import NEVER, Losses
from harness.model_checking.orders import Orders

CHECK_INTERVAL = 0.05  # seconds between two checks of all machines
VIEW_TIMEOUT = 6.0  # seconds within which a leader is elected after the last fault, if no more than tolerated is lost
CHANGE_TIMEOUT = 5.0  # seconds from the start of the recovery phase within which a change is committed
CATCH_UP_TIMEOUT = 8.0  # seconds from the start of the recovery phase until all voters run and have caught up
RECOVERY_SECONDS = 10.0  # seconds of a recovery phase
MAX_VIEW_CHANGE = timedelta(seconds=1.5)  # longest planned view change
LAG = timedelta(seconds=1)
ORDERS = (Order, Resend, Evacuate, Read)


class Schedule(msgspec.Struct, frozen=True, kw_only=True):
    """The schedule of one walk: the timed choices and the parameters of the deployment.

    `seed` determines the latencies and the cores' jitter, `entries` the log length that triggers a snapshot (0: the
    product's default). `is_wild` permits more transient faults at once than are tolerated. `rule` is the rule that the
    schedule broke when it was recorded.
    """

    seed: int
    voters: int = msgspec.field(default=3, name="seats")
    is_wild: bool = True
    entries: int = 0
    seconds: float
    rule: str = ""
    choices: tuple[AnyChoice, ...]


class Outcome(msgspec.Struct, frozen=True):
    """Result of a walk: violations, counters of events and the length in virtual seconds."""

    findings: tuple[Finding, ...]
    counts: dict
    seconds: float


def load(path) -> Schedule:
    """Reads a schedule from a JSON file."""
    return msgspec.json.decode(Path(path).read_bytes(), type=Schedule)


def save(schedule: Schedule, path):
    """Writes the schedule as JSON with one choice per line."""
    head = msgspec.json.encode(msgspec.structs.replace(schedule, choices=())).decode().removesuffix("[]}")
    lines = ",\n ".join(msgspec.json.encode(choice).decode() for choice in schedule.choices)
    Path(path).write_text(f"{head}[\n {lines}\n]}}\n")


def play(schedule: Schedule, ignored=()) -> Outcome:
    """Plays a schedule to its end or until a rule that is not ignored is broken."""
    with observe.SnapshotBound(schedule.entries):
        return _Player(schedule, ignored).run()


class _Player:
    """Plays one schedule against a deployment and checks the rules every CHECK_INTERVAL seconds."""

    def __init__(self, schedule, ignored=()):
        self.schedule, self.deployment = schedule, ControlDeployment(schedule.seed, schedule.voters)
        self.deployment.invariants.ignored = frozenset(ignored)
        self.losses = Losses(schedule.voters)
        self.faults, self.orders = Faults(self.deployment, self.losses, schedule.is_wild), Orders(self.deployment)
        self.recovery_since, self.probe, self.is_change_committed, self.is_recovered = None, None, False, False
        self.leader_numbers, self.last_leader_at = [], timedelta(0)

    def run(self):
        """Sets up the deployment, plays the choices and returns the outcome."""
        start = self._set_up()
        for choice in self.schedule.choices:
            self.deployment._later(timedelta(seconds=choice.at), self._apply, choice)
        end = start + timedelta(seconds=self.schedule.seconds)
        while self.deployment.now < end and not self.deployment.invariants.findings:
            self.deployment.run(CHECK_INTERVAL)
            self._check()
        seconds = (self.deployment.now - start).total_seconds()
        return Outcome(tuple(self.deployment.invariants.findings), self.deployment.invariants.counts, seconds)

    def _set_up(self):
        deployment, voters = self.deployment, self.schedule.voters
        for _ in range(voters - 3):
            deployment.add_machine()
        for name in deployment.names:
            self.losses.add_machine(name, NEVER)
        first = self.orders.first()
        has_full_view = deployment.run_until(lambda: first.acknowledged_at is not None and self._has_full_view(), 30)
        assert has_full_view, "no view with all voters within 30 s of the start"
        deployment.run(1)
        return deployment.now

    def _has_full_view(self):
        leader = self.deployment.leader()
        return (
            leader is not None
            and len(observe.members(leader)) == len(observe.voting_members(leader)) == self.schedule.voters
        )

    def _apply(self, choice):
        if isinstance(choice, Recover):
            self._begin_recovery()
        elif isinstance(choice, ORDERS):
            self.orders.apply(choice)
        elif self.recovery_since is None:
            self.faults.apply(choice)

    # periodic checks ----------------------------------------------------------------------------

    def _check(self):
        now = self.deployment.now
        self.losses.update(now.total_seconds())
        self.deployment.invariants.check_cores(self.deployment.cores(), now)
        self._check_voting_members()
        if self.recovery_since is not None:
            self._check_recovery()
        elif (
            self.losses.is_stable_for(now.total_seconds(), VIEW_TIMEOUT) and now - self.last_leader_at > MAX_VIEW_CHANGE
        ):
            self.deployment.invariants.fail(
                "no-view",
                f"no leader with a valid lease since {self.last_leader_at}, "
                f"{VIEW_TIMEOUT} s after the last fault began or ended",
            )

    def _check_voting_members(self):
        """Checks that a majority of each group of voters still has its disk."""
        leader = self.deployment.leader()
        if leader is None:
            return
        self.last_leader_at = self.deployment.now
        self.leader_numbers.append((self.deployment.now, leader.state.number))
        alive = set(self.deployment.identities.values())
        for voters in observe.voter_groups(leader):
            gone = voters - alive
            if len(voters) - len(gone) < len(voters) // 2 + 1:
                self.deployment.invariants.fail(
                    "seats", f"of the voters {sorted(voters)}, {sorted(gone)} have lost their disks"
                )

    def _begin_recovery(self):
        self.faults.end_all()
        self.recovery_since, self.probe, self.is_change_committed, self.is_recovered = (
            self.deployment.now,
            None,
            False,
            False,
        )

    def _check_recovery(self):
        recovering_for = (self.deployment.now - self.recovery_since).total_seconds()
        if self.probe is None or self.probe.refused_at is not None:
            self.probe = self.orders.probe()
        self.is_change_committed = self.is_change_committed or self.probe.acknowledged_at is not None
        if recovering_for >= CHANGE_TIMEOUT and not self.is_change_committed:
            self.deployment.invariants.fail(
                "no-change", f"no change was committed within {CHANGE_TIMEOUT} s of the recovery phase"
            )
        reason = self._unrecovered_reason() if recovering_for >= CATCH_UP_TIMEOUT else "checked too early"
        self.is_recovered = self.is_recovered or not reason
        if recovering_for >= RECOVERY_SECONDS:
            self.recovery_since = None
            if not self.is_recovered:
                self.deployment.invariants.fail(
                    "catch-up",
                    f"not recovered from {CATCH_UP_TIMEOUT} s to {RECOVERY_SECONDS} s of the recovery phase: {reason}",
                )

    def _unrecovered_reason(self) -> str:
        """Returns why the cluster has not recovered, or "" if all voters are members of the view and have caught up."""
        leader = self.deployment.leader()
        if leader is None:
            return "no leader with a valid lease"
        number = max((number for at, number in self.leader_numbers if at <= self.deployment.now - LAG), default=0)
        late = [follower for follower, at in self.deployment.invariants.followed.items() if at < number]
        if late:
            return f"{late} (feed followers) have not caught up with change {number}"
        voters, members = sorted(observe.voting_members(leader)), sorted(observe.members(leader))
        if len(voters) != self.schedule.voters or members != voters:
            return f"the voters are {voters}, the members of the view {members}"
        running = {core.node: core.state.number for core in self.deployment.cores()}
        behind = {name: running.get(name, "not running") for name in voters if running.get(name, -1) < number}
        return f"voters behind change {number}: {behind}" if behind else ""
