"""Exhaustive search over all sequences of steps up to a bound, from states in which faults are likely to do harm.

A fault-free round is a tick followed by the delivery of all messages. Any other step is a deviation. The search bounds
the number of rounds and the number of deviations and tries every placement of that many deviations. It skips a state
that was visited before with at least as many rounds and deviations left, and one that differs only in follower names.
"""

import pickle
import time

import msgspec

from harness.model_checking.canonical import state_key
from harness.model_checking.cluster import BrokenRuleError, Cluster
from harness.model_checking.steps import BEGINNINGS, ROUND_SECONDS, Kind, Step, enabled, execute, run_rounds

TICK, SETTLE = Step(Kind.TICK), Step(Kind.SETTLE)
RECOVERY_ROUNDS = 25  # rounds in which the cluster must recover: 5 s of virtual time
MAX_LAG = 2  # changes by which a follower may lag behind the leader at any time
SWAPS = {"calm_view": (("b", "c"),), "leader_cut_off": (("b", "c"),)}


class CounterExample(msgspec.Struct, frozen=True):
    """A starting state and the steps from it that break a rule."""

    beginning: str
    steps: tuple[Step, ...]
    rule: str
    text: str
    is_calm_after: bool = False  # whether the rule breaks only in the recovery phase after the steps


class Report(msgspec.Struct):
    """Result of a search: the number of states and recoveries checked, and the counter-example if one was found."""

    beginning: str
    states: int = 0
    duplicates: int = 0
    recoveries: int = 0
    is_complete: bool = True
    found: list[CounterExample] = []


class Search:
    """Depth-first search over all deviations from one starting state."""

    def __init__(self, beginning: str, rounds: int, deviations: int, seconds: float = 1e9, max_states: int = 10**9):
        self.report = Report(beginning, found=[])
        self.rounds, self.deviations, self.max_states = rounds, deviations, max_states
        self.seen, self.recovered = {}, set()
        self.ends_at = time.monotonic() + seconds

    def run(self) -> Report:
        """Searches until all sequences are tried, a rule is broken, or the limit of time or states is reached."""
        cluster = BEGINNINGS[self.report.beginning]()
        is_settled = not any(cluster.links.values())
        self._visit(cluster, 2 * self.rounds - (0 if is_settled else 1), self.deviations, ())
        return self.report

    def _visit(self, cluster: Cluster, left: int, deviations: int, path: tuple):
        """Visits a state and its successors. `left` counts half rounds: with an even number the next one is a tick."""
        if self.report.found or not self._is_within_bounds():
            return
        if self._was_seen(cluster, left, deviations):
            self.report.duplicates += 1
            return
        self.report.states += 1
        if left == 0:
            self._recover(cluster, path)
            return
        packed = cluster.pack()
        self._try_step(cluster, SETTLE if left % 2 else TICK, left - 1, deviations, path)
        if deviations:
            for step in enabled(unpack(packed)):
                self._try_step(unpack(packed), step, left, deviations - 1, path)

    def _is_within_bounds(self):
        if time.monotonic() < self.ends_at and self.report.states < self.max_states:
            return True
        self.report.is_complete = False
        return False

    def _was_seen(self, cluster, left, deviations):
        key = state_key(cluster, SWAPS.get(self.report.beginning, ()))
        tried = self.seen.setdefault(key, [])
        if any(
            left <= other_left and left % 2 == other_left % 2 and deviations <= other for other_left, other in tried
        ):
            return True
        tried.append((left, deviations))
        return False

    def _try_step(self, cluster, step, left, deviations, path):
        if self.report.found:
            return
        path = (*path, step)
        try:
            execute(cluster, step)
        except BrokenRuleError as broken:
            self._record(path, broken, False)
        else:
            self._visit(cluster, left, deviations, path)

    def _recover(self, cluster, path):
        self.report.recoveries += 1
        try:
            recover(cluster)
        except BrokenRuleError as broken:
            self._record(path, broken, True)

    def _record(self, path, broken, is_calm_after):
        self.report.found.append(CounterExample(self.report.beginning, path, broken.rule, broken.text, is_calm_after))


def unpack(packed: bytes) -> Cluster:
    """Deserializes a cluster that `Cluster.pack` returned."""
    return pickle.loads(packed)


def recover(cluster: Cluster):
    """Ends all faults and checks that a new change is committed and that the voters catch up within 5 s.

    Raises BrokenRuleError with the first condition that still fails after RECOVERY_ROUNDS rounds.
    """
    cluster.end_faults()
    first, error = cluster.proposals + 1, None
    for _ in range(RECOVERY_ROUNDS):
        run_rounds(cluster, 1)
        error = _recovery_error(cluster, first)
        if error is None:
            return
    raise error


def _recovery_error(cluster, first) -> BrokenRuleError | None:
    leaders = cluster.leaders()
    if not leaders:
        return BrokenRuleError(
            "no-view", f"no leader with a valid lease {RECOVERY_ROUNDS * ROUND_SECONDS:.0f} s after the faults ended"
        )
    if not any(number >= first for number in cluster.delivered_proposals()):
        return BrokenRuleError("no-change", "no change was committed after the faults ended")
    leader = leaders[0]
    voters = [cluster.nodes[name] for name in leader.replica.voting_members if cluster.nodes[name].is_running]
    behind = [
        node.name
        for node in voters
        if node.application.number < leader.application.number - MAX_LAG and not node.replica.state.is_leaving
    ]
    return (
        BrokenRuleError("catch-up", f"{behind} (voters) have not caught up with change {leader.application.number}")
        if behind
        else None
    )


def replay(example: CounterExample):
    """Replays a counter-example; returns the error of the broken rule, or None if no rule is broken."""
    cluster = BEGINNINGS[example.beginning]()
    try:
        for step in example.steps:
            execute(cluster, step)
        if example.is_calm_after:
            recover(cluster)
    except BrokenRuleError as broken:
        return broken
    return None
