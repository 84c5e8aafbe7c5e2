"""python -m harness.scenarios: runs each failure scenario of the brief in virtual time, on both example deployments at
full size, and prints one table row per scenario and deployment.
"""

import argparse
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from datetime import timedelta
from functools import partial

from harness.run_checks import find_unchecked
from tests.deployment_fixtures import box_of, invariant_checker, leader, settled

SECOND = timedelta(seconds=1)


class Scene:
    """A settled deployment with callers; holds the time of the fault (`fault_at`) and the figures measured after it."""

    __slots__ = ("deployment", "callers", "invariant_checker", "fault_at", "figures")

    def __init__(self, spec, seed):
        self.deployment = settled(seed, spec, edges=None, voter_away=5.0)
        self.callers = self.deployment.call_in(1.0)
        self.invariant_checker = invariant_checker(self.deployment, self.callers)
        self.deployment.run(8)
        self.fault_at, self.figures = self.deployment.now, {}

    def names(self, role):
        return [box.name for box in self.deployment.boxes.values() if box.role == role]

    def holder(self, duty="placer"):
        node = leader(self.deployment).state.role_holders[duty][0]
        return next(
            box.name
            for box in self.deployment.boxes.values()
            if box.machine is not None and getattr(box.machine, "node", "") == node
        )

    def order(self, core, what, **doc):
        return self.deployment.ask(
            core, "POST", f"/operator/{what}", {"request": f"{what}-{self.deployment.now}", **doc}
        )

    def end(self, calm):
        self.deployment.run(calm)
        self.callers.is_on = False
        self.deployment.run(8)


def crowd(scene):
    """Load spike: ten times the traffic for ten seconds"""
    more = scene.deployment.call_in(9.0, name="crowd")
    scene.deployment.run(10)
    more.is_on = False
    scene.end(20)
    done = Counter(call.outcome for call in more.calls)
    scene.figures["of the crowd"] = f"{done['ok']} of {len(more.calls)} answered"


def rare(scene):
    """Every model is requested at once after half of the model servers restarted without models"""
    for name in scene.names("model")[::2]:
        scene.deployment.kill(name)
    scene.deployment.run(5)
    for name in scene.names("model")[::2]:
        scene.deployment.start(name)
    kind = next(
        each for each in scene.deployment.spec.traffic if each["kind"] == "prompt" and not each.get("stream", True)
    )
    before = len(scene.callers.calls)
    for model in scene.deployment.spec.catalogue["models"]:
        for effect in scene.callers.ask(kind, scene.deployment.now, model=model["name"]):
            scene.deployment._do(scene.deployment.boxes["callers"], effect)
    asked = scene.callers.calls[before:]
    scene.end(40)
    scene.figures["rare asked"] = f"{sum(call.outcome == 'ok' for call in asked)} of {len(asked)} answered"


def server_crash(scene):
    """A model server crashes and restarts without models"""
    scene.deployment.kill("model-1")
    scene.deployment.run(6)
    scene.deployment.start("model-1")
    scene.end(30)


def server_dark(scene):
    """A model server accepts connections and never responds"""
    scene.deployment.boxes["model-2"].machine.is_dark = True
    scene.end(30)


def replacement(scene):
    """Model servers are replaced one by one; the inventory marks each as leaving first"""
    platform = scene.deployment.boxes["platform"].machine
    for name in scene.names("model"):
        platform.servers[name]["leaving"] = True
        scene.deployment.run(8)
        scene.deployment.kill(name)
        scene.deployment.run(1)
        scene.deployment.start(name)
        platform.servers[name]["leaving"] = False
        scene.deployment.run(8)
    scene.end(25)


def emptied(scene):
    """A model server is shut down during streaming, three seconds after its leaving notice"""
    platform = scene.deployment.boxes["platform"].machine
    platform.servers["model-1"]["leaving"] = True
    scene.deployment.run(3)
    scene.deployment.kill("model-1")
    scene.end(30)


def edge_killed(scene):
    """An edge is killed and restarted after five seconds"""
    scene.deployment.kill("edge-1")
    scene.deployment.run(5)
    scene.deployment.start("edge-1")
    scene.end(20)


def _is_voter(deployment, node) -> bool:
    """Whether there is a leader whose current view contains this node."""
    return leader(deployment) is not None and node in leader(deployment).consensus.members


def _have_all_edges(deployment, generation) -> bool:
    """Whether every edge has applied this configuration generation or a later one."""
    return all(edge.state.generation >= generation for edge in deployment.machines("edge"))


def leader_killed(scene):
    """The leader is killed"""
    scene.deployment.kill(box_of(scene.deployment, leader(scene.deployment)).name)
    scene.deployment.run_until(lambda: leader(scene.deployment) is not None, 20)
    scene.figures["next leader after"] = f"{(scene.deployment.now - scene.fault_at) / SECOND:.2f} s"
    scene.end(20)


def holder_killed(scene):
    """The placer is killed while its model loads are in progress"""
    scene.deployment.kill("model-1")
    scene.deployment.run(4)
    scene.deployment.start("model-1")
    scene.deployment.run(1.5)
    scene.fault_at = scene.deployment.now
    before = leader(scene.deployment).state.role_holders["placer"][1]
    scene.deployment.kill(scene.holder())
    scene.deployment.run_until(
        lambda: (
            leader(scene.deployment) is not None and leader(scene.deployment).state.role_holders["placer"][1] > before
        ),
        30,
    )
    scene.figures["next placer after"] = f"{(scene.deployment.now - scene.fault_at) / SECOND:.2f} s"
    scene.end(40)


def _freeze(scene, name, seconds=6):
    scene.deployment.freeze(name)
    scene.deployment.run(seconds)
    scene.deployment.wake(name)
    scene.end(25)


def edge_frozen(scene):
    """An edge process is paused for six seconds; meanwhile an area is evacuated"""
    scene.deployment.freeze("edge-1")
    zone = next(
        zone for zone in scene.deployment.spec.catalogue["areas"] if zone != scene.deployment.boxes["edge-1"].zone
    )
    scene.order("core-1", "evacuate", area=zone)
    scene.deployment.run(6)
    scene.deployment.wake("edge-1")
    scene.deployment.run(10)
    scene.order("core-1", "restore", area=zone)
    scene.end(15)


def leader_frozen(scene):
    """The leader process is paused for six seconds"""
    _freeze(scene, box_of(scene.deployment, leader(scene.deployment)).name)


def holder_frozen(scene):
    """The placer process is paused for ten seconds while its model loads are in progress"""
    scene.deployment.kill("model-1")
    scene.deployment.run(4)
    scene.deployment.start("model-1")
    scene.deployment.run(1.5)
    _freeze(scene, scene.holder(), 10)
    scene.figures["orders under old fences"] = sum(len(record.stale) for record in scene.deployment.records.values())


def core_swapped(scene):
    """A core is replaced by an empty one at a new address; then a core that is a seed address too"""
    for place in (3, 2):
        scene.deployment.vanish(f"core-{place}")
        node = {
            "name": f"core-{place + 5}",
            "role": "core",
            "area": scene.deployment.boxes[f"core-{place}"].zone,
            "address": f"127.0.0.9:{17300 + place}",
            "door": f"127.0.0.9:{17400 + place}",
        }
        scene.deployment.add_node(node, founding=[])
        voter = scene.deployment.boxes[node["name"]].machine.node
        scene.deployment.run_until(partial(_is_voter, scene.deployment, voter), 40)
    scene.figures["seated"] = sorted(voter.rpartition("-")[0] for voter in leader(scene.deployment).consensus.members)
    scene.end(20)


def power_after_ack(scene):
    """All cores lose power right after a change is acknowledged"""
    doc = {"routes": [{"name": "just-acked", "target": scene.deployment.spec.catalogue["models"][0]["name"]}]}
    answer = scene.order("core-1", "apply", doc=doc, part=True)
    for name in scene.names("core"):
        scene.deployment.kill(name)
    scene.deployment.run(1)
    for name in scene.names("core"):
        scene.deployment.start(name)
    scene.end(25)
    kept = leader(scene.deployment).state.generation >= answer[1]["generation"]
    scene.figures["acked change kept"] = kept


def disk_after_ack(scene):
    """A core loses its disk right after it acknowledged a change and restarts empty"""
    doc = {"routes": [{"name": "just-acked", "target": scene.deployment.spec.catalogue["models"][0]["name"]}]}
    answer = scene.order("core-1", "apply", doc=doc, part=True)
    scene.deployment.kill("core-1")
    scene.deployment.boxes["core-1"].disk.wipe()
    scene.deployment.start("core-1")
    scene.end(35)
    scene.figures["acked change kept"] = leader(scene.deployment).state.generation >= answer[1]["generation"]
    scene.figures["seats in view"] = len(leader(scene.deployment).consensus.members)


def slow_disks(scene):
    """Every disk sync of the cores takes 80 ms"""
    for name in scene.names("core"):
        scene.deployment.boxes[name].disk.delay = timedelta(seconds=0.08)
    scene.end(25)


def stalled_disk(scene):
    """Disk writes of the leader stall for ten seconds"""
    box_of(scene.deployment, leader(scene.deployment)).disk.stalled_until = scene.deployment.now + SECOND * 10
    scene.end(30)


def clocks(scene):
    """All wall clocks jump by a day, every other one forward, the rest backward"""
    for place, box in enumerate(scene.deployment.boxes.values()):
        box.clock.jump = timedelta(days=1 if place % 2 else -1)
    scene.end(25)


def core_split(scene):
    """A network partition separates the leader from the other two cores for ten seconds"""
    name = box_of(scene.deployment, leader(scene.deployment)).name
    scene.deployment.cut([name], [other for other in scene.names("core") if other != name])
    scene.deployment.run(10)
    scene.deployment.heal()
    scene.end(20)


def core_cut_off(scene):
    """A network partition separates all cores from all edges for ten seconds"""
    scene.deployment.cut(scene.names("core"), scene.names("edge"))
    scene.deployment.run(10)
    scene.deployment.heal()
    scene.end(25)


def one_way(scene):
    """One-way partitions: the leader receives no messages, then its messages are dropped"""
    name = box_of(scene.deployment, leader(scene.deployment)).name
    rest = [other for other in scene.names("core") + scene.names("edge") if other != name]
    scene.deployment.cut(rest, [name], one_way=True)
    scene.deployment.run(8)
    scene.deployment.heal()
    scene.deployment.run(8)
    name = box_of(scene.deployment, leader(scene.deployment)).name
    rest = [other for other in scene.names("core") + scene.names("edge") if other != name]
    scene.deployment.cut([name], rest, one_way=True)
    scene.deployment.run(8)
    scene.deployment.heal()
    scene.end(20)


def isolated(scene):
    """Six nodes are partitioned from all others one after the other, four seconds each"""
    for name in ("edge-1", "core-2", "model-1", "edge-4", "core-3", "model-3"):
        scene.deployment.cut([name], scene.deployment.inside(name))
        scene.deployment.run(4)
        scene.deployment.heal()
        scene.deployment.run(4)
    scene.end(25)


def config_storm(scene):
    """100 concurrent partial configuration changes of 20 routes each, sent to two cores in turn"""
    scene.deployment.ask("core-1", "GET", "/show/duties")
    operator, target = scene.deployment.boxes["operator"].machine, scene.deployment.spec.catalogue["models"][0]["name"]
    numbers = []
    for place in range(100):
        routes = [{"name": f"storm-{place}-{each}", "target": target} for each in range(20)]
        doc = {"request": f"storm-{place}", "part": True, "doc": {"routes": routes}}
        numbers.append(
            operator.ask(
                f"http://{scene.deployment.boxes[f'core-{1 + place % 2}'].http_address}/operator/apply", "POST", doc
            )
        )
    scene.end(25)
    answers = Counter(operator.answers.get(number, (None,))[0] for number in numbers)
    scene.figures["orders answered"] = dict(answers)
    scene.figures["routes"] = len(leader(scene.deployment).state.catalogue.routes)


def obey(scene):
    """Time from the acknowledgement of a change until the last edge applies it, over twenty changes"""
    target, longest = scene.deployment.spec.catalogue["models"][0]["name"], timedelta(0)
    ack = timedelta(0)
    for place in range(20):
        sent_at = scene.deployment.now
        answer = scene.order(
            f"core-{1 + place % 3}", "apply", doc={"routes": [{"name": f"obey-{place}", "target": target}]}, part=True
        )
        acked_at, generation = scene.deployment.now, answer[1]["generation"]
        ack = max(ack, acked_at - sent_at)
        scene.deployment.run_until(partial(_have_all_edges, scene.deployment, generation), 5)
        longest = max(longest, scene.deployment.now - acked_at)
    scene.figures["longest order to ack"] = f"{ack / SECOND:.2f} s"
    scene.figures["longest ack to last node"] = f"{longest / SECOND:.2f} s"
    scene.end(5)


def zone_lost(scene):
    """All nodes and servers of an area are lost for good"""
    zone = scene.deployment.spec.catalogue["areas"][2]
    for box in list(scene.deployment.boxes.values()):
        if box.zone == zone:
            scene.deployment.vanish(box.name)
    scene.end(40)


def evacuated(scene):
    """An area is evacuated and restored"""
    zone = scene.deployment.spec.catalogue["areas"][1]
    scene.order("core-1", "evacuate", area=zone)
    scene.deployment.run(15)
    scene.order("core-1", "restore", area=zone)
    scene.end(25)


def flood(scene):
    """Audits or dossiers, the heaviest requests, flood the servers at 25 requests/s for fifteen seconds"""
    heavy = scene.deployment.spec.traffic[-1]
    more = scene.deployment.call_in(1.0, [{**heavy, "rate": 25.0}], "flood")
    scene.deployment.run(15)
    more.is_on = False
    scene.end(10)
    for each in scene.deployment.spec.traffic[:4]:
        waits = [
            call.ended_at - call.sent_at
            for call in scene.callers.calls
            if call.group == each["name"] and call.outcome == "ok" and call.sent_at > scene.fault_at
        ]
        scene.figures[f"longest {each['name']}"] = f"{max(waits) / SECOND:.2f} s"


def _lose_power(scene, roles, wipe=None):
    """Cuts the power of all nodes of these roles for three seconds; returns the time at which they restart.

    `wipe` names a node whose disk is erased meanwhile.
    """
    ours = [box.name for box in scene.deployment.boxes.values() if box.role in roles]
    for name in ours:
        scene.deployment.kill(name)
    if wipe:
        scene.deployment.boxes[wipe].disk.wipe()
    scene.deployment.run(3)
    for name in ours:
        scene.deployment.start(name)
    return scene.deployment.now


def total_loss(scene):
    """All cores and edges lose power at once and restart three seconds later"""
    back_at = _lose_power(scene, ("core", "edge"))
    scene.end(25)
    bad = [call.sent_at for call in scene.callers.calls if call.sent_at > back_at and call.outcome != "ok"]
    scene.figures["last call not served, after the return"] = (
        f"{(max(bad) - back_at) / SECOND:.2f} s" if bad else "none"
    )


def _total(scene, roles, wipe=None):
    back_at = _lose_power(scene, roles, wipe)
    scene.end(45)
    calls = [call for call in scene.callers.calls if call.sent_at > back_at and not call.has_moved]
    for kind in ("lookup", "prompt"):
        bad = [call.sent_at for call in calls if call.kind == kind and call.outcome != "ok"]
        scene.figures[f"last {kind} not served, after the return"] = (
            f"{(max(bad) - back_at) / SECOND:.2f} s" if bad else "none"
        )
    slow = [
        call
        for call in calls
        if call.kind == "prompt" and call.outcome == "ok" and call.sent_at - back_at < SECOND * 12
    ]
    waits = [(call.first_at or call.ended_at) - call.sent_at for call in slow]
    scene.figures["longest first word of a prompt of the first 12 s"] = (
        f"{max(waits, default=SECOND * 0) / SECOND:.1f} s"
    )


def total_with_servers(scene):
    """All cores, edges and servers lose power at once and restart three seconds later, the model servers without models"""
    _total(scene, ("core", "edge", "model", "records"))


def total_with_a_disk(scene):
    """All cores and edges lose power and one core its disk, under three times the traffic"""
    more = scene.deployment.call_in(2.0, name="crowd")
    _total(scene, ("core", "edge"), "core-2")
    more.is_on = False


def _half(scene, how):
    """Fails every other server for 60 s and adds a load spike of four times the traffic for 10 s in that time.

    `how` is "killed" or the flag of the fake server that is set.
    """
    names = [box.name for box in scene.deployment.boxes.values() if box.role in ("model", "records")][::2]
    for name in names:
        machine = scene.deployment.boxes[name].machine
        if how == "killed":
            scene.deployment.kill(name)
        else:
            setattr(machine, how, True)
    scene.deployment.run(20)
    more = scene.deployment.call_in(3.0, name="crowd")
    scene.deployment.run(10)
    more.is_on = False
    scene.deployment.run(30)
    for name in names:
        if how == "killed":
            scene.deployment.start(name)
        else:
            setattr(scene.deployment.boxes[name].machine, how, False)
    scene.end(20)
    done = Counter(call.outcome for call in more.calls if not call.has_moved)
    scene.figures["of the crowd"] = f"{done['ok']} of {sum(done.values())} answered"


def half_dark(scene):
    """Half of the servers accept connections and never respond for a minute, with a load spike meanwhile"""
    _half(scene, "is_dark")


def half_refusing(scene):
    """Half of the servers refuse every request for a minute, with a load spike meanwhile"""
    _half(scene, "is_busy")


def half_killed(scene):
    """Half of the servers are down for a minute and restart without models, with a load spike meanwhile"""
    _half(scene, "killed")


def records_gone(scene):
    """All records servers are down for ten seconds"""
    for name in scene.names("records"):
        scene.deployment.kill(name)
    scene.deployment.run(10)
    for name in scene.names("records"):
        scene.deployment.start(name)
    scene.end(20)


def notice(scene):
    """The inventory marks a model server as leaving at the moment the leader is killed"""
    platform = scene.deployment.boxes["platform"].machine
    platform.servers["model-2"]["leaving"] = True
    scene.deployment.kill(box_of(scene.deployment, leader(scene.deployment)).name)
    scene.end(20)
    late = [at for at, _ in scene.deployment.arrivals.get("model-2", ()) if at > scene.fault_at]
    scene.figures["last sent to it, after the notice"] = (
        f"{(max(late) - scene.fault_at) / SECOND:.2f} s" if late else "nothing"
    )


SCENARIOS = (
    crowd,
    rare,
    server_crash,
    server_dark,
    replacement,
    emptied,
    edge_killed,
    leader_killed,
    holder_killed,
    edge_frozen,
    leader_frozen,
    holder_frozen,
    core_swapped,
    power_after_ack,
    disk_after_ack,
    slow_disks,
    stalled_disk,
    clocks,
    core_split,
    core_cut_off,
    one_way,
    isolated,
    config_storm,
    obey,
    zone_lost,
    evacuated,
    flood,
    total_loss,
    total_with_servers,
    total_with_a_disk,
    half_dark,
    half_refusing,
    half_killed,
    records_gone,
    notice,
)


def play(scenario, spec, seed):
    """Runs one scenario on one deployment and returns the values of its table row."""
    scene = Scene(spec, seed)
    scenario(scene)
    calls = scene.callers.calls
    calls = [
        call for call in calls if not call.has_moved
    ]  # a call that moved to another edge is judged by the request it sent there
    bad = [call for call in calls if call.outcome != "ok"]
    classes = Counter(f"{call.outcome}:{call.fault_class}" for call in bad)
    first, again = scene.invariant_checker.resends()
    last = max((call.sent_at for call in bad if call.sent_at >= scene.fault_at), default=None)
    return {
        "scenario": scenario.__doc__,
        "city": spec,
        "calls": len(calls),
        "ok": len(calls) - len(bad),
        "classes": dict(classes),
        "resends": again / first,
        "last": (last - scene.fault_at) / SECOND if last else None,
        "figures": scene.figures,
        "unlogged": len(scene.invariant_checker.unaccounted()),
        "broken": [*scene.invariant_checker.faults(), *find_unchecked({"calls answered": len(calls) - len(bad)})],
    }


def write_row(row) -> str:
    classes = ", ".join(f"{name} {count}" for name, count in sorted(row["classes"].items())) or "-"
    figures = "; ".join(f"{name}: {value}" for name, value in row["figures"].items()) or "-"
    last = f"{row['last']:.1f}" if row["last"] is not None else "-"
    return (
        f"| {row['scenario']} | {row['city']} | {row['calls']} | {row['ok']} | {classes} | {row['resends']:.3f} | {last} | {figures} "
        f"| {row['unlogged']} | {len(row['broken'])} |"
    )


def main():
    parser = argparse.ArgumentParser(prog="python -m harness.scenarios", description=__doc__)
    parser.add_argument("--only", help="names of scenarios, separated by commas")
    parser.add_argument("--seed", type=int, default=7)
    given = parser.parse_args()
    chosen = [each for each in SCENARIOS if not given.only or each.__name__ in given.only.split(",")]
    unknown = set(given.only.split(",") if given.only else ()) - {each.__name__ for each in SCENARIOS}
    if unknown:
        parser.error(f"no scenario is named {', '.join(sorted(unknown))}")
    print(
        "| scenario | city | calls | answered | not answered | resends to first tries | last bad call, s after the fault | figures | in no log | rules broken |"
    )
    print("|---|---|---|---|---|---|---|---|---|---|")
    with ProcessPoolExecutor(8) as pool:
        rows = [pool.submit(play, each, spec, given.seed) for each in chosen for spec in ("kosice", "central-java")]
        broken = []
        for row in rows:
            print(write_row(row.result()), flush=True)
            broken += [(row.result()["scenario"], fault) for fault in row.result()["broken"]]
    for scenario, fault in broken:
        print(f"broken: {scenario}: {fault}")
    raise SystemExit(1 if broken else 0)


if __name__ == "__main__":
    main()
