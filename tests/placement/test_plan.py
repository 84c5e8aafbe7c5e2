"""Tests of the placement plan: replica pairs in two zones within memory, and adapters within the slots."""

from sumachook.placement.plan import plan_adapters, plan_pairs
from tests.placement.plan_fixtures import catalogue_and_servers


def test_replica_pairs_are_in_two_zones_within_memory_and_stable():
    """The replicas of six busy models are in two zones and fit in memory; the plan stays unchanged until a zone is
    evacuated."""
    catalogue, servers = catalogue_and_servers()
    demand = {f"m{place:02}": 20.0 - place for place in range(8)}
    pairs = plan_pairs(catalogue, servers, (), (), demand, {}, {})
    for place in range(6):
        primary, secondary = pairs[f"m{place:02}"]
        assert servers[primary]["area"] != servers[secondary]["area"]
    used = {}
    for pair in pairs.values():
        for server in filter(None, pair):
            used[server] = used.get(server, 0) + 4.0
    assert all(amount <= 40.0 for amount in used.values())
    held = {server: {} for server in servers}
    for model, pair in pairs.items():
        for server in filter(None, pair):
            held[server][model] = "ready"
    assert plan_pairs(catalogue, servers, (), (), demand, pairs, held) == pairs
    moved = plan_pairs(catalogue, servers, ("a",), (), demand, pairs, held)
    assert not any(servers[server]["area"] == "a" for pair in moved.values() for server in filter(None, pair))


def test_adapters_stay_within_the_slots_of_their_servers():
    """Each server gets at most as many adapters as it has slots, in order of demand."""
    catalogue, servers = catalogue_and_servers()
    pairs = plan_pairs(catalogue, servers, (), (), {}, {}, {})
    wanted = plan_adapters(catalogue, servers, pairs, {"x07": 5.0})
    assert all(len(names) <= 4 for names in wanted.values())
    assert "x07" in wanted[pairs["m07"][0]]
