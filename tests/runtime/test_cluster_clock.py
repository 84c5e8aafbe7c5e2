"""The cluster time: which votes of wall clocks change it."""

from datetime import timedelta

from sumachook.runtime.cluster_clock import MILLISECOND, UNIX_EPOCH, ClusterClock

SECOND = timedelta(seconds=1)
DAY_MS = 86_400_000


def test_cluster_time_follows_a_majority_and_ignores_outliers_and_buffered_votes():
    """A single wrong wall clock is outvoted; if all clocks disagree, the cluster time does not change; and a vote that may have
    waited in a buffer while this node was paused is not counted."""
    cluster_clock = ClusterClock(lambda: UNIX_EPOCH + timedelta(days=3), SECOND)
    true_ms = 5 * DAY_MS
    for node in "abc":
        cluster_clock.record_vote(node, true_ms, SECOND)
    cluster_clock.on_tick(SECOND)
    assert cluster_clock.is_agreed and cluster_clock.time(SECOND) == UNIX_EPOCH + timedelta(days=5)
    for index, node in enumerate("abc"):
        cluster_clock.record_vote(node, true_ms + (index - 1) * DAY_MS * 9, SECOND * 1.5)
    cluster_clock.on_tick(SECOND * 1.5)
    assert cluster_clock.time(SECOND * 2) == UNIX_EPOCH + timedelta(days=5) + SECOND
    cluster_clock.record_vote("a", true_ms - 10**9, SECOND * 9)
    assert cluster_clock.votes["a"].offset != (true_ms - 10**9) * MILLISECOND - SECOND * 9
