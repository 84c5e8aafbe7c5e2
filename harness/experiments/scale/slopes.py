"""Linear regression of the measured figures against the fleet size."""

from statistics import linear_regression


class Slopes:
    """`take({nodes: summary})` fits a line to each figure at rest and when busy.

    It returns {"role, mechanism": {"rest" | "busy": {figure: [value at 0 nodes, slope per node]}}}.

    >>> run = lambda nodes: {"edge, feed": {"rest": {"sent bytes": 10.0 + 2 * nodes}, "busy": {"sent bytes": 1.0}}}
    >>> Slopes().take({nodes: run(nodes) for nodes in (30, 100)})["edge, feed"]
    {'rest': {'sent bytes': [10.0, 2.0]}, 'busy': {'sent bytes': [1.0, 0.0]}}
    """

    __slots__ = ()

    def take(self, runs: dict) -> dict:
        sizes = sorted(runs)
        found = {}
        for key, first in (runs[sizes[0]] if sizes else {}).items():
            found[key] = {
                what: {
                    figure: self._fit(sizes, [runs[nodes][key][what][figure] for nodes in sizes])
                    for figure in first[what]
                }
                for what in ("rest", "busy")
            }
        return found

    def _fit(self, sizes, values) -> list:
        if len(sizes) < 2:
            return [round(values[0], 6), 0.0]
        slope, base = linear_regression(sizes, values)
        return [round(base, 6), round(slope, 8)]
