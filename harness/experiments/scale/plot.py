"""Draws the plot of docs/CAPACITY.md: costs of a node by mechanism against the fleet size."""

from pathlib import Path

from harness.experiments.scale.mechanism import MECHANISMS, NODE, PAIRS, REQUESTS
from harness.experiments.scale.summary import HOST, ROLES

SHOWN = (("sent bytes", 1.0, "bytes sent a second"), ("core share", 100.0, "% of a core"))
BUDGET = {"sent bytes": 3000.0, "core share": 1.8}


class Plot:
    """`take(results, file)` draws stacked areas by mechanism against the fleet size.

    For each role, they show the bytes sent and the processor share of a node under full request load.
    """

    __slots__ = ()

    def take(self, results: dict, file: Path):
        import matplotlib

        matplotlib.use("Agg")
        matplotlib.rcParams["svg.hashsalt"] = "capacity"
        from matplotlib import pyplot

        runs = {int(nodes): run["figures"] for nodes, run in results["runs"].items()}
        sizes = sorted(runs)
        figure, axes = pyplot.subplots(len(ROLES), len(SHOWN), figsize=(11, 8), layout="constrained")
        for row, role in zip(axes, ROLES, strict=False):
            for axis, (name, scale, label) in zip(row, SHOWN, strict=False):
                mechanisms = [
                    each
                    for each in (*MECHANISMS, PAIRS, REQUESTS, NODE, HOST)
                    if any(runs[nodes][f"{role}, {each}"]["busy"][name] > 0 for nodes in sizes)
                ]
                heights = [
                    [max(0.0, runs[nodes][f"{role}, {each}"]["busy"][name]) * scale for nodes in sizes]
                    for each in mechanisms
                ]
                axis.stackplot(sizes, heights, labels=mechanisms, colors=pyplot.get_cmap("tab20").colors)
                axis.axhline(BUDGET[name], color="black", linestyle="--", linewidth=1)
                axis.set(title=f"{role}: {label}, under all requests", xlabel="nodes", xticks=sizes)
                axis.legend(fontsize="x-small", loc="upper left")
        figure.savefig(file, metadata={"Date": None})
        pyplot.close(figure)
