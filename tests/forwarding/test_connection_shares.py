"""How many connections to one server all edges together may use (docs/design/forwarding.md)."""

import pytest

from tests.forwarding.forwarding_fixtures import PLAIN, Scene, catalogue, server

CONNECTIONS = 240  # that a server takes
MANY_EDGES = 380
SERVER_NAMES = ("r1", "r2", "r3")


def _edges(number, servers=SERVER_NAMES):
    """So many edges before the servers of a service, each of which takes `CONNECTIONS`."""
    doc = catalogue()
    doc["services"][0]["connections"] = CONNECTIONS
    scene = Scene(doc, {name: server("records") for name in servers})
    scene.table.edges = number
    scene.table.refresh()
    return scene


@pytest.mark.parametrize("edges", [CONNECTIONS, 324, MANY_EDGES, 1000])
def test_more_edges_than_a_server_takes_connections_stay_within_its_number(edges):
    """Given more edges than a server takes connections, their parts add up to no more, and use most of it."""
    table = _edges(edges).table
    for name in SERVER_NAMES:
        together = 0
        for rank in range(edges):
            table.rank = rank
            together += table.max_connections("records", name)
        assert 0.8 * CONNECTIONS <= together <= CONNECTIONS


def test_the_edges_that_may_use_a_server_are_others_at_each():
    """Given 380 edges, no two servers are left to the same edges, so that an edge shut out of one finds another."""
    table = _edges(MANY_EDGES).table
    users = {}
    for name in SERVER_NAMES:
        users[name] = set()
        for rank in range(MANY_EDGES):
            table.rank = rank
            if table.max_connections("records", name):
                users[name].add(rank)
    assert len({frozenset(ranks) for ranks in users.values()}) == len(SERVER_NAMES)


def test_requests_of_many_edges_at_once_open_no_more_connections_than_a_server_takes():
    """Given 380 edges with three requests each for one server, what is under way there at once stays within its number."""
    sent = 0
    for rank in range(MANY_EDGES):
        scene = _edges(MANY_EDGES, servers=("r1",))
        scene.table.rank = rank
        for _ in range(3):
            scene.ask(PLAIN)
        sent += len(scene.sends())
    assert 0.8 * CONNECTIONS <= sent <= CONNECTIONS


def test_an_edge_keeps_no_idle_connection_where_its_part_is_less_than_one():
    """Given 380 edges, none keeps a connection that rests beside those in use; nine edges keep some."""
    assert _edges(MANY_EDGES).table.max_kept_connections("records") == 0
    assert _edges(9).table.max_kept_connections("records") > 0
