"""Slow start of a server, whose limit the edges share."""

from datetime import timedelta

from sumachook.inference.server_window import ServerWindow


def test_slow_start_limits_of_all_edges_sum_to_a_doubling_limit():
    """The slow-start limits of nine edges for a model that became ready sum to two, then double each step up to the slots."""
    server_window, second = ServerWindow(), timedelta(seconds=1)
    totals = [
        sum(server_window.slow_start_limit("m", 16, rank, 9, second * at) for rank in range(9))
        for at in (0, 1, 2, 4, 5, 60)
    ]
    assert totals == [2, 2, 4, 8, 16, 16]
