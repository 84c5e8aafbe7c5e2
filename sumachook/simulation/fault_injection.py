"""Injects seeded random faults into a whole deployment and checks invariants and recovery."""

from collections.abc import Callable
from datetime import timedelta
from functools import partial
from random import Random
from typing import Any

from sumachook.simulation.invariant_checker import InvariantChecker

FOREVER = timedelta(days=9)
MIN_LOSS_INTERVAL = timedelta(seconds=45)
POLICIES = (
    {"hold": "waiting < bound / 2 or line == 'counter'"},
    {"retry": "attempt < 3 and fault != 'overload'"},
    {"evict": "memory if not paired else 0 - demand"},
    {"place": "0.3 if memory > 5 else 0"},
    {"hold": "", "retry": "", "evict": "", "place": ""},
)


class FaultInjection:
    """Injects random faults, then a recovery period or, with `ends_with_total_loss`, the loss of all nodes.

    Returns the violations of invariants that the checker found. docs/design/simulation.md lists the kinds of faults.
    """

    __slots__ = (
        "deployment",
        "callers",
        "invariant_checker",
        "random",
        "injected_faults",
        "pending_undos",
        "acked_generation",
        "number",
        "last_loss_at",
        "retired",
        "probe_key",
        "is_changing",
    )

    injected_faults: list[tuple[float, str]]
    pending_undos: list[tuple[timedelta, Callable[[], object]]]
    retired: set[str]

    def __init__(self, deployment: Any, callers: Any, seed: int) -> None:
        self.deployment, self.callers, self.random = deployment, callers, Random(seed)
        self.invariant_checker, self.injected_faults, self.pending_undos, self.number = (
            InvariantChecker(deployment, callers),
            [],
            [],
            0,
        )
        self.acked_generation, self.last_loss_at, self.retired, self.probe_key, self.is_changing = (
            0,
            -MIN_LOSS_INTERVAL,
            set(),
            "",
            False,
        )
        deployment.probe or deployment.start_probe()

    def run(self, seconds: float, recovery_seconds: float = 40.0, ends_with_total_loss: bool = False) -> list[str]:
        """Injects faults for `seconds`, then a recovery period of `recovery_seconds` seconds or the loss of all nodes.

        Returns the violations of invariants and whatever has not recovered.
        """
        kinds: list[Callable[[float], str | None]] = [
            getattr(self, name) for name in sorted(dir(self)) if name.startswith("_fault_")
        ]
        end = self.deployment.now + timedelta(seconds=seconds)
        while self.deployment.now < end:
            kind = self.random.choice(kinds)
            duration_s = self.random.uniform(0.5, 9.0)
            what = kind(duration_s)
            if what:
                self.injected_faults.append((round(self.deployment.now.total_seconds(), 2), what))
            self._advance(self.random.uniform(0.3, 3.0))
        if ends_with_total_loss:
            return self._kill_all_nodes()
        self._advance(10.0)
        self._end_faults()
        self.deployment.run(5)
        for zone in self.deployment.spec.catalogue["areas"]:  # an unacknowledged order may have been applied
            self._order("/operator/restore", {"area": zone})
        self.deployment.run(recovery_seconds)
        self._stop_callers()
        self.deployment.run(8)
        return self.invariant_checker.faults() + self._unaccounted_calls() + self.unrecovered()

    def _kill_all_nodes(self) -> list[str]:
        """Kills all cores and edges permanently and checks the invariants from what is on their disks."""
        self._advance(self.random.uniform(0.0, 2.0))
        self._stop_callers()
        nodes = [box.name for box in self.deployment.boxes.values() if box.role in ("edge", "core")]
        self.random.shuffle(nodes)
        for name in nodes:
            self.deployment.kill(name)
        self.injected_faults.append(
            (round(self.deployment.now.total_seconds(), 2), "all cores and edges are killed permanently")
        )
        self.deployment.run(20)
        return self.invariant_checker.faults() + self._unaccounted_calls()

    def _stop_callers(self) -> None:
        for box in self.deployment.boxes.values():
            if box.role == "callers":
                box.machine.is_on = False

    def _unaccounted_calls(self) -> list[str]:
        return [
            f"accounted: call {call.tag} of group {call.group} at {call.edge}, outcome {call.outcome}, "
            f"fault {call.fault_class}, has no record in the day log"
            for call in self.invariant_checker.unaccounted()
        ]

    def _end_faults(self) -> None:
        last, self.pending_undos = self.pending_undos, []
        for _, undo in last:
            undo()
        self.deployment.heal()
        for box in self.deployment.boxes.values():
            if box.is_frozen:
                self.deployment.wake(box.name)
            self._revive(box.name)
        self._advance(12.0)  # undo actions that failed at first are retried until here
        self.pending_undos = []

    def _advance(self, seconds: float) -> None:
        """Advances virtual time in steps, so that faults end when they are due."""
        end = self.deployment.now + timedelta(seconds=seconds)
        while self.deployment.now < end:
            self._step()

    def _step(self) -> None:
        self.deployment.run(0.25)
        for item in list(self.pending_undos):
            if item[0] <= self.deployment.now and item in self.pending_undos:
                self.pending_undos.remove(item)
                item[1]()

    def _undo_later(self, seconds: float, undo: Callable[[], object]) -> None:
        self.pending_undos.append((self.deployment.now + timedelta(seconds=seconds), undo))

    def unrecovered(self) -> list[str]:
        """Lists what has not recovered by the end of the recovery period."""
        deployment, found = self.deployment, []
        leaders = [core for core in deployment.machines("core") if core.consensus.role == "leading"]
        if len(leaders) != 1:
            found.append(f"{len(leaders)} cores lead, expected 1")
        deployment.run_until(
            lambda: len({node.state.number for node in deployment.machines("core") + deployment.machines("edge")}) == 1,
            3,
        )
        numbers = {core.state.number for core in deployment.machines("core")}
        behind = [edge.node for edge in deployment.machines("edge") if edge.follower.number < max(numbers)]
        if len(numbers) > 1 or behind:
            found.append(f"cores are at change numbers {sorted(numbers)}; edges behind them: {behind}")
        images = {str(core.state.snapshot()) for core in deployment.machines("core")}
        if len(images) > 1:
            found.append("cores have different control states")
        if leaders and leaders[0].state.generation < self.acked_generation:
            found.append(f"generation {self.acked_generation} was acknowledged, now {leaders[0].state.generation}")
        if leaders and any(not holder for holder, _ in leaders[0].state.role_holders.values()):
            found.append(f"a duty has no holder: {leaders[0].state.role_holders}")
        answered = [
            call
            for call in self.callers.calls
            if call.sent_at > deployment.now - timedelta(seconds=19) and call.outcome != "pending" and not call.key
        ]
        bad = [call for call in answered if call.outcome != "ok" and not call.has_moved]
        if not answered or len(bad) > 0.02 * len(answered):
            found.append(
                f"{len(bad)} of {len(answered)} calls fail after the recovery period: "
                + str(sorted({(call.group, call.outcome, call.fault_class) for call in bad}, key=str))
            )
        return found

    # faults: each returns a line describing what it did, or None ------------------------------

    def _random_running_box(self, *roles: Any) -> Any:
        boxes = [
            box
            for box in self.deployment.boxes.values()
            if box.role in roles and box.machine is not None and not box.is_frozen
        ]
        return self.random.choice(boxes) if boxes else None

    def _revive(self, name: str) -> None:
        box = self.deployment.boxes[name]
        if (
            box.machine is None
            and name not in self.retired
            and box.role in ("core", "edge", "model", "records", "platform")
        ):
            self.deployment.start(name)

    def _fault_kill_node(self, duration_s: float) -> str | None:
        box = self._random_running_box("edge", "core")
        if box is None:
            return None
        self.deployment.kill(box.name)
        self._undo_later(duration_s, lambda: self._revive(box.name))
        return f"{box.name} killed, duration (s): {duration_s:.1f}"

    def _fault_kill_server(self, duration_s: float) -> str | None:
        box = self._random_running_box("model", "records")
        if box is None:
            return None
        self.deployment.kill(box.name)
        self._undo_later(duration_s, lambda: self._revive(box.name))
        return f"{box.name} killed, duration (s): {duration_s:.1f}"

    def _fault_vanish(self, duration_s: float) -> str | None:
        box = self._random_running_box("edge", "core", "model", "records")
        if box is None:
            return None
        self.deployment.vanish(box.name)
        self._undo_later(duration_s, lambda: self._revive(box.name))
        return f"{box.name} lost with its machine, duration (s): {duration_s:.1f}"

    def _fault_dark(self, duration_s: float) -> str | None:
        box = self._random_running_box("model", "records")
        if box is None:
            return None
        machine = box.machine
        machine.is_dark = True

        def respond_again() -> None:
            machine.is_dark = False

        self._undo_later(duration_s, respond_again)
        return f"{box.name} unresponsive, duration (s): {duration_s:.1f}"

    def _fault_freeze(self, duration_s: float) -> str | None:
        box = self._random_running_box("edge", "core", "edge", "core", "model")
        if box is None:
            return None
        self.deployment.freeze(box.name)

        def resume_process() -> None:
            if box.is_frozen:
                self.deployment.wake(box.name)

        self._undo_later(duration_s, resume_process)
        return f"{box.name} frozen, duration (s): {duration_s:.1f}"

    def _cut_links(self, first: Any, second: Any, one_way: bool, duration_s: float) -> None:
        deployment, before = self.deployment, set(self.deployment.cuts)
        deployment.cut(first, second, one_way)
        added = deployment.cuts - before
        self._undo_later(duration_s, lambda: deployment.heal(added))

    def _fault_isolate(self, duration_s: float) -> str | None:
        box = self._random_running_box("edge", "core")
        self._cut_links([box.name] if box else [], self.deployment.inside(), False, duration_s)
        return f"{box.name} isolated, duration (s): {duration_s:.1f}" if box else None

    def _fault_one_way(self, duration_s: float) -> str | None:
        box = self._random_running_box("core", "edge")
        if box is None:
            return None
        others = [other.name for other in self.deployment.boxes.values() if other.role in ("core", "edge")]
        if self.random.random() < 0.5:
            self._cut_links([box.name], others, True, duration_s)
        else:
            for name in others:
                self._cut_links([name], [box.name], True, duration_s)
        return f"{box.name} has links cut in one direction, duration (s): {duration_s:.1f}"

    def _fault_split(self, duration_s: float) -> str:
        cores = [box.name for box in self.deployment.boxes.values() if box.role == "core"]
        edges = [box.name for box in self.deployment.boxes.values() if box.role == "edge"]
        lone = self.random.choice(cores)
        side = [lone, *self.random.sample(edges, len(edges) // 2)]
        rest = [name for name in cores + edges if name not in side]
        self._cut_links(side, rest, False, duration_s)
        return f"{side} partitioned from the other nodes, duration (s): {duration_s:.1f}"

    def _fault_stall(self, duration_s: float) -> str | None:
        box = self._random_running_box("core")
        if box is None:
            return None
        box.disk.stalled_until = self.deployment.now + timedelta(seconds=duration_s)
        return f"disk of {box.name} stalls, duration (s): {duration_s:.1f}"

    def _fault_refuse(self, duration_s: float) -> str | None:
        box = self._random_running_box("core")
        if box is None:
            return None
        box.disk.refuses_until = self.deployment.now + timedelta(seconds=duration_s)
        return f"disk of {box.name} refuses writes, duration (s): {duration_s:.1f}"

    def _fault_jump(self, duration_s: float) -> str | None:
        box = self._random_running_box("core", "edge")
        if box is None:
            return None
        box.clock.jump = timedelta(hours=self.random.uniform(-30, 30))
        return f"wall clock of {box.name} jumps by {box.clock.jump}"

    def _fault_leave(self, duration_s: float) -> str | None:
        platform = self.deployment.boxes["platform"].machine
        names = [name for name, server in platform.servers.items() if not server["leaving"]]
        if len(names) < 6:
            return None
        name = self.random.choice(names)
        platform.servers[name]["leaving"] = True

        def undo_fault() -> None:
            platform.servers.get(name, {})["leaving"] = False

        self._undo_later(duration_s + 6, undo_fault)
        return f"{name} listed as leaving, duration (s): {duration_s + 6:.1f}"

    # configuration and orders

    def _order(self, path: str, doc: Any) -> Any:
        """Sends an operator's order to a running core and returns the answer's document if it is acknowledged."""
        core = self._random_running_box("core")
        if core is None:
            return None
        self.number += 1
        answer = self.deployment.ask(
            core.name, "POST", path, {"request": f"storm-{self.number}", **doc}, 7.0, self._step
        )
        if answer and answer[0] == 200:
            self.acked_generation = max(self.acked_generation, answer[1]["generation"])
            return answer[1]
        return None

    def _probe_part(self) -> Any:
        """Returns a partial configuration that adds a caller for the probe, and the key of that caller.

        It also removes the previous such caller.
        """
        self.number += 1
        name = f"probe-{self.number}"
        line = self.deployment.spec.catalogue["lines"][0]["name"]
        caller = {"name": name, "key": f"{name}-key", "line": line, "patience": 5.0, "lookups": False}
        callers = [caller] + ([{"name": self.probe_key.removesuffix("-key"), "remove": True}] if self.probe_key else [])
        return {"callers": callers}, caller["key"]

    def _apply_part(self, part: dict[str, Any]) -> Any:
        """Applies a partial configuration with a key for the probe and returns the answer if it is acknowledged.

        Only one such change is in progress at a time.
        """
        if self.is_changing:
            return None
        self.is_changing = True
        more, key = self._probe_part()
        before = [self.probe_key] if self.probe_key else []
        self.deployment.probe.forget(before)
        self.probe_key = key  # the next change removes it, whether this one was applied or not
        doc = {**part, "callers": [*part.get("callers", ()), *more["callers"]]}
        answer = self._order("/operator/apply", {"doc": doc, "part": True})
        self.is_changing = False
        if answer is not None:
            self.deployment.probe.promise([key], before, self.deployment.now)
        return answer

    def _fault_apply(self, duration_s: float) -> str:
        target = self.deployment.spec.catalogue["models"][0]["name"]
        routes = [
            {"name": f"storm-{self.number}-{place}", "target": target} for place in range(self.random.randrange(1, 60))
        ]
        answer = self._apply_part({"routes": routes})
        return f"{len(routes)} routes applied, acknowledged generation: {answer and answer['generation']}"

    def _fault_policies(self, duration_s: float) -> str:
        policies = self.random.choice(POLICIES)

        def undo_fault() -> None:
            if self._apply_part({"policies": POLICIES[-1]}) is None:
                self._undo_later(1.0, undo_fault)

        self._undo_later(duration_s + 3, undo_fault)
        return f"policies {policies} applied, acknowledged: {self._apply_part({'policies': policies}) is not None}"

    def _fault_removal(self, duration_s: float) -> str:
        """Removes a model in use and an active caller from the configuration, and restores them later."""
        catalogue = self.deployment.spec.catalogue
        model = self.random.choice(
            [
                model
                for model in catalogue["models"]
                if not any(adapter["model"] == model["name"] for adapter in catalogue["adapters"])
            ]
        )
        caller = self.random.choice(catalogue["callers"])
        removed = {
            "models": [{"name": model["name"], "remove": True}],
            "callers": [{"name": caller["name"], "remove": True}],
        }
        answer = self._apply_part(removed)

        def undo_fault() -> None:
            if self._apply_part({"models": [model], "callers": [caller]}) is None:
                self._undo_later(1.0, undo_fault)

        self._undo_later(duration_s, undo_fault)
        return (
            f"{model['name']} and {caller['name']} removed for {duration_s:.1f} s, acknowledged: {answer is not None}"
        )

    def _fault_race(self, duration_s: float) -> str | None:
        """Applies a whole configuration and a partial one at two cores at once; the one committed last wins."""
        cores = [
            box
            for box in self.deployment.boxes.values()
            if box.role == "core" and box.machine is not None and not box.is_frozen
        ]
        if len(cores) < 2 or self.is_changing:
            return None
        one, other = self.random.sample(cores, 2)
        whole_change, whole_key = self._probe_part()
        partial_change, partial_key = self._probe_part()
        partial_change["callers"] = partial_change["callers"][:1]
        before = [self.probe_key] if self.probe_key else []
        self.deployment.probe.forget([*before, *self.deployment.probe.present, *self.deployment.probe.absent])
        whole = self.deployment.spec.catalogue
        whole = {**whole, "callers": [*whole["callers"], *whole_change["callers"][:1]]}
        operator = self.deployment.operator()
        asked = [
            operator.ask(
                f"http://{one.http_address}/operator/apply", "POST", {"request": f"whole-{self.number}", "doc": whole}
            ),
            operator.ask(
                f"http://{other.http_address}/operator/apply",
                "POST",
                {"request": f"part-{self.number}", "doc": partial_change, "part": True},
            ),
        ]
        self.deployment.run_until(lambda: all(number in operator.answers for number in asked), 9.0)
        answers = [operator.answers.get(number) for number in asked]
        self.number += 1
        is_good = [bool(answer) and answer[0] == 200 for answer in answers]
        if all(is_good):
            self.acked_generation = max(self.acked_generation, *(answer[1]["generation"] for answer in answers))
            is_partial_last = answers[1][1]["number"] > answers[0][1]["number"]
            self.deployment.probe.promise(
                [whole_key] + [partial_key] * is_partial_last,
                before + [partial_key] * (not is_partial_last),
                self.deployment.now,
            )
        self.probe_key = whole_key  # the next whole configuration drops the partial one's key and its promise
        return f"a whole and a partial configuration applied at once, acknowledged: {is_good}"

    def _fault_evacuate(self, duration_s: float) -> str | None:
        if (
            len(self.invariant_checker.evacuations())
            and self.invariant_checker.evacuations()[-1][2] >= self.deployment.now
        ):
            return None
        zone = self.random.choice(self.deployment.spec.catalogue["areas"])
        if self._order("/operator/evacuate", {"area": zone}) is None:
            return f"evacuation of zone {zone} not acknowledged"

        def restore() -> None:
            if self._order("/operator/restore", {"area": zone}) is None:
                self._undo_later(1.0, restore)

        self._undo_later(duration_s + 8, restore)
        return f"{zone} evacuated, duration (s): {duration_s + 8:.1f}"

    # traffic

    def _add_traffic(self, what: str, pace: float, traffic: Any, duration_s: float) -> str:
        self.number += 1
        crowd = self.deployment.start_callers(
            pace,
            traffic,
            f"{what}-{self.number}",
            [box.name for box in self.deployment.boxes.values() if box.role == "edge"],
        )

        def end() -> None:
            crowd.is_on = False

        self._undo_later(duration_s, end)
        return f"{what} traffic added, duration (s): {duration_s:.1f}"

    def _fault_crowd(self, duration_s: float) -> Any:
        return self._add_traffic("crowd", 5.0, None, min(duration_s, 4.0))

    def _fault_heavy(self, duration_s: float) -> Any:
        return self._add_traffic("heavy", 1.0, [{**self.deployment.spec.traffic[-1], "rate": 8.0}], duration_s)

    def _fault_rare(self, duration_s: float) -> str:
        """Requests every model and adapter once at the same time, except those of the last traffic group."""
        group = next(
            each for each in self.deployment.spec.traffic if each["kind"] == "prompt" and not each.get("stream", True)
        )
        heavy = set(self.deployment.spec.traffic[-1]["models"])
        catalogue, before = self.deployment.spec.catalogue, len(self.callers.calls)
        for item in [*catalogue["models"], *catalogue["adapters"]]:
            if item["name"] not in heavy:
                for effect in self.callers.ask(group, self.deployment.now, model=item["name"]):
                    self.deployment._execute(self.deployment.boxes[self.callers.name], effect)
        return f"{len(self.callers.calls) - before} models and adapters requested at once"

    # permanent losses, slow disks and power failures

    def _choose_core_to_lose(self) -> Any:
        """Chooses a core to lose permanently, or returns None.

        Losses are at least 45 s apart, and only while all cores run and are members, so that the others have all state.
        """
        cores = [box for box in self.deployment.boxes.values() if box.role == "core" and box.name not in self.retired]
        is_whole = all(
            box.machine is not None and not box.is_frozen and len(box.machine.consensus.members) == 3 for box in cores
        )
        if not is_whole or self.deployment.now - self.last_loss_at < MIN_LOSS_INTERVAL:
            return None
        self.last_loss_at = self.deployment.now
        return self.random.choice(cores)

    def _fault_blank(self, duration_s: float) -> str | None:
        box = self._choose_core_to_lose()
        if box is None:
            return None
        self.deployment.kill(box.name)
        box.disk.wipe()
        self._undo_later(duration_s, lambda: self._revive(box.name))
        return f"{box.name} loses its disk and restarts, delay (s): {duration_s:.1f}"

    def _fault_swap(self, duration_s: float) -> str | None:
        box = self._choose_core_to_lose()
        if box is None:
            return None
        self.number += 1
        self.deployment.vanish(box.name)
        self.retired.add(box.name)
        node = {
            "name": f"core-{10 + self.number}",
            "role": "core",
            "area": box.zone,
            "address": f"127.0.0.9:{20000 + self.number}",
            "door": f"127.0.0.9:{30000 + self.number}",
        }
        seeds = tuple(
            each.address
            for each in self.deployment.boxes.values()
            if each.role == "core" and each.name not in self.retired
        )
        self._undo_later(duration_s, lambda: self.deployment.add_node(node, founding=[], seeds=seeds))
        return f"{box.name} is lost and replaced by an empty {node['name']}, delay (s): {duration_s:.1f}"

    def _fault_slow_disks(self, duration_s: float) -> str:
        delay = timedelta(seconds=self.random.uniform(0.02, 0.15))
        disks = [box.disk for box in self.deployment.boxes.values() if box.role == "core"]
        for disk in disks:
            disk.delay = delay

        def reset_delay() -> None:
            for disk in disks:
                disk.delay = timedelta(seconds=0.002)

        self._undo_later(duration_s, reset_delay)
        return f"sync time of all core disks (s): {delay.total_seconds():.3f}, duration (s): {duration_s:.1f}"

    def _kill_and_restart(self, roles: Any, duration_s: float) -> None:
        names = [box.name for box in self.deployment.boxes.values() if box.role in roles and box.machine is not None]
        for name in names:
            self.deployment.kill(name)
        for name in names:
            self._undo_later(duration_s + self.random.uniform(0, 0.5), partial(self._revive, name))

    def _fault_power_after_ack(self, duration_s: float) -> str:
        answer = self._apply_part(
            {
                "routes": [
                    {"name": f"power-{self.number}", "target": self.deployment.spec.catalogue["models"][0]["name"]}
                ]
            }
        )
        self._kill_and_restart(("core",), min(duration_s, 3.0))
        return f"all cores killed after {'an' if answer else 'no'} ack, duration (s): {min(duration_s, 3.0):.1f}"

    def _fault_total_loss(self, duration_s: float) -> str:
        self._kill_and_restart(
            ("core", "edge") if self.random.random() < 0.6 else ("core", "edge", "model", "records"),
            min(duration_s, 4.0),
        )
        return f"all nodes, and in some cases the servers, killed, duration (s): {min(duration_s, 4.0):.1f}"

    def _fault_short_warning(self, duration_s: float) -> str | None:
        box = self._random_running_box("edge", "core", "edge")
        if box is None:
            return None
        incarnation = box.incarnation
        self.deployment.stop(box.name)

        def end() -> None:
            if box.incarnation == incarnation:
                self.deployment.kill(box.name)

        self._undo_later(self.random.uniform(0.2, 3.0), end)
        self._undo_later(3.5 + duration_s, lambda: self._revive(box.name))
        return f"{box.name} gets a stop request and is killed within 3 s of it"

    # servers

    def _fault_replace(self, duration_s: float) -> str | None:
        """Lists a model server as leaving, kills it 3 to 9 s later, amid its streams, and restarts it empty."""
        platform = self.deployment.boxes["platform"].machine
        box = self._random_running_box("model")
        if box is None or platform is None or sum(server["leaving"] for server in platform.servers.values()) > 1:
            return None
        platform.servers.get(box.name, {})["leaving"] = True
        notice = self.random.uniform(3.0, 9.0)

        def undo_fault() -> None:
            self._revive(box.name)
            platform.servers.get(box.name, {})["leaving"] = False

        self._undo_later(notice, lambda: self.deployment.kill(box.name))
        self._undo_later(notice + duration_s, undo_fault)
        return (
            f"{box.name} listed as leaving, killed after {notice:.1f} s; delay of its replacement (s): {duration_s:.1f}"
        )

    def _fault_half_of_the_servers(self, duration_s: float) -> str:
        names = [
            box.name
            for box in self.deployment.boxes.values()
            if box.role in ("model", "records") and box.machine is not None
        ][::2]
        how = self.random.choice(("dark", "killed", "refusing"))
        machines = [self.deployment.boxes[name].machine for name in names]
        for name, machine in zip(names, machines, strict=True):
            if how == "killed":
                self.deployment.kill(name)
                self._undo_later(duration_s, partial(self._revive, name))
            else:
                setattr(machine, "is_dark" if how == "dark" else "is_busy", True)

        def recover() -> None:
            for machine in machines:
                machine.is_dark = machine.is_busy = False

        self._undo_later(duration_s, recover)
        return f"half of the servers {how}, duration (s): {duration_s:.1f}"

    def _fault_records_gone(self, duration_s: float) -> str:
        names = [
            box.name for box in self.deployment.boxes.values() if box.role == "records" and box.machine is not None
        ]
        for name in names:
            self.deployment.kill(name)
            self._undo_later(min(duration_s, 5.0), partial(self._revive, name))
        return f"all records servers killed, duration (s): {min(duration_s, 5.0):.1f}"

    def _fault_bad_list(self, duration_s: float) -> str | None:
        """Makes the platform's list empty, half missing or with invalid entries for at most 6 s."""
        platform = self.deployment.boxes["platform"].machine
        if platform is None or platform.extra:
            return None
        how = self.random.choice(("empty", "half", "junk"))
        removed = dict(list(platform.servers.items())[:: 1 if how == "empty" else 2]) if how != "junk" else {}
        for name in removed:
            del platform.servers[name]
        platform.extra = [
            {"name": 3},
            {"kind": "model"},
            None,
            {"name": "model-1", "kind": "cake", "address": "x", "area": "y"},
        ]

        def recover() -> None:
            platform.extra = []
            platform.servers = {**removed, **platform.servers}

        self._undo_later(min(duration_s, 6.0), recover)
        return f"the platform's server list is {how}, duration (s): {min(duration_s, 6.0):.1f}"

    def _fault_bad_air(self, duration_s: float) -> str:
        self.deployment.loss, self.deployment.latency = 0.25, (0.001, 0.06)

        def recover() -> None:
            self.deployment.loss, self.deployment.latency = 0.0, (0.0005, 0.003)

        self._undo_later(duration_s, recover)
        return f"25 % of datagrams lost and 1 to 60 ms latency on all links, duration (s): {duration_s:.1f}"
