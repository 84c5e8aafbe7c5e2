"""Generates the tables of docs/CAPACITY.md from a results file."""

import re

from harness.experiments.scale.mechanism import FEED, LEDGER, NODE, ORDERED, PLACES, REPORTS, REQUESTS, USAGE
from harness.experiments.scale.size import CORES, Size
from harness.experiments.scale.summary import HOST, ROLES, SPENDERS, with_packet_headers

UNIT_MECHANISMS = {
    "request": (LEDGER, USAGE, REQUESTS, NODE, HOST),
    "load": (LEDGER, USAGE, PLACES, REPORTS, REQUESTS),
    "change": (FEED, ORDERED),
    "whole": (FEED, ORDERED),
}
BUDGET = {"core share": 0.018, "memory": 32e6, "bytes": 3000.0}
PART_NAMES = {
    "membership": "membership",
    "cluster_clock": "membership: agreed time",
    "state": "ordered state",
    "consensus": "ordered changes: log",
    "leases": "duties",
    "source": "feed",
    "follower": "feed",
    "replica_store": "ledger",
    "ledger_writer": "ledger",
    "retry_broker": "credit",
    "retry_budget": "credit",
    "provisioner": "usage, orders, what servers hold",
    "inventory_reader": "list",
    "placer": "pairs",
    "api": "operators' orders",
    "places": "places",
    "inference_pipeline": "requests",
    "proxy_pipeline": "requests, own door",
    "rate_limiter": "allowances",
    "quota_lease_issuer": "allowances",
    "quota_usage": "allowances: figures",
}
FORMER_PARTS = {  # component names in results that were measured before the packages were renamed
    "rumour": "membership",
    "almanac": "cluster_clock",
    "accord": "consensus",
    "rota": "leases",
    "keeper": "replica_store",
    "quill": "ledger_writer",
    "accountant": "retry_broker",
    "purse": "retry_budget",
    "watcher": "inventory_reader",
    "desk": "api",
    "transit": "inference_pipeline",
    "ferry": "proxy_pipeline",
    "limiter": "rate_limiter",
    "grantor": "quota_lease_issuer",
    "board": "quota_usage",
}


class Tables:
    """`take(results)` returns {table name: lines}; `put(page, results)` replaces the tables between the page's marks."""

    __slots__ = ()
    _MARK = re.compile(r"(<!-- table ([a-z ]+) -->\n).*?(<!-- end -->)", re.S)

    def take(self, results: dict) -> dict:
        runs = {int(nodes): run for nodes, run in results["runs"].items()}
        return {
            "runs": self._runs(runs),
            "rest": self._rate_table(runs, results["slopes"], "rest"),
            "busy": self._rate_table(runs, results["slopes"], "busy"),
            "request": self._unit_costs(runs, "request"),
            "load": self._unit_costs(runs, "load"),
            "change": self._unit_costs(runs, "change"),
            "whole": self._unit_costs(runs, "whole"),
            "state": self._state(runs),
            "budget": self._budget(runs),
            "acknowledged": self._acknowledged(runs),
            "failures": self._failures(results["failures"]),
            "disk": self._disk(runs),
            "parcels": self._longest_messages(results["failures"]),
        }

    def put(self, page: str, results: dict) -> str:
        tables = self.take(results)
        return self._MARK.sub(lambda found: found[1] + "\n".join(tables[found[2]]) + "\n" + found[3], page)

    # tables ---------------------------------------------------------------------

    def _runs(self, runs):
        lines = _header(
            "nodes",
            "edges, servers, models, adapters",
            "processes",
            "settled after, s",
            "requests: asked, ended well",
            "loads, breaches of room",
        )
        return lines + [
            _row(
                nodes,
                f"{run['edges']}, {run['servers']}, {run['models']}, {run['adapters']}",
                run["processes"],
                run["settledAfter"],
                f"{run['asked']}, {run['ended']}",
                f"{run['loads']}, {run['breaches']}",
            )
            for nodes, run in sorted(runs.items())
        ]

    def _rate_table(self, runs, slopes, what):
        sizes = sorted(runs)
        of = ", ".join(map(str, sizes))
        lines = _header(
            "role, mechanism",
            f"messages sent a second ({of})",
            f"bytes sent a second ({of})",
            f"bytes heard a second ({of})",
            f"% of a core ({of})",
            "slope: bytes sent, heard a second, a node more",
            "slope: % of a core, 100 nodes more",
        )
        for role in ROLES:
            for mechanism in SPENDERS:
                key = f"{role}, {mechanism}"
                each = [runs[nodes]["figures"][key][what] for nodes in sizes]
                if not any(value > 0.00005 for figures in each for value in figures.values()):
                    continue
                fit = slopes[key][what]
                lines.append(
                    _row(
                        key,
                        *(
                            ", ".join(_number(figures[name]) for figures in each)
                            for name in ("sent messages", "sent bytes", "heard bytes")
                        ),
                        ", ".join(f"{figures['core share'] * 100:.2f}" for figures in each),
                        f"{fit['sent bytes'][1]:.2f}, {fit['heard bytes'][1]:.2f}",
                        f"{fit['core share'][1] * 1e4:.3f}",
                    )
                )
        return lines

    def _unit_costs(self, runs, what):
        """Returns the cost of one request, load or change for an edge and for all cores together, by mechanism."""
        sizes = sorted(runs)
        lines = _header(
            "role, mechanism", *(f"{nodes} nodes: messages sent, bytes sent, heard, ms of processor" for nodes in sizes)
        )
        for role in ROLES:
            for mechanism in UNIT_MECHANISMS[what]:
                each = [runs[nodes]["figures"][f"{role}, {mechanism}"][what] for nodes in sizes]
                if not any(abs(value) > 0.0005 for figures in each for value in figures.values()):
                    continue
                name = f"{'an edge' if role == 'edge' else 'all cores'}, {mechanism}"
                lines.append(
                    _row(
                        name,
                        *(
                            f"{_number(figures['sent messages'])}, {_number(figures['sent bytes'])}, {_number(figures['heard bytes'])}, "
                            f"{figures['core share'] * 1000:.2f}"
                            for figures in each
                        ),
                    )
                )
        return lines

    def _state(self, runs):
        sizes = sorted(runs)
        lines = _header("role, part", *(f"bytes at {nodes} nodes" for nodes in sizes))
        for role in ROLES:
            states = [
                {FORMER_PARTS.get(part, part): size for part, size in runs[nodes]["state"][role].items()}
                for nodes in sizes
            ]
            for part in states[0]:
                lines.append(_row(f"{role}, {PART_NAMES[part]}", *(state[part] for state in states)))
        return lines

    def _budget(self, runs):
        sizes = sorted(runs)
        lines = _header(
            "role, what", *(f"{nodes} nodes" for nodes in sizes), "budget a node", f"at {sizes[-1]}, of the budget"
        )
        for role in ROLES:
            for name, what in (("at rest", "rest"), ("under all requests, loads and changes", "busy")):
                totals = [self._total(runs[nodes]["figures"], role, what) for nodes in sizes]
                for unit, place in (
                    ("bytes sent a second", 0),
                    ("bytes sent a second, with packet heads", 1),
                    ("bytes heard a second", 2),
                ):
                    lines.append(
                        _row(
                            f"{role}, {name}: {unit}",
                            *(_number(total[place]) for total in totals),
                            3000,
                            _budget_ratio(totals[-1][place] / BUDGET["bytes"]),
                        )
                    )
                lines.append(
                    _row(
                        f"{role}, {name}: % of a core",
                        *(f"{total[3] * 100:.2f}" for total in totals),
                        1.8,
                        _budget_ratio(totals[-1][3] / BUDGET["core share"]),
                    )
                )
            memory = [runs[nodes]["memory"][role] for nodes in sizes]
            lines.append(
                _row(
                    f"{role}, a real process: MB resident",
                    *(f"{size / 1e6:.1f}" for size in memory),
                    32,
                    _budget_ratio(memory[-1] / BUDGET["memory"]),
                )
            )
        real = [runs[nodes]["realShare"] for nodes in sizes]
        lines.append(
            _row(
                "edge, a real process at rest: % of a core",
                *(f"{share * 100:.2f}" for share in real),
                1.8,
                _budget_ratio(real[-1] / BUDGET["core share"]),
            )
        )
        return lines

    def _total(self, figures, role, what):
        """Returns (bytes sent, bytes sent with packet headers, bytes received, processor share) per second and node.

        "busy" includes the model loads and changes of the target size.
        """
        nodes = CORES if role == "core" else 1
        rates = (
            {"load": Size.TARGET_LOADS_AN_HOUR / 3600 / nodes, "change": Size.TARGET_CHANGES_A_DAY / 86400 / nodes}
            if what == "busy"
            else {}
        )
        total = [0.0, 0.0, 0.0, 0.0]
        for mechanism in SPENDERS:
            each = figures[f"{role}, {mechanism}"]
            for which, rate in ((what, 1.0), *rates.items()):
                own = each[which]
                for place, value in enumerate(
                    (own["sent bytes"], with_packet_headers(own, mechanism), own["heard bytes"], own["core share"])
                ):
                    total[place] += max(0.0, value) * rate
        return total

    def _acknowledged(self, runs):
        lines = _header(
            "nodes",
            "a route more: bytes, seconds until all edges confirmed (least, most)",
            "the whole: bytes, seconds (least, most)",
            "edges that had not confirmed",
        )
        for nodes, run in sorted(runs.items()):
            cells = []
            for is_part in (True, False):
                found = [change for change in run["changes"] if change["isPart"] == is_part]
                load_times = [change["seconds"] for change in found]
                cells.append(f"{found[0]['bytes']}, {min(load_times):.3f} to {max(load_times):.3f}")
            lines.append(_row(nodes, *cells, max(change["unconfirmed"] for change in run["changes"])))
        return lines

    def _disk(self, runs):
        lines = _header(
            "nodes",
            "requests",
            *(f"{name}: bytes, all cores, a request" for name in ("ledger", "day's log")),
            "all files of one core, MB",
        )
        return lines + [
            _row(
                nodes,
                run["asked"],
                *(_number(run["disk"].get(name, 0) / run["asked"]) for name in ("ledger", "day")),
                f"{sum(run['disk'].values()) / CORES / 1e6:.1f}",
            )
            for nodes, run in sorted(runs.items())
        ]

    def _longest_messages(self, failures):
        lines = _header("story", "longest parcels over 1,400 bytes")
        return lines + [
            _row(
                story["story"].replace("_", " "),
                ", ".join(f"{kind} {size}" for kind, size in sorted(story["longest"].items())),
            )
            for story in failures
        ]

    def _failures(self, failures):
        lines = _header(
            "story, span",
            "holds since (virtual seconds, looked at each quarter)",
            "seconds",
            "bytes sent a second, an edge: rest, mean, in the worst second",
            "a core: rest, mean, in the worst second",
            "most of it in the worst second",
        )
        for story in failures:
            names = [
                name
                for name, value in story.items()
                if isinstance(value, dict) and "traffic" in value and name != "rest"
            ]
            for name in names:
                span = story[name]
                until = (
                    ", ".join(
                        f"{what} {'not by the end' if at is None else at}"
                        for what, at in span.get("reached", {}).items()
                    )
                    or "–"
                )
                cells = [
                    ", ".join(
                        _number(
                            _bytes(part["traffic"] if "traffic" in part else part, role)
                            / part.get("seconds", 1)
                            / story["running"][role]
                        )
                        for part in (story["rest"], span, {"traffic": span["peak"] if "peak" in span else {}})
                    )
                    for role in ROLES
                ]
                lines.append(
                    _row(
                        f"{story['story'].replace('_', ' ')}, {name}",
                        until,
                        span["seconds"],
                        *cells,
                        _largest_mechanism(span.get("peak", {})),
                    )
                )
        return lines


def _bytes(traffic, role) -> int:
    return sum(count for name, count in traffic.items() if name.startswith(role + " ") and name.endswith(" bytes"))


def _largest_mechanism(traffic) -> str:
    names = [name for name in traffic if name.endswith(" bytes")]
    return max(names, key=traffic.get).removesuffix(" bytes") if names else "–"


def _header(*cells) -> list:
    return [_row(*cells), "|" + "---|" * len(cells)]


def _row(*cells) -> str:
    return "| " + " | ".join(map(str, cells)) + " |"


def _number(value) -> str:
    """
    >>> _number(0.034), _number(5.26), _number(1234.5)
    ('0.03', '5.3', '1234')
    """
    return f"{value:.2f}" if abs(value) < 1 else f"{value:.1f}" if abs(value) < 100 else f"{value:.0f}"


def _budget_ratio(ratio) -> str:
    return f"{ratio:.1f} times" if ratio >= 0.95 else f"{ratio * 100:.0f}%"
