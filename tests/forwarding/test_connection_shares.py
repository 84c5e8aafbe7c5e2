"""Tests of the number of connections that all edges together use to one server (docs/design/forwarding.md)."""

import pytest

from tests.forwarding.forwarding_fixtures import PLAIN, Scene, catalogue, server

CONNECTIONS = 240  # connections that a server accepts
MANY_EDGES = 380
SERVER_NAMES = ("r1", "r2", "r3")


def _edges(number, servers=SERVER_NAMES):
    """Returns the pipeline of one of `number` edges, with servers that accept `CONNECTIONS` each."""
    doc = catalogue()
    doc["services"][0]["connections"] = CONNECTIONS
    scene = Scene(doc, {name: server("records") for name in servers})
    scene.table.edges = number
    scene.table.refresh()
    return scene


@pytest.mark.parametrize("edges", [CONNECTIONS, 324, MANY_EDGES, 1000])
def test_connection_shares_of_many_edges_stay_within_the_limit_of_a_server(edges):
    """Given at least as many edges as a server accepts connections, their shares add up to at most that number, and to
    80 % of it."""
    table = _edges(edges).table
    for name in SERVER_NAMES:
        together = 0
        for rank in range(edges):
            table.rank = rank
            together += table.max_connections("records", name)
        assert 0.8 * CONNECTIONS <= together <= CONNECTIONS


def test_each_server_is_used_by_different_edges():
    """Given 380 edges, no two servers are used by the same set of edges, so that an edge excluded from one server finds
    another."""
    table = _edges(MANY_EDGES).table
    users = {}
    for name in SERVER_NAMES:
        users[name] = set()
        for rank in range(MANY_EDGES):
            table.rank = rank
            if table.max_connections("records", name):
                users[name].add(rank)
    assert len({frozenset(ranks) for ranks in users.values()}) == len(SERVER_NAMES)


def test_simultaneous_requests_of_many_edges_stay_within_the_connection_limit():
    """Given 380 edges with three requests each for one server, the requests in flight there stay within its connection
    limit."""
    sent = 0
    for rank in range(MANY_EDGES):
        scene = _edges(MANY_EDGES, servers=("r1",))
        scene.table.rank = rank
        for _ in range(3):
            scene.ask(PLAIN)
        sent += len(scene.sends())
    assert 0.8 * CONNECTIONS <= sent <= CONNECTIONS


def test_an_edge_keeps_no_idle_connection_if_its_share_is_below_one():
    """Given 380 edges, none keeps an idle connection to a server; given nine edges, they keep some."""
    assert _edges(MANY_EDGES).table.max_kept_connections("records") == 0
    assert _edges(9).table.max_kept_connections("records") > 0
