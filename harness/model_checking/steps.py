"""What may happen between two rounds of a cluster, and what the search begins with."""

from enum import StrEnum

import msgspec

from harness.model_checking.cluster import FOUNDERS, Cluster
from sumachook.consensus import events

ROUND = 0.2  # seconds between two ticks
PAUSE = 0.9  # seconds in which no process runs
STEPS_TO_BEGIN = 12
ROUNDS_OF_AN_ELECTION = 10
UNSHARED_CHANGES = 5  # more than the view that follows takes before one of its members falls


class Kind(StrEnum):
    """What a step does."""

    TICK = "tick"
    SETTLE = "settle"
    SETTLE_REVERSED = "settle in reverse"
    DELIVER = "deliver one message"
    DROP = "drop one message"
    SYNC = "sync one write"
    ISOLATE = "hold all links of"
    DEAFEN = "hold all links to"
    MUTE = "hold all links from"
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
    """One step; `node` and `other` as far as its kind has them."""

    kind: Kind
    node: str = ""
    other: str = ""


def enabled(cluster: Cluster) -> list:
    """The steps, other than the next round, that change something now."""
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
        steps += [Step(kind, name) for kind in (Kind.ISOLATE, Kind.DEAFEN, Kind.MUTE) for name in cluster.nodes]
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


def take(cluster: Cluster, step: Step):
    """Carries one step out; raises `BrokenRuleError` where a rule is broken."""
    match step.kind:
        case Kind.TICK:
            cluster.tick(ROUND)
            cluster.propose_somewhere()
        case Kind.PAUSE:
            cluster.tick(PAUSE)
        case Kind.SETTLE | Kind.SETTLE_REVERSED:
            cluster.settle(step.kind is Kind.SETTLE_REVERSED)
            cluster.check_durable()
        case Kind.DELIVER:
            cluster.deliver_next((step.node, step.other))
        case Kind.DROP:
            cluster.links[(step.node, step.other)].popleft()
        case Kind.ISOLATE | Kind.DEAFEN | Kind.MUTE:
            cluster.hold(step.node, is_out=step.kind is not Kind.DEAFEN, is_in=step.kind is not Kind.MUTE)
        case Kind.REJOIN:
            cluster.held.clear()
        case Kind.LOSE_HELD:
            cluster.lose_held()
        case _:
            _take_at_node(cluster, step)


def _take_at_node(cluster: Cluster, step: Step):
    """Carries out a step that concerns one node alone."""
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


# where a search begins ------------------------------------------------------------------------


def calm_view() -> Cluster:
    """Three replicas in a view that takes changes; "a" leads."""
    cluster = Cluster()
    for name in FOUNDERS:
        cluster.start(name)
    go_on(cluster, STEPS_TO_BEGIN)
    return cluster


def go_on(cluster: Cluster, rounds: int):
    """So many rounds without trouble."""
    for _ in range(rounds):
        take(cluster, Step(Kind.TICK))
        take(cluster, Step(Kind.SETTLE))


def leader_cut_off() -> Cluster:
    """The leader was cut off 0.4 s ago, with late delivery."""
    cluster = calm_view()
    take(cluster, Step(Kind.ISOLATE, "a"))
    go_on(cluster, 2)
    return cluster


def view_change_begun() -> Cluster:
    """The leader is down, and somebody stands for leader."""
    cluster = calm_view()
    take(cluster, Step(Kind.CRASH, "a"))
    for _ in range(20):
        take(cluster, Step(Kind.TICK))
        if any(node.is_running and node.replica.role == "preparing" for node in cluster.nodes.values()):
            break
        take(cluster, Step(Kind.SETTLE))
    return cluster


def newcomer_caught_up() -> Cluster:
    """A fourth replica knows everything, and a voter has been away for nearly as long as it may."""
    cluster = calm_view()
    cluster.add("d")
    cluster.start("d")
    take(cluster, Step(Kind.CRASH, "c"))
    go_on(cluster, 8)
    return cluster


def voting_members_step_begun() -> Cluster:
    """As before, and the roster is being changed."""
    cluster = newcomer_caught_up()
    for _ in range(10):
        take(cluster, Step(Kind.TICK))
        if any(
            node.is_running and len(node.replica.voting_members) != len(FOUNDERS) for node in cluster.nodes.values()
        ):
            break
        take(cluster, Step(Kind.SETTLE))
    return cluster


def leader_leaving() -> Cluster:
    """The leader was told to end, and a newcomer stands ready."""
    cluster = calm_view()
    cluster.add("d")
    cluster.start("d")
    go_on(cluster, 6)
    take(cluster, Step(Kind.LEAVE, "a"))
    return cluster


def followers_disks_stalled() -> Cluster:
    """The disks of both followers have stood still for a moment, with a change under way."""
    cluster = calm_view()
    take(cluster, Step(Kind.STALL, "b"))
    take(cluster, Step(Kind.STALL, "c"))
    go_on(cluster, 1)
    return cluster


def followers_started_anew_behind_a_cut() -> Cluster:
    """The leader is cut off, and both others were started anew right then; its lease still runs."""
    cluster = calm_view()
    take(cluster, Step(Kind.ISOLATE, "a"))
    for name in ("b", "c"):
        take(cluster, Step(Kind.CRASH_SYNCED, name))
        take(cluster, Step(Kind.START, name))
    return cluster


def member_back_from_a_long_cut() -> Cluster:
    """A member was cut off for 1.2 s with late delivery; the others have gone on without it, and its links deliver
    again.
    """
    cluster = calm_view()
    take(cluster, Step(Kind.ISOLATE, "c"))
    go_on(cluster, 6)
    take(cluster, Step(Kind.REJOIN))
    return cluster


def member_back_after_the_others_went_on_without_it() -> Cluster:
    """As before, but the cut was long enough for changes without the member that are older than what a fresh member may
    lack; the heartbeats of the leader's lease from before the cut arrive now.
    """
    cluster = calm_view()
    take(cluster, Step(Kind.ISOLATE, "c"))
    go_on(cluster, ROUNDS_OF_AN_ELECTION)
    take(cluster, Step(Kind.REJOIN))
    return cluster


def old_leader_with_a_longer_log() -> Cluster:
    """An old leader comes back with changes that nobody else has; of the view that followed only one member is left."""
    cluster = calm_view()
    take(cluster, Step(Kind.ISOLATE, "a"))
    for _ in range(UNSHARED_CHANGES):
        cluster.propose("a")
    go_on(cluster, ROUNDS_OF_AN_ELECTION)
    take(cluster, Step(Kind.LOSE_HELD))
    take(cluster, Step(Kind.REJOIN))
    take(cluster, Step(Kind.CRASH_SYNCED, "a"))
    take(cluster, Step(Kind.CRASH_SYNCED, "b"))
    take(cluster, Step(Kind.START, "a"))
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
