"""Which edges could be reached while the fleet ran, observed from outside and never asked of the router."""

from bisect import bisect_left
from collections.abc import Collection, Mapping
from datetime import timedelta
from enum import StrEnum
from typing import Any

OBSERVE_EVERY = timedelta(seconds=0.1)  # ten looks within the shortest time that a rule speaks of

Links = Collection[tuple[str, str]]


class Path(StrEnum):
    """What an edge can be reached for.

    `ORDER`: by a running core that forms, with one more such core, both ways, a majority whose disks accept records.
    `ORDER_AND_ANSWER`: the same, and the edge is not frozen.
    `SERVER_LIST`: by any running core that can also reach the platform.
    `STORE_RECORDS`: not frozen, it can send its records to two cores that store them.
    `RELAY_RECORDS`: that, or it can send them to another edge that can.
    """

    ORDER = "order"
    ORDER_AND_ANSWER = "order and answer"
    SERVER_LIST = "server list"
    STORE_RECORDS = "store records"
    RELAY_RECORDS = "relay records"


class Reachability:
    """The times at which an edge could not be reached.

    `observe` is to be called every OBSERVE_EVERY. A restart counts as a break of every path. A frozen edge is excused
    from answering, but not from knowing that it was away: of the paths of orders only ORDER_AND_ANSWER is broken by a
    freeze.
    """

    __slots__ = ("breaks", "incarnations", "since")

    def __init__(self, since: timedelta) -> None:
        self.breaks: dict[tuple[Path, str], list[timedelta]] = {}
        self.incarnations: dict[str, int] = {}
        self.since = since

    def observe(self, boxes: Mapping[str, Any], cuts: Links, now: timedelta) -> None:
        """Notes the paths that are broken now, given all boxes by name and the cut links (from, to)."""
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
            has_restarted = self._has_restarted(edge)  # noted also while the edge is down
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
        """Whether the edge runs in another incarnation than at the last look."""
        is_new: bool = self.incarnations.get(edge.name) != edge.incarnation
        self.incarnations[edge.name] = edge.incarnation
        return is_new

    def was_unbroken(self, path: Path, edge: str, start: timedelta, end: timedelta) -> bool:
        """Whether no break was seen from `start` to `end`; nothing is known of the time before the first look."""
        breaks = self.breaks.get((path, edge), ())
        index = bisect_left(breaks, start)
        return start >= self.since and (index >= len(breaks) or breaks[index] > end)

    def was_ever_unbroken_for(
        self, duration: timedelta, path: Path, edge: str, start: timedelta, end: timedelta
    ) -> bool:
        """Whether between `start` and `end` there was a stretch longer than `duration` without a break."""
        breaks = [at for at in self.breaks.get((path, edge), ()) if start <= at <= end]
        return any(later - sooner > duration for sooner, later in zip([start, *breaks], [*breaks, end], strict=True))


def _are_connected(one: Any, other: Any, cuts: Links) -> bool:
    """Whether two boxes reach each other, both ways."""
    return (one.name, other.name) not in cuts and (other.name, one.name) not in cuts


def _is_running(box: Any) -> bool:
    return box.machine is not None and not box.is_frozen and not box.is_gone
