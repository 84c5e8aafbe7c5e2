"""Seeded random faults over a whole town, then calm; the witness looks on."""

from datetime import timedelta
from random import Random

from sumachook.guise.witness import Witness

FOREVER = timedelta(days=9)


class Storm:
    """`run(seconds)` brings faults about and then calm; `left` says what did not come back (§12.5)."""

    __slots__ = ("town", "callers", "witness", "draw", "told", "undo", "ackedGeneration", "number", "obeyed", "slipped")

    def __init__(self, town, callers, seed: int):
        self.town, self.callers, self.draw = town, callers, Random(seed)
        self.witness, self.told, self.undo, self.number = Witness(town, callers), [], [], 0
        self.ackedGeneration, self.obeyed, self.slipped = 0, {}, []

    def run(self, seconds: float, calm: float = 40.0) -> list:
        kinds = [getattr(self, name) for name in sorted(dir(self)) if name.startswith("_fault_")]
        end = self.town.now + timedelta(seconds=seconds)
        while self.town.now < end:
            kind = self.draw.choice(kinds)
            lasts = self.draw.uniform(0.5, 9.0)
            what = kind(lasts)
            if what:
                self.told.append((round(self.town.now.total_seconds(), 2), what))
            self._go_on(self.draw.uniform(0.3, 3.0))
        self._go_on(10.0)
        for _, undo in self.undo:
            undo()
        self.undo = []
        self.town.heal()
        for box in self.town.boxes.values():
            if box.isFrozen:
                self.town.wake(box.name)
        for box in self.town.boxes.values():
            if box.machine is None and box.role in ("core", "edge", "model", "records"):
                self.town.start(box.name)
        self.town.run(5)
        for area in self.town.city.catalogue["areas"]:  # an order that was not acknowledged may have been carried out
            self._order("/operator/restore", {"area": area})
        self.town.run(calm)
        self.callers.isOn = False
        self.town.run(8)
        lost = [f"accounted: {call.tag} of {call.group} at {call.edge}, {call.outcome} {call.faultClass}, is in no log"
                for call in self.witness.unaccounted()]
        return self.witness.faults() + self.slipped + lost + self.left()

    def _go_on(self, seconds):
        """Time passes in steps, so that what is due to end does."""
        end = self.town.now + timedelta(seconds=seconds)
        while self.town.now < end:
            self.town.run(0.25)
            self._look_for_slips()
            due = [item for item in self.undo if item[0] <= self.town.now]
            self.undo = [item for item in self.undo if item[0] > self.town.now]
            for _, undo in due:
                undo()

    def _look_for_slips(self):
        """Rule 5: what an edge obeys never becomes older while it runs."""
        for edge in self.town.machines("edge"):
            key = (edge.node, edge.boot)
            if edge.state.generation < self.obeyed.get(key, 0):
                self.slipped.append(f"slipped: {edge.node} from {self.obeyed[key]} to {edge.state.generation}")
            self.obeyed[key] = edge.state.generation

    def _later(self, seconds, undo):
        self.undo.append((self.town.now + timedelta(seconds=seconds), undo))

    def left(self) -> list:
        """What is not as it was after the calm."""
        town, found = self.town, []
        leaders = [core for core in town.machines("core") if core.accord.role == "leading"]
        if len(leaders) != 1:
            found.append(f"{len(leaders)} leaders")
        town.run_until(lambda: len({node.state.number for node in town.machines("core") + town.machines("edge")}) == 1, 3)
        numbers = {core.state.number for core in town.machines("core")}
        behind = [edge.node for edge in town.machines("edge") if edge.follower.number < max(numbers)]
        if len(numbers) > 1 or behind:
            found.append(f"cores at {sorted(numbers)}, edges behind: {behind}")
        images = {str(core.state.image()) for core in town.machines("core")}
        if len(images) > 1:
            found.append("cores hold different states")
        if leaders and leaders[0].state.generation < self.ackedGeneration:
            found.append(f"acked generation {self.ackedGeneration}, now {leaders[0].state.generation}")
        if leaders and any(not holder for holder, _ in leaders[0].state.duties.values()):
            found.append(f"duties {leaders[0].state.duties}")
        answered = [call for call in self.callers.calls if call.sentAt > town.now - timedelta(seconds=16) and call.outcome != "pending"]
        bad = [call for call in answered if call.outcome != "ok"]
        if not answered or len(bad) > 0.02 * len(answered):
            found.append(f"{len(bad)} of {len(answered)} calls fail after the calm: "
                         + str(sorted({(call.group, call.outcome, call.faultClass) for call in bad}, key=str)))
        return found

    # faults: each gives a line that tells what it did, or None ------------------------------

    def _one(self, *roles):
        boxes = [box for box in self.town.boxes.values() if box.role in roles and box.machine is not None and not box.isFrozen]
        return self.draw.choice(boxes) if boxes else None

    def _revive(self, name):
        if self.town.boxes[name].machine is None:
            self.town.start(name)

    def _fault_kill_node(self, lasts):
        box = self._one("edge", "core")
        if box is None:
            return None
        self.town.kill(box.name)
        self._later(lasts, lambda: self._revive(box.name))
        return f"{box.name} killed for {lasts:.1f}"

    def _fault_kill_server(self, lasts):
        box = self._one("model", "records")
        if box is None:
            return None
        self.town.kill(box.name)
        self._later(lasts, lambda: self._revive(box.name))
        return f"{box.name} killed for {lasts:.1f}"

    def _fault_vanish(self, lasts):
        box = self._one("edge", "core", "model", "records")
        if box is None:
            return None
        self.town.vanish(box.name)
        self._later(lasts, lambda: self._revive(box.name))
        return f"{box.name} vanished for {lasts:.1f}"

    def _fault_dark(self, lasts):
        box = self._one("model", "records")
        if box is None:
            return None
        machine = box.machine
        machine.isDark = True

        def light():
            machine.isDark = False

        self._later(lasts, light)
        return f"{box.name} dark for {lasts:.1f}"

    def _fault_freeze(self, lasts):
        box = self._one("edge", "core", "edge", "core", "model")
        if box is None:
            return None
        self.town.freeze(box.name)

        def wake():
            if box.isFrozen:
                self.town.wake(box.name)

        self._later(lasts, wake)
        return f"{box.name} frozen for {lasts:.1f}"

    def _cut(self, first, second, oneWay, lasts):
        town, before = self.town, set(self.town.cuts)
        town.cut(first, second, oneWay)
        added = town.cuts - before
        self._later(lasts, lambda: town.cuts.difference_update(added))
        for name in first:
            self.witness.isolated.append((name, town.now, town.now + timedelta(seconds=lasts + 2)))

    def _fault_isolate(self, lasts):
        box = self._one("edge", "core")
        others = [name for name in self.town.boxes if name not in ("operator", "callers")]
        self._cut([box.name] if box else [], others, False, lasts)
        return f"{box.name} isolated for {lasts:.1f}" if box else None

    def _fault_one_way(self, lasts):
        box = self._one("core", "edge")
        if box is None:
            return None
        others = [other.name for other in self.town.boxes.values() if other.role in ("core", "edge")]
        if self.draw.random() < 0.5:
            self._cut([box.name], others, True, lasts)
        else:
            for name in others:
                self._cut([name], [box.name], True, lasts)
        return f"{box.name} cut one way for {lasts:.1f}"

    def _fault_split(self, lasts):
        cores = [box.name for box in self.town.boxes.values() if box.role == "core"]
        edges = [box.name for box in self.town.boxes.values() if box.role == "edge"]
        lone = self.draw.choice(cores)
        side = [lone, *self.draw.sample(edges, len(edges) // 2)]
        rest = [name for name in cores + edges if name not in side]
        self._cut(side, rest, False, lasts)
        return f"{side} split off for {lasts:.1f}"

    def _fault_stall(self, lasts):
        box = self._one("core")
        if box is None:
            return None
        box.disk.stalledUntil = self.town.now + timedelta(seconds=lasts)
        return f"disk of {box.name} stalls for {lasts:.1f}"

    def _fault_jump(self, lasts):
        box = self._one("core", "edge")
        if box is None:
            return None
        box.clock.jump = timedelta(hours=self.draw.uniform(-30, 30))
        return f"wall clock of {box.name} jumps by {box.clock.jump}"

    def _fault_leave(self, lasts):
        platform = self.town.boxes["platform"].machine
        names = [name for name, server in platform.servers.items() if not server["leaving"]]
        if len(names) < 6:
            return None
        name = self.draw.choice(names)
        platform.servers[name]["leaving"] = True

        def back():
            platform.servers[name]["leaving"] = False

        self._later(lasts + 6, back)
        return f"{name} is leaving for {lasts + 6:.1f}"

    def _order(self, path, doc):
        """An operator's order to a core that is up; gives the answer's document if it was acknowledged."""
        core = self._one("core")
        if core is None:
            return None
        self.number += 1
        answer = self.town.ask(core.name, "POST", path, {"request": f"storm-{self.number}", **doc}, 7.0)
        if answer and answer[0] == 200:
            self.ackedGeneration = max(self.ackedGeneration, answer[1]["generation"])
            return answer[1]
        return None

    def _fault_apply(self, lasts):
        target = self.town.city.catalogue["models"][0]["name"]
        routes = [{"name": f"storm-{self.number}-{place}", "target": target} for place in range(self.draw.randrange(1, 60))]
        answer = self._order("/operator/apply", {"doc": {"routes": routes}, "part": True})
        return f"{len(routes)} routes applied: {answer and answer['generation']}"

    def _fault_evacuate(self, lasts):
        if any(end == FOREVER for _, _, end in self.witness.evacuations):
            return None
        area = self.draw.choice(self.town.city.catalogue["areas"])
        if self._order("/operator/evacuate", {"area": area}) is None:
            return f"evacuation of {area} not acknowledged"
        start, place = self.town.now, len(self.witness.evacuations)
        self.witness.evacuations.append((area, start, FOREVER))

        def restore():
            end = self.town.now
            for _ in range(20):
                if self._order("/operator/restore", {"area": area}) is not None:
                    break
                self.town.run(1)
            self.witness.evacuations[place] = (area, start, end)

        self._later(lasts + 6, restore)
        return f"{area} evacuated for {lasts + 6:.1f}"
