"""The independent check of the rules, from what callers and stand-ins saw."""

from datetime import timedelta

from sumachook.guise.model import EVENTS

SECOND = timedelta(seconds=1)


class Witness:
    """`faults()` lists what broke a rule; it never asks the router (§12.4)."""

    __slots__ = ("town", "callers", "evacuations", "leavings", "isolated")

    def __init__(self, town, callers):
        self.town, self.callers = town, callers
        self.evacuations, self.leavings, self.isolated = [], [], []

    def faults(self) -> list:
        checks = (self._runs, self._texts, self._leaving, self._evacuated, self._resends, self._warm, self._orders, self._store)
        return [f"{check.__name__[1:]}: {fault}" for check in checks for fault in check()]

    def runs_of(self, call) -> int:
        return sum(record.runs.get(call.tag, 0) for record in self.town.records.values())

    def _runs(self):
        """Rule 1: an unsafe prompt runs once at most, and "no" means no."""
        for call in self.callers.calls:
            runs = self.runs_of(call) if call.kind == "prompt" else 0
            if runs > 1 and (not call.safe or call.key):
                yield f"{call.tag} of {call.group} ran {runs} times"
            if runs and call.run == "no":
                yield f"{call.tag} was told that it did not run, and ran {runs} times"

    def _texts(self):
        """Rules 2 and 3: one server, in order, one's own, whole when it looks whole."""
        for call in self.callers.calls:
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

    def _leaving(self):
        """Rule 4, with a second for the platform's list to be read."""
        for server, at, until in self.leavings:
            late = [when for when, _ in self.town.arrivals.get(server, ()) if until > when > at + SECOND * 4]
            if late:
                yield f"{server}, leaving since {at}, was given {len(late)} new ones, the last at {late[-1]}"

    def _evacuated(self):
        """Rule 6: nothing enters the area from five seconds after the order's ack to its end."""
        for area, start, end in self.evacuations:
            for server in self.town.city.servers:
                if server["area"] != area:
                    continue
                late = [at for at, edge in self.town.arrivals.get(server["name"], ())
                        if start + SECOND * 5 < at < end and not self._was_isolated_inside(edge, area, at)]
                if late:
                    yield f"{server['name']} in {area}, evacuated at {start}, was given {len(late)}, the last at {late[-1]}"

    def _was_isolated_inside(self, edge, area, at):
        """An edge of the area that nobody could tell: it serves those who are inside with it."""
        inside = edge in self.town.boxes and self.town.boxes[edge].area == area
        return inside and any(name == edge and start <= at <= end for name, start, end in self.isolated)

    def resends(self):
        """(first tries, resends) as the wire saw them, over all edges together."""
        first = sum(count for (role, attempt), count in self.town.tries.items() if attempt == 1)
        return first, sum(self.town.tries.values()) - first

    def _resends(self):
        """Rule 7, with the start's few."""
        first, again = self.resends()
        if again > 0.2 * first + 5:
            yield f"{again} resends over {first} first tries"

    def unaccounted(self) -> list:
        """Rule 12: calls that ended late or not well and are in no day's log of any core.

        Not counted: what never reached a node of ours, and what came in the last moment before its node died or while it was
        frozen before that, if nothing of it ran.
        """
        logged = {row["tag"] for box in self.town.boxes.values() for name, rows in box.disk.files.items()
                  if name.startswith("day-") for row in rows}
        return [call for call in self.callers.calls if call.tag not in logged and self._should_be_logged(call)]

    def _should_be_logged(self, call):
        if call.outcome == "pending" or call.faultClass in ("refused", "connect-timeout"):
            return False
        if call.outcome == "ok":
            return call.endedAt - call.sentAt > call.patience
        diedAt = [at for name, at in self.town.deaths if name == call.edge and at >= call.sentAt]
        wasLastMoment = diedAt and (min(diedAt) - call.sentAt < SECOND / 2 or self._was_frozen(call.edge, call.sentAt))
        return not wasLastMoment or self.runs_of(call) > 0

    def _was_frozen(self, name, at):
        return any(box == name and start - SECOND / 2 <= at <= end for box, start, end in self.town.freezes)

    def _warm(self):
        """Rule 8: no more than a few at once in the first second and a half after a cold load."""
        for name, record in self.town.records.items():
            for model, peak in record.warmPeak.items():
                if peak > 4:
                    yield f"{name} had {peak} of {model} while warming up"

    def _orders(self):
        """Rule 9: no load beyond room; fences only rise at each server."""
        for name, record in self.town.records.items():
            yield from record.broken
            fences = [fence for _, fence, _, _ in record.orders]
            if fences != sorted(fences):
                yield f"{name} took orders under {fences}"

    def _store(self):
        """Rule 10: over every stretch of time, no more was begun than its pace allows."""
        store = self.town.city.catalogue["store"]
        loads = sorted(load for record in self.town.records.values() for load in record.loads)
        for start in range(len(loads)):
            begun = 0.0
            for at, size, _ in loads[start:]:
                begun += size
                if begun > store["burst"] + store["pace"] * (at - loads[start][0]) + 1e-6 + store["pace"] * 0.1:
                    yield f"{begun:.1f} GB begun within {at - loads[start][0]:.2f} s"
                    return
