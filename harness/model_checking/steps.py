"""Steps of the exhaustive search and its starting states."""

from enum import StrEnum

import msgspec

from harness.model_checking.cluster import FOUNDERS, Cluster
from sumachook.consensus import events

ROUND_SECONDS = 0.2  # seconds between two ticks
PAUSE_SECONDS = 0.9  # seconds during which no process runs
ROUNDS_TO_STABLE_VIEW = 12
ELECTION_ROUNDS = 10
UNREPLICATED_CHANGES = 5  # more changes than the next view commits before one of its members crashes


class Kind(StrEnum):
    """Kinds of steps; the values are the names in recorded counter-examples."""

    TICK = "tick"
    SETTLE = "settle"
    SETTLE_REVERSED = "settle in reverse"
    DELIVER = "deliver one message"
    DROP = "drop one message"
    SYNC = "sync one write"
    ISOLATE = "hold all links of"
    BLOCK_INBOUND = "hold all links to"
    BLOCK_OUTBOUND = "hold all links from"
    REJOIN = "release all links"
    LOSE_HELD = "lose what is held"
    CRASH = "crash"
    CRASH_SYNCED = "crash, all writes kept"
    START = "start"
    FREEZE = "freeze"
    WAKE = "wake"
    STALL = "stall the disk of"
    UNSTALL = "the disk goes on of"
    LEAVE = "ask to leave"
    PAUSE = "nobody runs for a while"


class Step(msgspec.Struct, frozen=True):
    """One step; `node` and `other` are empty if its kind does not use them."""

    kind: Kind
    node: str = ""
    other: str = ""


def enabled(cluster: Cluster) -> list:
    """Returns the deviations, that is all steps outside of a fault-free round, that have an effect in this state."""
    steps = [Step(Kind.PAUSE)]
    for (sender, receiver), messages in cluster.links.items():
        if messages and not cluster.nodes[receiver].is_frozen:
            steps += [Step(Kind.DELIVER, sender, receiver), Step(Kind.DROP, sender, receiver)]
    for name, node in cluster.nodes.items():
        steps += _steps_of_node(name, node)
    if cluster.held:
        steps.append(Step(Kind.REJOIN))
        if any(cluster.links[link] for link in cluster.held):
            steps.append(Step(Kind.LOSE_HELD))
    else:
        steps += [
            Step(kind, name)
            for kind in (Kind.ISOLATE, Kind.BLOCK_INBOUND, Kind.BLOCK_OUTBOUND)
            for name in cluster.nodes
        ]
    if sum(map(len, cluster.links.values())) > 1:
        steps.append(Step(Kind.SETTLE_REVERSED))
    return steps


def _steps_of_node(name, node):
    if not node.is_running:
        return [Step(Kind.START, name)]
    steps = [Step(Kind.CRASH, name), Step(Kind.WAKE if node.is_frozen else Kind.FREEZE, name)]
    steps.append(Step(Kind.UNSTALL if node.is_stalled else Kind.STALL, name))
    if not node.replica.state.is_leaving and not node.is_frozen:
        steps.append(Step(Kind.LEAVE, name))
    if node.writes:
        steps += [Step(Kind.CRASH_SYNCED, name), Step(Kind.SYNC, name)]
    return steps


def execute(cluster: Cluster, step: Step):
    """Executes one step; raises `BrokenRuleError` if it breaks a rule."""
    match step.kind:
        case Kind.TICK:
            cluster.tick(ROUND_SECONDS)
            cluster.propose_somewhere()
        case Kind.PAUSE:
            cluster.tick(PAUSE_SECONDS)
        case Kind.SETTLE | Kind.SETTLE_REVERSED:
            cluster.settle(step.kind is Kind.SETTLE_REVERSED)
            cluster.check_durable()
        case Kind.DELIVER:
            cluster.deliver_next((step.node, step.other))
        case Kind.DROP:
            cluster.links[(step.node, step.other)].popleft()
        case Kind.ISOLATE | Kind.BLOCK_INBOUND | Kind.BLOCK_OUTBOUND:
            cluster.hold(
                step.node, is_out=step.kind is not Kind.BLOCK_INBOUND, is_in=step.kind is not Kind.BLOCK_OUTBOUND
            )
        case Kind.REJOIN:
            cluster.held.clear()
        case Kind.LOSE_HELD:
            cluster.drop_held()
        case _:
            _execute_at_node(cluster, step)


def _execute_at_node(cluster: Cluster, step: Step):
    """Executes a step that affects a single node."""
    node = cluster.nodes[step.node]
    match step.kind:
        case Kind.SYNC:
            cluster.sync(step.node)
        case Kind.CRASH | Kind.CRASH_SYNCED:
            cluster.crash(step.node, len(node.writes) if step.kind is Kind.CRASH_SYNCED else 0)
        case Kind.START:
            cluster.start(step.node)
        case Kind.FREEZE | Kind.WAKE:
            node.is_frozen = step.kind is Kind.FREEZE
        case Kind.STALL | Kind.UNSTALL:
            node.is_stalled = step.kind is Kind.STALL
        case Kind.LEAVE:
            cluster.handle(step.node, events.LeaveRequested())


# starting states of a search ------------------------------------------------------------------------


def calm_view() -> Cluster:
    """Three replicas in a stable view that commits changes; "a" leads."""
    cluster = Cluster()
    for name in FOUNDERS:
        cluster.start(name)
    run_rounds(cluster, ROUNDS_TO_STABLE_VIEW)
    return cluster


def run_rounds(cluster: Cluster, rounds: int):
    """Runs `rounds` rounds, each a tick and the delivery of all messages."""
    for _ in range(rounds):
        execute(cluster, Step(Kind.TICK))
        execute(cluster, Step(Kind.SETTLE))


def leader_cut_off() -> Cluster:
    """The leader has been partitioned for 0.4 s; messages on its links stay queued."""
    cluster = calm_view()
    execute(cluster, Step(Kind.ISOLATE, "a"))
    run_rounds(cluster, 2)
    return cluster


def view_change_begun() -> Cluster:
    """The leader has crashed, and a candidate prepares the next view."""
    cluster = calm_view()
    execute(cluster, Step(Kind.CRASH, "a"))
    for _ in range(20):
        execute(cluster, Step(Kind.TICK))
        if any(node.is_running and node.replica.role == "preparing" for node in cluster.nodes.values()):
            break
        execute(cluster, Step(Kind.SETTLE))
    return cluster


def newcomer_caught_up() -> Cluster:
    """A fourth replica has caught up, and a voter has been down for almost the time after which it is replaced."""
    cluster = calm_view()
    cluster.add("d")
    cluster.start("d")
    execute(cluster, Step(Kind.CRASH, "c"))
    run_rounds(cluster, 8)
    return cluster


def voting_members_step_begun() -> Cluster:
    """As `newcomer_caught_up`, with the replacement of the missing voter in progress."""
    cluster = newcomer_caught_up()
    for _ in range(10):
        execute(cluster, Step(Kind.TICK))
        if any(
            node.is_running and len(node.replica.voting_members) != len(FOUNDERS) for node in cluster.nodes.values()
        ):
            break
        execute(cluster, Step(Kind.SETTLE))
    return cluster


def leader_leaving() -> Cluster:
    """The leader was asked to leave, and a fourth replica has caught up."""
    cluster = calm_view()
    cluster.add("d")
    cluster.start("d")
    run_rounds(cluster, 6)
    execute(cluster, Step(Kind.LEAVE, "a"))
    return cluster


def followers_disks_stalled() -> Cluster:
    """The disks of both followers have stalled for one round, with a change in progress."""
    cluster = calm_view()
    execute(cluster, Step(Kind.STALL, "b"))
    execute(cluster, Step(Kind.STALL, "c"))
    run_rounds(cluster, 1)
    return cluster


def followers_started_anew_behind_a_cut() -> Cluster:
    """The leader is partitioned and both followers have just restarted, while its lease is still valid."""
    cluster = calm_view()
    execute(cluster, Step(Kind.ISOLATE, "a"))
    for name in ("b", "c"):
        execute(cluster, Step(Kind.CRASH_SYNCED, name))
        execute(cluster, Step(Kind.START, name))
    return cluster


def member_back_from_a_long_cut() -> Cluster:
    """A member was partitioned for 1.2 s with its messages queued; the others continued without it, and its links
    deliver again.
    """
    cluster = calm_view()
    execute(cluster, Step(Kind.ISOLATE, "c"))
    run_rounds(cluster, 6)
    execute(cluster, Step(Kind.REJOIN))
    return cluster


def member_back_after_the_others_went_on_without_it() -> Cluster:
    """As `member_back_from_a_long_cut`, but the partition lasted longer than the time that a fresh member may lag, and
    changes were committed without the member; heartbeats from before the partition arrive only now.
    """
    cluster = calm_view()
    execute(cluster, Step(Kind.ISOLATE, "c"))
    run_rounds(cluster, ELECTION_ROUNDS)
    execute(cluster, Step(Kind.REJOIN))
    return cluster


def old_leader_with_a_longer_log() -> Cluster:
    """A former leader restarts with entries that no other replica has; one member of the next view is still running."""
    cluster = calm_view()
    execute(cluster, Step(Kind.ISOLATE, "a"))
    for _ in range(UNREPLICATED_CHANGES):
        cluster.propose("a")
    run_rounds(cluster, ELECTION_ROUNDS)
    execute(cluster, Step(Kind.LOSE_HELD))
    execute(cluster, Step(Kind.REJOIN))
    execute(cluster, Step(Kind.CRASH_SYNCED, "a"))
    execute(cluster, Step(Kind.CRASH_SYNCED, "b"))
    execute(cluster, Step(Kind.START, "a"))
    return cluster


BEGINNINGS = {
    make.__name__: make
    for make in (
        calm_view,
        leader_cut_off,
        view_change_begun,
        newcomer_caught_up,
        voting_members_step_begun,
        leader_leaving,
        followers_disks_stalled,
        followers_started_anew_behind_a_cut,
        member_back_from_a_long_cut,
        member_back_after_the_others_went_on_without_it,
        old_leader_with_a_longer_log,
    )
}
