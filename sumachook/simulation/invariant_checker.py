"""Checks the product's invariants from what clients and simulated servers recorded, not from the router itself."""

from bisect import bisect_left
from collections.abc import Iterator
from datetime import timedelta
from typing import Any

from sumachook.simulation.model import EVENTS_PER_RUN
from sumachook.simulation.probe import KNOWN, UNKNOWN
from sumachook.simulation.reachability import Path

SECOND = timedelta(seconds=1)
MAX_LEAVING_DELAY = SECOND * 3.6  # three seconds, and up to half a second between two reads of the server list
MAX_APPLY_DELAY = SECOND * 2
SETTLING_TIME = SECOND * 3
RETRY_RATIO, SAVED_RETRIES = 0.2, 4.0  # per call, and the credit an edge may save up (docs/design/inference.md)
WINDOWS = (1, 3, 10, 30, 60)
MIN_STORE_TIME, MIN_RELAY_TIME = SECOND / 2, SECOND * 2.5


class InvariantChecker:
    """Lists violations of the numbered rules of docs/design/simulation.md without asking the router."""

    __slots__ = ("deployment", "callers")

    def __init__(self, deployment: Any, callers: Any) -> None:
        self.deployment, self.callers = deployment, callers

    def faults(self) -> list[str]:
        """Runs all checks and returns a line for each violation, prefixed with the name of the check."""
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
        """Returns the calls of all clients in the deployment, including those of additional load."""
        return [
            call
            for box in self.deployment.boxes.values()
            if box.role == "callers" and box.machine
            for call in box.machine.calls
        ]

    def runs_of(self, call: Any) -> int:
        """Returns how many times servers ran this call, over all servers."""
        return sum(record.runs.get(call.tag, 0) for record in self.deployment.records.values())

    def _runs(self) -> Iterator[str]:
        """Rule 1: a prompt that is not safe to repeat runs at most once, and none runs that was answered `run: no`.

        The same holds for all calls of a caller with the same idempotency key together.
        """
        by_key: dict[Any, Any] = {}
        for call in self.calls:
            runs = self.runs_of(call) if call.kind == "prompt" else 0
            if call.key:
                by_key[(call.caller, call.key)] = by_key.get((call.caller, call.key), 0) + runs
            if runs > 1 and not call.safe:
                yield f"{call.tag} of {call.group} ran {runs} times"
            if runs and call.run == "no":
                yield f"{call.tag} was answered `run: no` and ran {runs} times"
        yield from (f"key {key} ran {runs} times" for key, runs in by_key.items() if runs > 1)

    def _texts(self) -> Iterator[str]:
        """Rules 2 and 3: an answer is the call's own, from one server, in order, and complete if it looks complete."""
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
                yield f"{call.tag} got text of other calls: {owners}"
            if len(servers) > 1:
                yield f"{call.tag} got text from several servers: {servers}"
            if places != list(range(len(places))):
                yield f"{call.tag} got pieces out of order or incomplete: {places}"
            if call.outcome == "ok" and (len(places) != EVENTS_PER_RUN or call.finish_reason != "stop"):
                yield f"{call.tag} looks complete with {len(places)} pieces"

    def _leaving(self) -> Iterator[str]:
        """Rule 4: a server gets no new requests from 3.6 s after the platform lists it as leaving.

        Only edges that some core could reach during all of that time are checked.
        """
        platform = self.deployment.boxes["platform"].machine
        for server, leaving_periods in (platform.leavings if platform else {}).items():
            for at, until in leaving_periods:
                late = [
                    (when, edge)
                    for when, edge in self.deployment.arrivals.get(server, ())
                    if at + MAX_LEAVING_DELAY < when < (until or when + SECOND)
                    and self.deployment.reachability.was_unbroken(
                        Path.SERVER_LIST, edge, when - MAX_LEAVING_DELAY, when
                    )
                ]
                if late:
                    last_at, last_edge = late[-1]
                    yield f"{server}, leaving since {at}, got {len(late)} requests, last at {last_at} from {last_edge}"

    def _obeys(self) -> Iterator[str]:
        """Rule 5: all reachable edges apply a change within two seconds of its acknowledgement, and none reverts it.

        The answers of the edges to the probe show whether they did.
        """
        probe, seen = self.deployment.probe, set()
        for edge, at, key, status, incarnation, wanted, since in sorted(
            probe.answers if probe else (), key=lambda answer: answer[1]
        ):
            if status not in (KNOWN, UNKNOWN):
                continue  # the edge serves no requests at the moment
            if status == wanted:
                seen.add((edge, incarnation, key, wanted, since))
            elif (edge, incarnation, key, wanted, since) in seen:
                yield f"{edge} reverted a change by {at}: key {key} gives {status} again, acknowledged at {since}"
            elif at >= since + MAX_APPLY_DELAY and self.deployment.reachability.was_unbroken(
                Path.ORDER_AND_ANSWER, edge, since - SETTLING_TIME, at + SECOND / 10
            ):
                yield f"{edge} has not applied a change by {at}: key {key} gives {status}, acknowledged at {since}"

    def evacuations(self) -> list[Any]:
        """Returns (zone, start, end) of each period in which an evacuated zone may get no new requests.

        It starts five seconds after the order or three after its acknowledgement, whichever is later, and ends with
        the next restore order. The times are those that the operator's client recorded.
        """
        found = []
        for path, doc, sent_at, acked_at, status in self.deployment.orders:
            if path == "/operator/evacuate" and status == 200:
                restored_at = [
                    other[2]
                    for other in self.deployment.orders
                    if other[0] == "/operator/restore" and other[1]["area"] == doc["area"] and other[2] >= acked_at
                ]
                found.append(
                    (
                        doc["area"],
                        max(sent_at + SECOND * 5, acked_at + SECOND * 3),
                        min(restored_at, default=self.deployment.now),
                    )
                )
        return found

    def _evacuated(self) -> Iterator[str]:
        """Rule 6: neither the servers nor the edges of an evacuated zone accept new requests."""
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
                    yield f"{name} in {zone}, evacuated from {start}, got {len(late)} requests, the last {late[-1]}"
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
                yield f"{zone}, evacuated from {start}, admitted {len(entered)} calls, the last {last}"

    def _is_inside_alone(self, edge: Any, zone: str, at: timedelta) -> Any:
        """Returns whether the edge is in the zone and no core could send it orders.

        Such an edge may serve the clients that are cut off with it (docs/design/changefeed.md).
        """
        inside = edge in self.deployment.boxes and self.deployment.boxes[edge].zone == zone
        return inside and not self.deployment.reachability.was_unbroken(Path.ORDER, edge, at - SETTLING_TIME, at)

    def resends(self) -> Any:
        """Returns (first attempts, retries) of all edges together, counted on the network."""
        retries = sum(is_again for _, is_again, _ in self.deployment.attempts)
        return len(self.deployment.attempts) - retries, retries

    def _resends(self) -> Iterator[str]:
        """Rule 7: in every window, retries are at most a fifth of the calls plus the credit saved up by all edges.

        It is checked over all calls, and for each kind with half of the saved credit, because calls of one kind pay
        for no retries of the other. A call counts from the time when its client sent it: that is the real traffic.
        Calls that were queued before the window are covered by the saved credit.
        """
        kinds = {call.kind for call in self.calls}
        yield from self._resends_of(kinds, SAVED_RETRIES)
        for kind in sorted(kinds):
            yield from self._resends_of({kind}, SAVED_RETRIES / 2)

    def _resends_of(self, kinds: set[str], saved: float) -> Iterator[str]:
        edges = sum(box.role == "edge" for box in self.deployment.boxes.values())
        retries_at = [at for at, is_again, kind in self.deployment.attempts if is_again and kind in kinds]
        made = sorted(call.sent_at for call in self.calls if call.kind in kinds)
        for window in WINDOWS:
            for place, start in enumerate(retries_at):
                end = start + SECOND * window
                resent = bisect_left(retries_at, end) - place
                real = bisect_left(made, end) - bisect_left(made, start - SECOND)
                if resent > RETRY_RATIO * real + saved * edges + 1e-6:
                    yield f"{resent} retries in {window} s from {start}, with {real} calls of kinds {sorted(kinds)}"
                    return

    def unaccounted(self) -> list[Any]:
        """Rule 12: returns the calls that ended late or failed and are missing in the log of the day they arrived on.

        Not counted are calls of unknown callers, calls that reached no node, and calls to an edge that had no chance
        to store a record: from the call to its death it was never connected for half a second to two cores that store
        records, nor for 2.5 s to an edge that was. If the edge was not ready, both spans start when it was, since
        until then it knew of no such core.
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
        """Returns the day logs that may have the call: by the true time, two if it came within 1 s before midnight."""
        return {
            f"day-{(self.deployment.start_time + call.sent_at + SECOND * slack).date().isoformat()}.jsonl"
            for slack in (0, 1)
        }

    def _should_be_logged(self, call: Any) -> bool:
        if call.outcome == "pending" or call.fault_class in ("refused", "connect-timeout", "unknown-caller"):
            return False
        if call.outcome == "ok":
            return bool(call.ended_at - call.sent_at > call.patience)
        return not self.could_not_be_recorded(call)

    def could_not_be_recorded(self, call: Any) -> bool:
        """Returns whether the call's edge died before any disk had a record of the call, and could not store one."""
        died_at = [at for name, at in self.deployment.deaths if name == call.edge and at >= call.sent_at]
        if not died_at or any(call.tag in box.disk.synced_tags for box in self.deployment.boxes.values()):
            return False
        knew_at = call.sent_at if call.fault_class != "not-ready" else self._ready_after(call)
        span = (call.edge, min(knew_at, *died_at), min(died_at))
        was_reachable_for = self.deployment.reachability.was_ever_unbroken_for
        return not (
            was_reachable_for(MIN_STORE_TIME, Path.STORE_RECORDS, *span)
            or was_reachable_for(MIN_RELAY_TIME, Path.RELAY_RECORDS, *span)
        )

    def _ready_after(self, call: Any) -> Any:
        """Returns when the call's edge, not ready at the time, first served a later call.

        Only from then on did the edge know of cores that store records.
        """
        return min(
            (
                other.sent_at
                for other in self.calls
                if other.edge == call.edge and other.sent_at > call.sent_at and other.status not in (None, 503)
            ),
            default=self.deployment.now,
        )

    def _warm(self) -> Iterator[str]:
        """Rule 8: while a model or a cold server warms up, the requests that it runs or queues stay within a bound.

        The requests of all edges count together.
        """
        for name, record in self.deployment.records.items():
            for what, at, age, busy, most in record.floods[:1]:
                yield f"{name} had {busy} requests for {what} at {at:.2f}, {age:.2f} s after ready, at most {most}"

    def _orders(self) -> Iterator[str]:
        """Rule 9: no load exceeds a server's memory or adapter places, and its fencing tokens never decrease."""
        for name, record in self.deployment.records.items():
            yield from record.broken
            fences = [fence for _, fence, _, _ in record.orders]
            if fences != sorted(fences):
                yield f"{name} accepted orders under decreasing fencing tokens: {fences}"

    def _store(self) -> Iterator[str]:
        """Rule 10: in every window, no more gigabytes of loads start than the store's pace and burst allow."""
        store = self.deployment.spec.catalogue["store"]
        loads = sorted(load for record in self.deployment.records.values() for load in record.loads)
        for start in range(len(loads)):
            begun = 0.0
            for at, size, _ in loads[start:]:
                begun += size
                if begun > store["burst"] + store["pace"] * (at - loads[start][0]) + 1e-6 + store["pace"] * 0.1:
                    yield f"{begun:.1f} GB of loads started within {at - loads[start][0]:.2f} s"
                    return


def _was_admitted(call: Any) -> bool:
    """Returns whether a node admitted the call, that is, did not refuse it as evacuated, draining or not ready."""
    if call.outcome == "pending" or call.status is None:
        return False
    return not (call.run == "no" and call.fault_class in ("evacuated", "draining", "not-ready"))
