"""Converts the phases of a run to figures per node: by role and mechanism, at rest, per request and per change."""

from statistics import linear_regression

from harness.experiments.scale.mechanism import MECHANISMS, NODE, ON_UDP, PAIRS, REQUESTS, mechanism_of
from harness.experiments.scale.size import CORES, Size
from harness.experiments.scale.socket_run import CHANGES, FULL_CHANGES, RATES

ROLES = ("edge", "core")
FIGURES = ("sent messages", "sent bytes", "heard messages", "heard bytes", "core share")
HOST, UDP_HEADER_BYTES, TCP_HEADER_BYTES = (
    "host",
    28,
    52,
)  # header bytes per message: IP and UDP, or IP, TCP and the length prefix of the node transport
SPENDERS = (*MECHANISMS, PAIRS, REQUESTS, NODE, HOST)


class Summary:
    """`take(run)` returns {"role, mechanism": {"rest" | "busy" | "request" | "load" | "change" | "whole": {figure:
    number}}}.

    Rest and busy are per second and node; request, load, change and whole are per single one of them, for one edge or
    for all cores together. A core share is a fraction of one processor core; per request or change it is seconds of
    processor time. Busy is calculated from rest and request for the full request rate of the size, even if the hosts
    sent fewer requests.
    """

    __slots__ = ()

    def take(self, run: dict) -> dict:
        found = {}
        for role in ROLES:
            rates = {name: _rates(phase, role) for name, phase in run["phases"].items()}
            request_rates = {name: _request_rate(phase, role) for name, phase in run["phases"].items()}
            for mechanism in SPENDERS:
                each = found[f"{role}, {mechanism}"] = {
                    "rest": {figure: round(rates["rest"][mechanism][figure], 5) for figure in FIGURES}
                }
                phases = ["rest", *(f"requests {rate}" for rate in RATES)]
                each["request"] = {
                    figure: round(
                        linear_regression(
                            [request_rates[name] for name in phases],
                            [rates[name][mechanism][figure] for name in phases],
                        ).slope,
                        6,
                    )
                    for figure in FIGURES
                }
                each["busy"] = busy(each, role, Size(run["nodes"]))
                for what, phase, count in (
                    ("load", "loads", run["cold"]),
                    ("change", "changes", CHANGES),
                    ("whole", "wholes", FULL_CHANGES),
                ):
                    seconds = run["phases"][phase]["seconds"]
                    nodes = 3 if role == "core" else 1
                    each[what] = {
                        figure: round(
                            (rates[phase][mechanism][figure] - rates["rest"][mechanism][figure])
                            * seconds
                            / count
                            * nodes,
                            5,
                        )
                        for figure in FIGURES
                    }
        return found


def busy(figures: dict, role: str, size: Size) -> dict:
    """Returns the figures of a node under the full request rate of the size.

    They are its figures at rest plus its part of the cost of all requests: that of one edge, or a third of that of all
    cores. A negative cost per request is noise and counts as 0.

    >>> figures = {"rest": {"sent bytes": 5.0}, "request": {"sent bytes": 3.0}}
    >>> busy(figures, "core", Size(380)), busy({**figures, "request": {"sent bytes": -1.0}}, "edge", Size(380))
    ({'sent bytes': 1105.0}, {'sent bytes': 5.0})
    """
    rate = size.requests / (CORES if role == "core" else size.edges)
    return {
        figure: round(value + max(0.0, figures["request"][figure]) * rate, 5)
        for figure, value in figures["rest"].items()
    }


def _rates(phase, role) -> dict:
    """Returns {mechanism: {figure: value per second and node}} of one phase.

    Processor time outside the measured components counts to the host process.
    """
    parts = phase["cores"] if role == "core" else [phase["edges"]]
    nodes, seconds = sum(part["nodes"] for part in parts), phase["seconds"]
    found = {mechanism: dict.fromkeys(FIGURES, 0.0) for mechanism in SPENDERS}
    for part in parts:
        for way in ("sent", "heard"):
            for name, count in part[way].items():
                kind, _, unit = name.rpartition(" ")
                found[mechanism_of(kind)][f"{way} {unit}"] += count / nodes / seconds
        for mechanism, spent in part["seconds"].items():
            found[mechanism]["core share"] += spent / nodes / seconds
        found[HOST]["core share"] += (part["process"] - sum(part["seconds"].values())) / nodes / seconds
    return found


def _request_rate(phase, role) -> float:
    """Returns the requests per second of one edge, or those of the whole fleet divided by the number of cores.

    With the latter, the slope of a core's figures is the cost of a request for all cores together.
    """
    if role == "edge":
        return phase["edges"]["asked"] / phase["edges"]["nodes"] / phase["seconds"]
    return phase["asked"] / phase["seconds"] / len(phase["cores"])


def with_packet_headers(figures: dict, mechanism: str) -> float:
    """Returns the bytes sent per second including packet headers.

    TCP acknowledgements are piggybacked on responses or not counted.
    """
    return figures["sent bytes"] + figures["sent messages"] * (
        UDP_HEADER_BYTES if mechanism in ON_UDP else TCP_HEADER_BYTES
    )
