"""The independent check of the rules, from what callers and stand-ins saw."""

from bisect import bisect_left
from collections.abc import Iterator
from datetime import timedelta
from typing import Any

from sumachook.simulation.model import EVENTS
from sumachook.simulation.probe import KNOWN, UNKNOWN
from sumachook.simulation.reachability import Path

SECOND = timedelta(seconds=1)
LEAVING_WITHIN = SECOND * 3.6  # three seconds, and the half in which the list may lie unread
OBEY_WITHIN = SECOND * 2
SETTLED = SECOND * 3
RATIO, STOCK = 0.2, 4.0  # docs/design/inference.md: a fifth, and what an edge may have saved up
WINDOWS = (1, 3, 10, 30, 60)
LAST_MOMENT, CARRIED_WITHIN = SECOND / 2, SECOND * 2.5


class InvariantChecker:
    """`faults()` lists what broke a rule; it never asks the router (docs/design/simulation.md)."""

    __slots__ = ("deployment", "callers")

    def __init__(self, deployment: Any, callers: Any) -> None:
        self.deployment, self.callers = deployment, callers

    def faults(self) -> list[str]:
        """What broke a rule, a line each, with the name of the check."""
        checks = (
            self._runs,
            self._texts,
            self._leaving,
            self._obeys,
            self._evacuated,
            self._resends,
            self._warm,
            self._orders,
            self._store,
        )
        return [f"{check.__name__[1:]}: {fault}" for check in checks for fault in check()]

    @property
    def calls(self) -> list[Any]:
        """Of all callers in the town: a crowd is judged like everybody."""
        return [
            call
            for box in self.deployment.boxes.values()
            if box.role == "callers" and box.machine
            for call in box.machine.calls
        ]

    def runs_of(self, call: Any) -> int:
        """How often servers ran this call."""
        return sum(record.runs.get(call.tag, 0) for record in self.deployment.records.values())

    def _runs(self) -> Iterator[str]:
        """Rule 1: an unsafe prompt runs once at most, whoever repeats its key, and "no" means no."""
        by_key: dict[Any, Any] = {}
        for call in self.calls:
            runs = self.runs_of(call) if call.kind == "prompt" else 0
            if call.key:
                by_key[(call.caller, call.key)] = by_key.get((call.caller, call.key), 0) + runs
            if runs > 1 and not call.safe:
                yield f"{call.tag} of {call.group} ran {runs} times"
            if runs and call.run == "no":
                yield f"{call.tag} was told that it did not run, and ran {runs} times"
        yield from (f"key {key} ran {runs} times" for key, runs in by_key.items() if runs > 1)

    def _texts(self) -> Iterator[str]:
        """Rules 2 and 3: one server, in order, one's own, whole when it looks whole."""
        for call in self.calls:
            if call.kind == "lookup":
                if call.outcome == "ok" and not call.text.endswith(str(call.number)):
                    yield f"{call.tag} got {call.text}"
                continue
            pieces = [piece for piece in call.text.replace(call.tag, call.tag.replace(" ", "_")).split(" ") if piece]
            owners = {piece.split("/")[0] for piece in pieces}
            servers = {piece.split("/")[1] for piece in pieces}
            places = [int(piece.split("/")[2]) for piece in pieces]
            if owners - {call.tag.replace(" ", "_")}:
                yield f"{call.tag} got another's answer {owners}"
            if len(servers) > 1:
                yield f"{call.tag} is stitched from {servers}"
            if places != list(range(len(places))):
                yield f"{call.tag} has places {places}"
            if call.outcome == "ok" and (len(places) != EVENTS or call.finish != "stop"):
                yield f"{call.tag} looks whole with {len(places)} pieces"

    def _leaving(self) -> Iterator[str]:
        """Rule 4, from the platform's listing on, for every edge that some core could notify all the while."""
        platform = self.deployment.boxes["platform"].machine
        for server, load_times in (platform.leavings if platform else {}).items():
            for at, until in load_times:
                late = [
                    (when, edge)
                    for when, edge in self.deployment.arrivals.get(server, ())
                    if at + LEAVING_WITHIN < when < (until or when + SECOND)
                    and self.deployment.reachability.was_unbroken(Path.SERVER_LIST, edge, when - LEAVING_WITHIN, when)
                ]
                if late:
                    last_at, last_edge = late[-1]
                    yield f"{server}, leaving since {at}, got {len(late)} new, the last at {last_at} by {last_edge}"

    def _obeys(self) -> Iterator[str]:
        """Rule 5, by what edges answer to the probe.

        Two seconds after an ack all that can be reached obey, and none goes back.
        """
        probe, seen = self.deployment.probe, set()
        for edge, at, key, status, incarnation, wanted, since in sorted(
            probe.notes if probe else (), key=lambda note: note[1]
        ):
            if status not in (KNOWN, UNKNOWN):
                continue  # it serves nobody just now
            if status == wanted:
                seen.add((edge, incarnation, key, wanted, since))
            elif (edge, incarnation, key, wanted, since) in seen:
                yield f"{edge} slipped back at {at}: key {key} gives {status} again, against the ack at {since}"
            elif at >= since + OBEY_WITHIN and self.deployment.reachability.was_unbroken(
                Path.ORDER_AND_ANSWER, edge, since - SETTLED, at + SECOND / 10
            ):
                yield f"{edge} does not obey at {at}: key {key} gives {status}, against the ack at {since}"

    def evacuations(self) -> list[Any]:
        """By the operators' own notes: (area, from when nothing may enter, until).

        Nothing may enter from five seconds after the order, or three after its ack.
        """
        found = []
        for path, doc, sent_at, acked_at, status in self.deployment.orders:
            if path == "/operator/evacuate" and status == 200:
                again = [
                    other[2]
                    for other in self.deployment.orders
                    if other[0] == "/operator/restore" and other[1]["area"] == doc["area"] and other[2] >= acked_at
                ]
                found.append(
                    (
                        doc["area"],
                        max(sent_at + SECOND * 5, acked_at + SECOND * 3),
                        min(again, default=self.deployment.now),
                    )
                )
        return found

    def _evacuated(self) -> Iterator[str]:
        """Rule 6: nothing enters the area, neither a server nor an edge's door."""
        for zone, start, end in self.evacuations():
            for server in self.deployment.spec.servers:
                if server["area"] != zone:
                    continue
                late = [
                    (at, edge)
                    for at, edge in self.deployment.arrivals.get(server["name"], ())
                    if start < at < end and not self._is_inside_alone(edge, zone, at)
                ]
                if late:
                    name = server["name"]
                    yield f"{name} in {zone}, evacuated from {start}, was given {len(late)}, the last at {late[-1]}"
            entered = [
                call
                for call in self.calls
                if start < call.sent_at < end
                and self.deployment.boxes[call.edge].zone == zone
                and _was_admitted(call)
                and not self._is_inside_alone(call.edge, zone, call.sent_at)
            ]
            if entered:
                last = f"{entered[-1].tag} at {entered[-1].edge}"
                yield f"{zone}, evacuated from {start}, let in {len(entered)} calls, the last {last}"

    def _is_inside_alone(self, edge: Any, zone: str, at: timedelta) -> Any:
        """An edge of the area that nobody could notify: it serves those inside with it (docs/design/changefeed.md)."""
        inside = edge in self.deployment.boxes and self.deployment.boxes[edge].zone == zone
        return inside and not self.deployment.reachability.was_unbroken(Path.ORDER, edge, at - SETTLED, at)

    def resends(self) -> Any:
        """(first tries, resends) as the wire saw them, over all edges together."""
        again = sum(is_again for _, is_again, _ in self.deployment.tries)
        return len(self.deployment.tries) - again, again

    def _resends(self) -> Iterator[str]:
        """Rule 7, in every window: a fifth of the calls of that time, and what all edges may have saved up before it.

        Judged over all calls, and by kind with half of the stock: calls of one kind pay for no resends of the other.
        A call counts when its caller made it: that is the real traffic. What was lined up before the window is in the
        stock.
        """
        kinds = {call.kind for call in self.calls}
        yield from self._resends_of(kinds, STOCK)
        for kind in sorted(kinds):
            yield from self._resends_of({kind}, STOCK / 2)

    def _resends_of(self, kinds: set[str], stock: float) -> Iterator[str]:
        edges = sum(box.role == "edge" for box in self.deployment.boxes.values())
        again = [at for at, is_again, kind in self.deployment.tries if is_again and kind in kinds]
        made = sorted(call.sent_at for call in self.calls if call.kind in kinds)
        for window in WINDOWS:
            for place, start in enumerate(again):
                end = start + SECOND * window
                resent = bisect_left(again, end) - place
                real = bisect_left(made, end) - bisect_left(made, start - SECOND)
                if resent > RATIO * real + stock * edges + 1e-6:
                    yield f"{resent} resends in {window} s from {start}, with {real} calls: {sorted(kinds)}"
                    return

    def unaccounted(self) -> list[Any]:
        """Rule 12: calls that ended late or not well and are not in the log of the day on which they came in.

        Not counted: strangers, what never reached a node of ours, and what came to an edge that had no chance to hand
        a record in: from then to its death it was never in reach of two keepers for half a second, nor of an edge
        that was for 2.5 s, both counted from when it was ready if it was not, since until then it knew no keeper.
        """
        logged = {
            (row["tag"], name)
            for box in self.deployment.boxes.values()
            for name, rows in box.disk.files.items()
            if name.startswith("day-")
            for row in rows
        }
        return [
            call
            for call in self.calls
            if not {(call.tag, name) for name in self._days(call)} & logged and self._should_be_logged(call)
        ]

    def _days(self, call: Any) -> set[Any]:
        """The day by the world's own clock; a call that came in within a second of midnight may be in either."""
        return {
            f"day-{(self.deployment.dawn + call.sent_at + SECOND * slack).date().isoformat()}.jsonl" for slack in (0, 1)
        }

    def _should_be_logged(self, call: Any) -> bool:
        if call.outcome == "pending" or call.fault_class in ("refused", "connect-timeout", "unknown-caller"):
            return False
        if call.outcome == "ok":
            return bool(call.ended_at - call.sent_at > call.patience)
        return not self.was_last_moment(call)

    def was_last_moment(self, call: Any) -> bool:
        """Whether its edge died before any disk had a record of it and with no chance to have one written."""
        died_at = [at for name, at in self.deployment.deaths if name == call.edge and at >= call.sent_at]
        if not died_at or any(call.tag in box.disk.opened for box in self.deployment.boxes.values()):
            return False
        knew_at = call.sent_at if call.fault_class != "not-ready" else self._ready_after(call)
        span = (call.edge, min(knew_at, *died_at), min(died_at))
        could = self.deployment.reachability.was_ever_unbroken_for
        return not (could(LAST_MOMENT, Path.STORE_RECORDS, *span) or could(CARRIED_WITHIN, Path.RELAY_RECORDS, *span))

    def _ready_after(self, call: Any) -> Any:
        """When its edge, not ready then, served somebody: only from then on did it know any keeper."""
        return min(
            (
                other.sent_at
                for other in self.calls
                if other.edge == call.edge and other.sent_at > call.sent_at and other.status not in (None, 503)
            ),
            default=self.deployment.now,
        )

    def _warm(self) -> Iterator[str]:
        """Rule 8, over the warming time and all edges: what a model, and a server that came up cold, has in hand."""
        for name, record in self.deployment.records.items():
            for what, at, age, busy, most in record.floods[:1]:
                yield f"{name} had {busy} of {what} at {at:.2f}, {age:.2f} s after it was ready, at most {most}"

    def _orders(self) -> Iterator[str]:
        """Rule 9: no load beyond room; fences only rise at each server."""
        for name, record in self.deployment.records.items():
            yield from record.broken
            fences = [fence for _, fence, _, _ in record.orders]
            if fences != sorted(fences):
                yield f"{name} took orders under {fences}"

    def _store(self) -> Iterator[str]:
        """Rule 10: over every stretch of time, no more was begun than its pace allows."""
        store = self.deployment.spec.catalogue["store"]
        loads = sorted(load for record in self.deployment.records.values() for load in record.loads)
        for start in range(len(loads)):
            begun = 0.0
            for at, size, _ in loads[start:]:
                begun += size
                if begun > store["burst"] + store["pace"] * (at - loads[start][0]) + 1e-6 + store["pace"] * 0.1:
                    yield f"{begun:.1f} GB begun within {at - loads[start][0]:.2f} s"
                    return


def _was_admitted(call: Any) -> bool:
    """Whether a node let it in: anything but a refusal at the door."""
    if call.outcome == "pending" or call.status is None:
        return False
    return not (call.run == "no" and call.fault_class in ("evacuated", "draining", "not-ready"))
