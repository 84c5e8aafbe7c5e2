"""Records which edges were reachable while the fleet ran, from its links and processes, not from the router."""

from bisect import bisect_left
from collections.abc import Collection, Mapping
from datetime import timedelta
from enum import StrEnum
from typing import Any

OBSERVE_EVERY = timedelta(seconds=0.1)  # ten observations in the shortest period of a rule, one second

Links = Collection[tuple[str, str]]


class Path(StrEnum):
    """The purposes for which an edge may be reachable; every path needs both directions of its links.

    `ORDER`: a running core reaches the edge and forms a majority with another such core; the disks of both accept
    records. `ORDER_AND_ANSWER`: as `ORDER`, and the edge is not frozen. `SERVER_LIST`: any running core that also
    reaches the platform reaches the edge. `STORE_RECORDS`: the edge is not frozen and can send its records to two
    cores that store them. `RELAY_RECORDS`: as `STORE_RECORDS`, or it can send them to another edge that can.
    """

    ORDER = "order"
    ORDER_AND_ANSWER = "order and answer"
    SERVER_LIST = "server list"
    STORE_RECORDS = "store records"
    RELAY_RECORDS = "relay records"


class Reachability:
    """Records the times at which a path to an edge was broken.

    `observe` must be called every OBSERVE_EVERY. A restart breaks every path. A freeze breaks only ORDER_AND_ANSWER of
    the paths of orders, because a frozen edge need not answer, but must notice afterwards that it was frozen.
    """

    __slots__ = ("breaks", "incarnations", "since")

    def __init__(self, since: timedelta) -> None:
        self.breaks: dict[tuple[Path, str], list[timedelta]] = {}
        self.incarnations: dict[str, int] = {}
        self.since = since

    def observe(self, boxes: Mapping[str, Any], cuts: Links, now: timedelta) -> None:
        """Records the paths that are broken now, given all boxes by name and the cut links (from, to)."""
        cores = [box for box in boxes.values() if box.role == "core" and _is_running(box)]
        storing = [core for core in cores if now >= max(core.disk.stalled_until, core.disk.refuses_until)]
        electable = {
            core.name
            for core in storing
            if any(other is not core and _are_connected(core, other, cuts) for other in storing)
        }
        platform = boxes.get("platform")
        readers = [
            core
            for core in cores
            if platform is not None and _is_running(platform) and _are_connected(core, platform, cuts)
        ]
        edges = [box for box in boxes.values() if box.role == "edge"]
        storing_edges = [
            edge
            for edge in edges
            if _is_running(edge) and sum(_are_connected(core, edge, cuts) for core in storing) > 1
        ]
        for edge in edges:
            has_restarted = self._has_restarted(edge)  # recorded also while the edge is down
            is_up = edge.machine is not None and not edge.is_gone and not has_restarted
            is_ordered = is_up and any(core.name in electable and _are_connected(core, edge, cuts) for core in storing)
            can_relay = _is_running(edge) and any(
                edge is other or _are_connected(edge, other, cuts) for other in storing_edges
            )
            is_open = {
                Path.ORDER: is_ordered,
                Path.ORDER_AND_ANSWER: is_ordered and not edge.is_frozen,
                Path.SERVER_LIST: is_up and any(_are_connected(core, edge, cuts) for core in readers),
                Path.STORE_RECORDS: is_up and edge in storing_edges,
                Path.RELAY_RECORDS: is_up and can_relay,
            }
            for path in Path:
                if not is_open[path]:
                    self.breaks.setdefault((path, edge.name), []).append(now)

    def _has_restarted(self, edge: Any) -> bool:
        """Returns whether the edge has another incarnation than at the last observation."""
        is_new: bool = self.incarnations.get(edge.name) != edge.incarnation
        self.incarnations[edge.name] = edge.incarnation
        return is_new

    def was_unbroken(self, path: Path, edge: str, start: timedelta, end: timedelta) -> bool:
        """Returns whether no break was observed from `start` to `end`, and observation had begun by `start`."""
        breaks = self.breaks.get((path, edge), ())
        index = bisect_left(breaks, start)
        return start >= self.since and (index >= len(breaks) or breaks[index] > end)

    def was_ever_unbroken_for(
        self, duration: timedelta, path: Path, edge: str, start: timedelta, end: timedelta
    ) -> bool:
        """Returns whether the path was unbroken for longer than `duration` at some time from `start` to `end`."""
        breaks = [at for at in self.breaks.get((path, edge), ()) if start <= at <= end]
        return any(later - sooner > duration for sooner, later in zip([start, *breaks], [*breaks, end], strict=True))


def _are_connected(one: Any, other: Any, cuts: Links) -> bool:
    """Returns whether two boxes can reach each other in both directions."""
    return (one.name, other.name) not in cuts and (other.name, one.name) not in cuts


def _is_running(box: Any) -> bool:
    return box.machine is not None and not box.is_frozen and not box.is_gone
