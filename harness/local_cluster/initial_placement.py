"""Computes the models that servers of a long-running city hold, by the product's own placement plan."""

from sumachook.configuration.catalogue import read_catalogue
from sumachook.placement.plan import plan_adapters, plan_pairs


def initial_placement(spec) -> dict:
    """Returns {model server: names of its models and adapters} for a city without demand (docs/design/placement.md)."""
    catalogue, _ = read_catalogue(spec.catalogue)
    servers = {server["name"]: {"leaving": False, **server} for server in spec.servers if server["kind"] == "model"}
    pairs = plan_pairs(catalogue, servers, (), (), {}, {}, {})
    adapters = plan_adapters(catalogue, servers, pairs, {})
    return {name: [*(model for model, pair in pairs.items() if name in pair), *adapters[name]] for name in servers}
