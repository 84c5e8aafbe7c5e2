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


class ScenarioRun:
    """A settled deployment with callers; holds the time of the fault (`fault_at`) and the figures measured after it."""

    __slots__ = ("deployment", "callers", "invariant_checker", "fault_at", "figures")

    def __init__(self, spec, seed):
        self.deployment = settled(seed, spec, edges=None, voter_away=5.0)
        self.callers = self.deployment.start_callers(1.0)
        self.invariant_checker = invariant_checker(self.deployment, self.callers)
        self.deployment.run(8)
        self.fault_at, self.figures = self.deployment.now, {}

    def names(self, role):
        return [box.name for box in self.deployment.boxes.values() if box.role == role]

    def placer_name(self, lease="placer"):
        node = leader(self.deployment).state.role_holders[lease][0]
        return next(
            box.name
            for box in self.deployment.boxes.values()
            if box.machine is not None and getattr(box.machine, "node", "") == node
        )

    def send_order(self, core, action, **doc):
        return self.deployment.ask(
            core, "POST", f"/operator/{action}", {"request": f"{action}-{self.deployment.now}", **doc}
        )

    def end(self, recovery_s):
        self.deployment.run(recovery_s)
        self.callers.is_on = False
        self.deployment.run(8)


def crowd(run):
    """Load spike: ten times the traffic for ten seconds"""
    more = run.deployment.start_callers(9.0, name="crowd")
    run.deployment.run(10)
    more.is_on = False
    run.end(20)
    done = Counter(call.outcome for call in more.calls)
    run.figures["requests of the load spike"] = f"{done['ok']} of {len(more.calls)} answered"


def rare(run):
    """Every model is requested at once after half of the model servers restarted without models"""
    for name in run.names("model")[::2]:
        run.deployment.kill(name)
    run.deployment.run(5)
    for name in run.names("model")[::2]:
        run.deployment.start(name)
    kind = next(
        each for each in run.deployment.spec.traffic if each["kind"] == "prompt" and not each.get("stream", True)
    )
    before = len(run.callers.calls)
    for model in run.deployment.spec.catalogue["models"]:
        for effect in run.callers.ask(kind, run.deployment.now, model=model["name"]):
            run.deployment._execute(run.deployment.boxes["callers"], effect)
    asked = run.callers.calls[before:]
    run.end(40)
    run.figures["one request per model"] = f"{sum(call.outcome == 'ok' for call in asked)} of {len(asked)} answered"


def server_crash(run):
    """A model server crashes and restarts without models"""
    run.deployment.kill("model-1")
    run.deployment.run(6)
    run.deployment.start("model-1")
    run.end(30)


def server_dark(run):
    """A model server accepts connections and never responds"""
    run.deployment.boxes["model-2"].machine.is_dark = True
    run.end(30)


def replacement(run):
    """Model servers are replaced one by one; the inventory marks each as leaving first"""
    platform = run.deployment.boxes["platform"].machine
    for name in run.names("model"):
        platform.servers[name]["leaving"] = True
        run.deployment.run(8)
        run.deployment.kill(name)
        run.deployment.run(1)
        run.deployment.start(name)
        platform.servers[name]["leaving"] = False
        run.deployment.run(8)
    run.end(25)


def emptied(run):
    """A model server is shut down during streaming, three seconds after its leaving notice"""
    platform = run.deployment.boxes["platform"].machine
    platform.servers["model-1"]["leaving"] = True
    run.deployment.run(3)
    run.deployment.kill("model-1")
    run.end(30)


def edge_killed(run):
    """An edge is killed and restarted after five seconds"""
    run.deployment.kill("edge-1")
    run.deployment.run(5)
    run.deployment.start("edge-1")
    run.end(20)


def _is_voter(deployment, node) -> bool:
    """Whether there is a leader whose current view contains this node."""
    return leader(deployment) is not None and node in leader(deployment).consensus.members


def _have_all_edges(deployment, generation) -> bool:
    """Whether every edge has applied this configuration generation or a later one."""
    return all(edge.state.generation >= generation for edge in deployment.machines("edge"))


def leader_killed(run):
    """The leader is killed"""
    run.deployment.kill(box_of(run.deployment, leader(run.deployment)).name)
    run.deployment.run_until(lambda: leader(run.deployment) is not None, 20)
    run.figures["next leader after"] = f"{(run.deployment.now - run.fault_at) / SECOND:.2f} s"
    run.end(20)


def holder_killed(run):
    """The placer is killed while its model loads are in progress"""
    run.deployment.kill("model-1")
    run.deployment.run(4)
    run.deployment.start("model-1")
    run.deployment.run(1.5)
    run.fault_at = run.deployment.now
    before = leader(run.deployment).state.role_holders["placer"][1]
    run.deployment.kill(run.placer_name())
    run.deployment.run_until(
        lambda: leader(run.deployment) is not None and leader(run.deployment).state.role_holders["placer"][1] > before,
        30,
    )
    run.figures["next placer after"] = f"{(run.deployment.now - run.fault_at) / SECOND:.2f} s"
    run.end(40)


def _freeze_and_recover(run, name, seconds=6):
    run.deployment.freeze(name)
    run.deployment.run(seconds)
    run.deployment.wake(name)
    run.end(25)


def edge_frozen(run):
    """An edge process is paused for six seconds; meanwhile an area is evacuated"""
    run.deployment.freeze("edge-1")
    zone = next(zone for zone in run.deployment.spec.catalogue["areas"] if zone != run.deployment.boxes["edge-1"].zone)
    run.send_order("core-1", "evacuate", area=zone)
    run.deployment.run(6)
    run.deployment.wake("edge-1")
    run.deployment.run(10)
    run.send_order("core-1", "restore", area=zone)
    run.end(15)


def leader_frozen(run):
    """The leader process is paused for six seconds"""
    _freeze_and_recover(run, box_of(run.deployment, leader(run.deployment)).name)


def holder_frozen(run):
    """The placer process is paused for ten seconds while its model loads are in progress"""
    run.deployment.kill("model-1")
    run.deployment.run(4)
    run.deployment.start("model-1")
    run.deployment.run(1.5)
    _freeze_and_recover(run, run.placer_name(), 10)
    run.figures["orders with a stale fencing token"] = sum(
        len(record.stale) for record in run.deployment.records.values()
    )


def core_swapped(run):
    """A core is replaced by an empty one at a new address; then a core that is a seed address too"""
    for place in (3, 2):
        run.deployment.vanish(f"core-{place}")
        node = {
            "name": f"core-{place + 5}",
            "role": "core",
            "area": run.deployment.boxes[f"core-{place}"].zone,
            "address": f"127.0.0.9:{17300 + place}",
            "door": f"127.0.0.9:{17400 + place}",
        }
        run.deployment.add_node(node, founding=[])
        voter = run.deployment.boxes[node["name"]].machine.node
        run.deployment.run_until(partial(_is_voter, run.deployment, voter), 40)
    run.figures["seated"] = sorted(voter.rpartition("-")[0] for voter in leader(run.deployment).consensus.members)
    run.end(20)


def power_after_ack(run):
    """All cores lose power right after a change is acknowledged"""
    doc = {"routes": [{"name": "just-acked", "target": run.deployment.spec.catalogue["models"][0]["name"]}]}
    answer = run.send_order("core-1", "apply", doc=doc, part=True)
    for name in run.names("core"):
        run.deployment.kill(name)
    run.deployment.run(1)
    for name in run.names("core"):
        run.deployment.start(name)
    run.end(25)
    kept = leader(run.deployment).state.generation >= answer[1]["generation"]
    run.figures["acked change kept"] = kept


def disk_after_ack(run):
    """A core loses its disk right after it acknowledged a change and restarts empty"""
    doc = {"routes": [{"name": "just-acked", "target": run.deployment.spec.catalogue["models"][0]["name"]}]}
    answer = run.send_order("core-1", "apply", doc=doc, part=True)
    run.deployment.kill("core-1")
    run.deployment.boxes["core-1"].disk.wipe()
    run.deployment.start("core-1")
    run.end(35)
    run.figures["acked change kept"] = leader(run.deployment).state.generation >= answer[1]["generation"]
    run.figures["members of the view"] = len(leader(run.deployment).consensus.members)


def slow_disks(run):
    """Every disk sync of the cores takes 80 ms"""
    for name in run.names("core"):
        run.deployment.boxes[name].disk.delay = timedelta(seconds=0.08)
    run.end(25)


def stalled_disk(run):
    """Disk writes of the leader stall for ten seconds"""
    box_of(run.deployment, leader(run.deployment)).disk.stalled_until = run.deployment.now + SECOND * 10
    run.end(30)


def clocks(run):
    """All wall clocks jump by a day, every other one forward, the rest backward"""
    for place, box in enumerate(run.deployment.boxes.values()):
        box.clock.jump = timedelta(days=1 if place % 2 else -1)
    run.end(25)


def core_split(run):
    """A network partition separates the leader from the other two cores for ten seconds"""
    name = box_of(run.deployment, leader(run.deployment)).name
    run.deployment.cut([name], [other for other in run.names("core") if other != name])
    run.deployment.run(10)
    run.deployment.heal()
    run.end(20)


def core_cut_off(run):
    """A network partition separates all cores from all edges for ten seconds"""
    run.deployment.cut(run.names("core"), run.names("edge"))
    run.deployment.run(10)
    run.deployment.heal()
    run.end(25)


def one_way(run):
    """One-way partitions: the leader receives no messages, then its messages are dropped"""
    name = box_of(run.deployment, leader(run.deployment)).name
    rest = [other for other in run.names("core") + run.names("edge") if other != name]
    run.deployment.cut(rest, [name], one_way=True)
    run.deployment.run(8)
    run.deployment.heal()
    run.deployment.run(8)
    name = box_of(run.deployment, leader(run.deployment)).name
    rest = [other for other in run.names("core") + run.names("edge") if other != name]
    run.deployment.cut([name], rest, one_way=True)
    run.deployment.run(8)
    run.deployment.heal()
    run.end(20)


def isolated(run):
    """Six nodes are partitioned from all others one after the other, four seconds each"""
    for name in ("edge-1", "core-2", "model-1", "edge-4", "core-3", "model-3"):
        run.deployment.cut([name], run.deployment.inside(name))
        run.deployment.run(4)
        run.deployment.heal()
        run.deployment.run(4)
    run.end(25)


def config_storm(run):
    """100 concurrent partial configuration changes of 20 routes each, sent to two cores in turn"""
    run.deployment.ask("core-1", "GET", "/show/duties")
    operator, target = run.deployment.boxes["operator"].machine, run.deployment.spec.catalogue["models"][0]["name"]
    numbers = []
    for place in range(100):
        routes = [{"name": f"storm-{place}-{each}", "target": target} for each in range(20)]
        doc = {"request": f"storm-{place}", "part": True, "doc": {"routes": routes}}
        numbers.append(
            operator.ask(
                f"http://{run.deployment.boxes[f'core-{1 + place % 2}'].http_address}/operator/apply", "POST", doc
            )
        )
    run.end(25)
    answers = Counter(operator.answers.get(number, (None,))[0] for number in numbers)
    run.figures["orders answered"] = dict(answers)
    run.figures["routes"] = len(leader(run.deployment).state.catalogue.routes)


def obey(run):
    """Time from the acknowledgement of a change until the last edge applies it, over twenty changes"""
    target, longest = run.deployment.spec.catalogue["models"][0]["name"], timedelta(0)
    ack = timedelta(0)
    for place in range(20):
        sent_at = run.deployment.now
        answer = run.send_order(
            f"core-{1 + place % 3}", "apply", doc={"routes": [{"name": f"obey-{place}", "target": target}]}, part=True
        )
        acked_at, generation = run.deployment.now, answer[1]["generation"]
        ack = max(ack, acked_at - sent_at)
        run.deployment.run_until(partial(_have_all_edges, run.deployment, generation), 5)
        longest = max(longest, run.deployment.now - acked_at)
    run.figures["longest time from request to acknowledgement"] = f"{ack / SECOND:.2f} s"
    run.figures["longest time from acknowledgement to last edge"] = f"{longest / SECOND:.2f} s"
    run.end(5)


def zone_lost(run):
    """All nodes and servers of an area are lost for good"""
    zone = run.deployment.spec.catalogue["areas"][2]
    for box in list(run.deployment.boxes.values()):
        if box.zone == zone:
            run.deployment.vanish(box.name)
    run.end(40)


def evacuated(run):
    """An area is evacuated and restored"""
    zone = run.deployment.spec.catalogue["areas"][1]
    run.send_order("core-1", "evacuate", area=zone)
    run.deployment.run(15)
    run.send_order("core-1", "restore", area=zone)
    run.end(25)


def flood(run):
    """Audits or dossiers, the heaviest requests, flood the servers at 25 requests/s for fifteen seconds"""
    heavy = run.deployment.spec.traffic[-1]
    more = run.deployment.start_callers(1.0, [{**heavy, "rate": 25.0}], "flood")
    run.deployment.run(15)
    more.is_on = False
    run.end(10)
    for each in run.deployment.spec.traffic[:4]:
        waits = [
            call.ended_at - call.sent_at
            for call in run.callers.calls
            if call.group == each["name"] and call.outcome == "ok" and call.sent_at > run.fault_at
        ]
        run.figures[f"longest {each['name']}"] = f"{max(waits) / SECOND:.2f} s"


def _lose_power(run, roles, wipe=None):
    """Cuts the power of all nodes of these roles for three seconds; returns the time at which they restart.

    `wipe` names a node whose disk is erased meanwhile.
    """
    ours = [box.name for box in run.deployment.boxes.values() if box.role in roles]
    for name in ours:
        run.deployment.kill(name)
    if wipe:
        run.deployment.boxes[wipe].disk.wipe()
    run.deployment.run(3)
    for name in ours:
        run.deployment.start(name)
    return run.deployment.now


def total_loss(run):
    """All cores and edges lose power at once and restart three seconds later"""
    back_at = _lose_power(run, ("core", "edge"))
    run.end(25)
    bad = [call.sent_at for call in run.callers.calls if call.sent_at > back_at and call.outcome != "ok"]
    run.figures["last failed call, after the restart"] = f"{(max(bad) - back_at) / SECOND:.2f} s" if bad else "none"


def _run_power_loss(run, roles, wipe=None):
    back_at = _lose_power(run, roles, wipe)
    run.end(45)
    calls = [call for call in run.callers.calls if call.sent_at > back_at and not call.has_moved]
    for kind in ("lookup", "prompt"):
        bad = [call.sent_at for call in calls if call.kind == kind and call.outcome != "ok"]
        run.figures[f"last failed {kind}, after the restart"] = (
            f"{(max(bad) - back_at) / SECOND:.2f} s" if bad else "none"
        )
    slow = [
        call
        for call in calls
        if call.kind == "prompt" and call.outcome == "ok" and call.sent_at - back_at < SECOND * 12
    ]
    waits = [(call.first_token_at or call.ended_at) - call.sent_at for call in slow]
    run.figures["longest time to the first byte of a prompt of the first 12 s"] = (
        f"{max(waits, default=SECOND * 0) / SECOND:.1f} s"
    )


def total_with_servers(run):
    """All cores, edges and servers lose power at once and restart three seconds later, the model servers without models"""
    _run_power_loss(run, ("core", "edge", "model", "records"))


def total_with_a_disk(run):
    """All cores and edges lose power and one core its disk, under three times the traffic"""
    more = run.deployment.start_callers(2.0, name="crowd")
    _run_power_loss(run, ("core", "edge"), "core-2")
    more.is_on = False


def _fail_half_of_servers(run, how):
    """Fails every other server for 60 s and adds a load spike of four times the traffic for 10 s in that time.

    `how` is "killed" or the flag of the fake server that is set.
    """
    names = [box.name for box in run.deployment.boxes.values() if box.role in ("model", "records")][::2]
    for name in names:
        machine = run.deployment.boxes[name].machine
        if how == "killed":
            run.deployment.kill(name)
        else:
            setattr(machine, how, True)
    run.deployment.run(20)
    more = run.deployment.start_callers(3.0, name="crowd")
    run.deployment.run(10)
    more.is_on = False
    run.deployment.run(30)
    for name in names:
        if how == "killed":
            run.deployment.start(name)
        else:
            setattr(run.deployment.boxes[name].machine, how, False)
    run.end(20)
    done = Counter(call.outcome for call in more.calls if not call.has_moved)
    run.figures["requests of the load spike"] = f"{done['ok']} of {sum(done.values())} answered"


def half_dark(run):
    """Half of the servers accept connections and never respond for a minute, with a load spike meanwhile"""
    _fail_half_of_servers(run, "is_dark")


def half_refusing(run):
    """Half of the servers refuse every request for a minute, with a load spike meanwhile"""
    _fail_half_of_servers(run, "is_busy")


def half_killed(run):
    """Half of the servers are down for a minute and restart without models, with a load spike meanwhile"""
    _fail_half_of_servers(run, "killed")


def records_gone(run):
    """All records servers are down for ten seconds"""
    for name in run.names("records"):
        run.deployment.kill(name)
    run.deployment.run(10)
    for name in run.names("records"):
        run.deployment.start(name)
    run.end(20)


def notice(run):
    """The inventory marks a model server as leaving at the moment the leader is killed"""
    platform = run.deployment.boxes["platform"].machine
    platform.servers["model-2"]["leaving"] = True
    run.deployment.kill(box_of(run.deployment, leader(run.deployment)).name)
    run.end(20)
    late = [at for at, _ in run.deployment.arrivals.get("model-2", ()) if at > run.fault_at]
    run.figures["last request to the server, after the notice"] = (
        f"{(max(late) - run.fault_at) / SECOND:.2f} s" if late else "nothing"
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
    """Runs one failure scenario on one deployment and returns the values of its table row."""
    run = ScenarioRun(spec, seed)
    scenario(run)
    calls = run.callers.calls
    calls = [
        call for call in calls if not call.has_moved
    ]  # a call that moved to another edge is judged by the request it sent there
    bad = [call for call in calls if call.outcome != "ok"]
    classes = Counter(f"{call.outcome}:{call.fault_class}" for call in bad)
    first, again = run.invariant_checker.resends()
    last = max((call.sent_at for call in bad if call.sent_at >= run.fault_at), default=None)
    return {
        "scenario": scenario.__doc__,
        "city": spec,
        "calls": len(calls),
        "ok": len(calls) - len(bad),
        "classes": dict(classes),
        "resends": again / first,
        "last": (last - run.fault_at) / SECOND if last else None,
        "figures": run.figures,
        "unlogged": len(run.invariant_checker.unaccounted()),
        "broken": [*run.invariant_checker.faults(), *find_unchecked({"calls answered": len(calls) - len(bad)})],
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
        "| scenario | deployment | calls | answered | not answered | retries per first attempt | last failed call, s after the fault | figures | missing in the log | violations |"
    )
    print("|---|---|---|---|---|---|---|---|---|---|")
    with ProcessPoolExecutor(8) as pool:
        rows = [pool.submit(play, each, spec, given.seed) for each in chosen for spec in ("kosice", "central-java")]
        broken = []
        for row in rows:
            print(write_row(row.result()), flush=True)
            broken += [(row.result()["scenario"], fault) for fault in row.result()["broken"]]
    for scenario, fault in broken:
        print(f"violation: {scenario}: {fault}")
    raise SystemExit(1 if broken else 0)


if __name__ == "__main__":
    main()
