"""python -m harness.allowances FIRST LAST: seeded random faults over routers and lenders; prints what broke the rule of
allowances (docs/design/quotas.md).

With --twins each seed is run twice, without and with a tenant at ten times its share from every edge, and the others'
times stand beside each other. With --turns a tenant goes from half of its ceiling to ten times it on all routers at
once, and back: how long until all refuse, and until none does. With --towns each seed is a whole deployment in the
storm of harness.storms, with tenants, and the invariant checker looks on as well.
"""

import argparse
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from random import Random

from harness.experiments.twins import LOOKUP_SLACK, PROMPT_SLACK
from harness.run_checks import find_unchecked, seed_range
from sumachook.configuration.tenant import Tenant
from sumachook.simulation.deployment_quotas import DeploymentQuotas
from sumachook.simulation.fault_injection import FaultInjection
from sumachook.simulation.quota_invariant_checker import WINDOWS
from tests.deployment_fixtures import group, leader, settled
from tests.quotas.quota_fixtures import SECOND, QuotaSimulator

MOST_SEEDS = 2000
KNOWN = SECOND * 3
SETTLE = SECOND  # after a fault is over: until all know it
CITIES = {  # (inside its floor, far beyond its ceiling, now this and now that)
    "kosice": (
        Tenant("status", requests_per_s=30.0, floor=0.8, burst_s=2.0),
        Tenant("audits", requests_per_s=6.0, floor=0.5, burst_s=2.0),
        Tenant("claims", requests_per_s=20.0, floor=0.5, ceiling=1.5),
    ),
    "central-java": (
        Tenant("status", requests_per_s=60.0, floor=0.7, burst_s=2.0),
        Tenant("summaries", requests_per_s=12.0, tokens_per_s=6000.0, burst_s=4.0),
        Tenant("letters", requests_per_s=25.0, floor=0.6, ceiling=1.2),
    ),
}


class ShareStorm:
    """One storm over a city's tenants: `run(seconds)` gives what broke the rule."""

    __slots__ = ("random", "spec", "offices", "tenants", "told", "away", "load_times", "figures", "judged", "wait")

    def __init__(self, seed: int):
        self.random = Random(seed)
        self.spec = list(CITIES)[seed % 2]
        self.tenants = CITIES[self.spec]
        latency = self.random.choice(((0.0005, 0.003), (0.0005, 0.003), (0.002, 0.03)))
        self.offices = QuotaSimulator(list(self.tenants), self.random.choice((3, 4, 6, 9)), seed, latency=latency)
        self.told, self.away, self.load_times, self.figures = (
            [],
            {},
            [],
            [self.tenants[2]],
        )  # away: {router: since}; spans: (router or None, from, until)

    def run(self, seconds: int) -> list:
        offices, end = self.offices, self.offices.now + SECOND * seconds
        calm, flood, moving = self.tenants
        offices.offer(calm.name, 0.7 * calm.requests_per_s * calm.floor, seconds)
        more = {"tokens": 200, "estimate": 600, "takes": 0.4} if flood.tokens_per_s else {}
        offices.offer(flood.name, 10 * flood.requests_per_s, seconds, **more)
        while offices.now < end:
            span = self.random.uniform(1.0, 4.0)
            some = self._some_edges()
            offices.offer(moving.name, moving.requests_per_s * self.random.choice((0.3, 0.8, 3.0)), span, some)
            offices.run(span / 2)
            getattr(self, "_fault_" + self.random.choice(FAULTS))()
            offices.run(span / 2)
        self._fault_heal()
        offices.run(12)
        return self._judge()

    def _some_edges(self):
        names = [node.name for node in self.offices.edges]
        return self.random.choice((None, names[:1], names[-1:], names[: len(names) // 2])) if names else None

    def _tell(self, *what):
        self.told.append((round(self.offices.now / SECOND, 2), *what))

    def _lose(self, name):
        self.away.setdefault(name, self.offices.now)

    def _find(self, names):
        for name in list(names):
            if name in self.away:
                self.load_times.append((name, self.away.pop(name), self.offices.now + SETTLE))

    # faults ----------------------------------------------------------------------------

    def _fault_none(self):
        pass

    def _fault_add(self):
        if len(self.offices.edges) < 12:
            name = f"edge-{1 + sum(node.startswith('edge') for node in self.offices.nodes)}"
            self._tell("add", name)
            self.offices.start(name)

    def _fault_restart(self):
        name = self._edge()
        if name:
            self._tell("restart", name)
            was_away = name in self.away  # cut off: so it stays
            self.offices.kill(name)
            self._lose(name)
            self.offices.run(self.random.uniform(0.05, 1.0))
            self.offices.start(name)
            self._find([] if was_away else [name])

    def _fault_kill(self):
        name = self._edge()
        if name and len(self.offices.edges) > 2:
            self._tell("kill", name)
            self.offices.kill(name)
            self._lose(name)

    def _fault_freeze(self):
        name = self._edge()
        if name and not self.offices.nodes[name].is_frozen:
            self._tell("freeze", name)
            self.offices.freeze(name)
            self._lose(name)

    def _fault_holder(self):
        if self.offices.holder:
            self._tell("kill", self.offices.holder)
            self.offices.kill(self.offices.holder)

    def _fault_hand_over(self):
        if self.offices.holder:
            self._tell("hand over", self.offices.holder)
            self.offices.lose_holder(SECOND * 0.3)

    def _fault_frozen_holder(self):
        name = self.offices.holder
        if name:
            self._tell("freeze", name)
            self.offices.freeze(name)
            self.offices.lose_holder()

    def _fault_split(self):
        names = [node.name for node in self.offices.edges]
        side = self.random.sample(names, self.random.randint(1, max(1, len(names) // 2))) if names else []
        self._tell("cut off", *side)
        self.offices.cut(side, [name for name in self.offices.nodes if name not in side])
        for name in side:
            self._lose(name)

    def _fault_configure(self):
        calm, flood, moving = self.tenants
        changed = Tenant(
            moving.name,
            requests_per_s=moving.requests_per_s * self.random.choice((0.5, 1.0, 2.0)),
            floor=moving.floor,
            ceiling=moving.ceiling,
        )
        self.figures.append(changed)
        self._tell("configure", changed.requests_per_s)
        self.offices.configure([calm, flood, changed], spread=self.random.choice((0.05, 1.0)))

    def _fault_heal(self):
        self._tell("heal")
        self.offices.heal()
        for name, node in list(self.offices.nodes.items()):
            if node.is_frozen:
                self.offices.wake(name)
            elif not node.is_up:
                self.offices.start(name)
        self._find(list(self.away))

    def _edge(self):
        names = [node.name for node in self.offices.edges]
        return self.random.choice(names) if names else None

    # judged by callers' and servers' records -----------------------------------------------------

    def _judge(self) -> list:
        offices, found = self.offices, []
        calm, flood, moving = self.tenants
        marks = offices.changes
        changes = max(
            [sum(mark <= other < mark + SECOND * max(WINDOWS) for other in marks) for mark in marks], default=0
        )
        offices.tenants = [calm, flood, max(self.figures, key=lambda each: each.requests_per_s)]
        for each in (calm, flood, moving):
            invariant_checker = offices.invariant_checker(each.name)
            found += [
                f"{each.name}: {line}"
                for line in invariant_checker.ceiling_violations(
                    offices.runs(each.name), changes=changes, is_disturbed=True
                )
            ]
        asks = [
            ask
            for ask, call in zip(offices.asked(calm.name), offices.of(calm.name), strict=False)
            if not self._is_excused(call)
        ]
        routers = sum(name.startswith("edge") for name in offices.nodes)
        self.judged = offices.invariant_checker(calm.name).count_within_floor(asks, routers)
        found += [
            f"{calm.name}: {line}" for line in offices.invariant_checker(calm.name).floor_violations(asks, routers)
        ][:3]
        waits = sorted(
            (call.answered_at - call.at) / SECOND * 1000
            for call in offices.calls
            if not self._is_excused(call) and call.answered_at
        )
        self.wait = waits[int(len(waits) * 0.99)]
        found += [
            f"{call.tenant}: a call at {call.at} had no answer" for call in offices.calls if call.answered_at is None
        ][:1]
        return found

    def _is_excused(self, call):
        """Routers that nobody reaches have their own part; and while nobody lends, so have all, without the parts of
        those that are away or in their first three seconds (docs/design/quotas.md).
        """
        for name, since, until in self.load_times:
            if since - SECOND / 2 <= call.at <= until + KNOWN and (
                self._was_vacant(since, until) or (name == call.edge and call.at <= until)
            ):
                return True
        return False

    def _was_vacant(self, since, until):
        return any(since - SECOND * 6 <= mark <= until + SECOND * 6 for mark in self.offices.changes)


FAULTS = [name.removeprefix("_fault_") for name in dir(ShareStorm) if name.startswith("_fault_")]


def play(seed: int, seconds: int = 60):
    """(seed, city, calls by tenant and outcome, calls judged as inside a floor, p99 of waits in ms, faults, what was
    done) of one storm.
    """
    fault_injection = ShareStorm(seed)
    found = fault_injection.run(seconds)
    outcomes = Counter(
        (call.tenant, "refused" if call.is_refused else "lost" if call.is_lost else "let in")
        for call in fault_injection.offices.calls
    )
    found = [
        *found,
        *find_unchecked({"calls inside a floor": fault_injection.judged, "calls let in": _let_in(outcomes)}),
    ]
    return (
        seed,
        fault_injection.spec,
        outcomes,
        fault_injection.judged,
        fault_injection.wait,
        found,
        fault_injection.told,
    )


def _let_in(outcomes) -> int:
    return sum(count for (_, outcome), count in outcomes.items() if outcome == "let in")


TOWNS = {  # (tenants, groups that go far beyond theirs: calls a second)
    "kosice": (
        [
            {"name": "status", "callers": ["customs-desk"], "requestsPerS": 60.0, "floor": 0.8, "burstS": 2.0},
            {"name": "shops", "callers": ["shop"], "requestsPerS": 4.0, "burstS": 2.0},
            {"name": "auditors", "callers": ["audit"], "requestsPerS": 0.5, "tokensPerS": 3000.0},
        ],
        {"stamps": 300.0, "audits": 5.0},
    ),
    "central-java": (
        [
            {"name": "status", "callers": ["anyone"], "requestsPerS": 60.0, "floor": 0.8, "burstS": 2.0},
            {"name": "summaries", "callers": ["caseworker"], "requestsPerS": 0.5, "tokensPerS": 3000.0},
        ],
        {"status": 300.0, "dossiers": 5.0},
    ),
}
MOST_CHANGES = 3  # of the lender, in ten seconds


def play_deployment(seed: int, seconds: int = 40):
    """The same of a whole town; nobody is judged as inside a floor there, since the storm parts callers, edges and
    cores at will.
    """
    spec = list(TOWNS)[seed % 2]
    tenants, floods = TOWNS[spec]
    deployment = settled(seed, spec, None, voter_away=6.0)
    deployment.ask(
        leader(deployment).node.rsplit("-", 1)[0],
        "POST",
        "/operator/apply",
        {"request": "tenants", "doc": {"tenants": tenants}, "part": True},
    )
    deployment.spec.catalogue = {
        **deployment.spec.catalogue,
        "tenants": tenants,
    }  # the storm applies it whole now and then
    shares = DeploymentQuotas(deployment, tenants)
    callers = deployment.start_callers(0.6, [each for each in deployment.spec.traffic if each["name"] not in floods])
    flood = deployment.start_callers(
        1.0, [group(deployment, name, rate=rate) for name, rate in floods.items()], "flood"
    )
    fault_injection = FaultInjection(deployment, callers, seed)
    deployment.run(2)
    found = fault_injection.run(seconds, 15.0, seed % 3 == 2)
    flood.is_on = False
    for name in shares.tenants:
        lines = shares.invariant_checker(name).ceiling_violations(
            shares.runs(name), changes=MOST_CHANGES, is_disturbed=True
        )
        found = [*found, *(f"{name}: {line}" for line in lines)]
    outcomes = Counter(
        (name, "refused" if call.fault_class == "allowance" else "let in" if shares.has_run(call) else "lost")
        for name in shares.tenants
        for call in shares.calls(name)
    )
    found = [*found, *find_unchecked({"calls let in": _let_in(outcomes)})]
    return seed, spec, outcomes, 0, 0.0, found, fault_injection.injected_faults


TWINS = {  # (the tenant's group, its allowance a second)
    "kosice": (("audits", 0.5), ("claims", 4.0)),
    "central-java": (("dossiers", 0.5), ("status", 60.0)),
}


def play_twin(seed: int, place: int, is_flooded: bool, seconds: int = 25):
    """{group: (answer times, refused)} of everybody but the flooding tenant, and of what it sent: (let in, refused)."""
    spec = list(TWINS)[seed % 2]
    name, rate = TWINS[spec][place]
    deployment = settled(seed, spec, None, voter_away=6.0)
    caller = group(deployment, name)["caller"]
    tenants = [{"name": "flooding", "callers": [caller], "requestsPerS": rate, "burstS": 2.0}]
    deployment.ask(
        leader(deployment).node.rsplit("-", 1)[0],
        "POST",
        "/operator/apply",
        {"request": "tenants", "doc": {"tenants": tenants}, "part": True},
    )
    callers = deployment.start_callers(1.0, [each for each in deployment.spec.traffic if each["name"] != name])
    flood = deployment.start_callers(1.0, [group(deployment, name, rate=rate * 10)], "flood") if is_flooded else None
    deployment.run(seconds)
    calls = [call for call in callers.calls if call.outcome != "pending"]
    found = {}
    for each in {call.group for call in calls}:
        mine = [call for call in calls if call.group == each]
        found[each] = (
            [((call.first_token_at or call.ended_at) - call.sent_at) / SECOND for call in mine if call.outcome == "ok"],
            sum(call.outcome != "ok" for call in mine),
        )
    sent = flood.calls if flood else ()
    return (
        spec,
        name,
        found,
        (sum(call.outcome == "ok" for call in sent), sum(call.fault_class == "allowance" for call in sent)),
    )


def twins(seeds, pool) -> bool:
    """Prints the table; whether nobody was later by more than the slack of harness.twins."""
    runs = [
        (is_flooded, pool.submit(play_twin, seed, place, is_flooded))
        for seed in seeds
        for place in (0, 1)
        for is_flooded in (False, True)
    ]
    sums, floods, is_good = {}, Counter(), bool(runs)
    for is_flooded, run in runs:
        spec, name, found, (let_in, refused) = run.result()
        floods[spec, name, "let in"] += let_in
        floods[spec, name, "refused"] += refused
        for each, (times, failed) in found.items():
            entry = sums.setdefault((spec, name, each), [[[], 0], [[], 0]])[is_flooded]
            entry[0].extend(times)
            entry[1] += failed
    print(
        "| city | flooding: let in, refused | group | answered | median s | 99 of 100 within s | not answered |\n|---|---|---|---|---|---|---|"
    )
    for (spec, name, each), pair in sorted(sums.items()):
        (calm, _), (flooded, _) = pair
        calm.sort()
        flooded.sort()
        faults = find_unchecked(
            {f"{each} answered in {spec} without": len(calm), f"{each} answered in {spec} with": len(flooded)}
        )
        if faults:
            is_good = False
            print(*faults, sep="\n")
            continue
        medians, lates = ([times[int(len(times) * part)] for times in (calm, flooded)] for part in (0.5, 0.99))
        slack = (LOOKUP_SLACK if each in ("stamps", "status") else PROMPT_SLACK) / SECOND
        is_good &= medians[1] <= medians[0] + slack and lates[1] <= lates[0] * 1.25 + slack
        print(
            f"| {spec} | {name}: {floods[spec, name, 'let in']}, {floods[spec, name, 'refused']} | {each} | {len(calm)}, {len(flooded)} | {medians[0]:.3f}, {medians[1]:.3f} "
            f"| {lates[0]:.3f}, {lates[1]:.3f} | {pair[0][1]}, {pair[1][1]} |"
        )
    faults = find_unchecked(
        {
            "calls of a flood let in": _count_floods(floods, "let in"),
            "calls of a flood refused": _count_floods(floods, "refused"),
        }
    )
    print(*(f"{fault}\n" for fault in faults), sep="", end="")
    return is_good and not faults


def _count_floods(floods, what) -> int:
    return sum(count for (_, _, outcome), count in floods.items() if outcome == what)


MOST_TURN = SECOND / 2


def play_turn(seed: int):
    """(routers, until the last router refused, until the last refusal after it was back below)."""
    routers = (4, 8, 16)[seed % 3]
    offices = QuotaSimulator([Tenant("shops", requests_per_s=80.0, burst_s=0.05)], routers, seed)
    offices.offer("shops", 40.0, 5, is_even=True).run(5)
    past = offices.now
    offices.offer("shops", 800.0, 3, is_even=True).run(3)
    firsts = [
        min(call.answered_at for call in offices.of("shops", past) if call.edge == edge.name and call.is_refused)
        for edge in offices.edges
    ]
    below = offices.now
    offices.offer("shops", 40.0, 3, is_even=True).run(3)
    return (
        routers,
        max(firsts) - past,
        max((call.at - below for call in offices.of("shops", below) if call.is_refused), default=SECOND * 0),
    )


def turns(seeds, pool) -> bool:
    """Prints the table; whether each turn took half a second at most."""
    found = list(pool.map(play_turn, seeds))
    print(
        "| routers | turns | all refuse within ms: median, longest | none refuses after ms: median, longest |\n|---|---|---|---|"
    )
    for routers in sorted({item[0] for item in found}):
        ups, downs = (sorted(item[place] / SECOND * 1000 for item in found if item[0] == routers) for place in (1, 2))
        print(
            f"| {routers} | {len(ups)} | {ups[len(ups) // 2]:.0f}, {ups[-1]:.0f} | {downs[len(downs) // 2]:.0f}, {downs[-1]:.0f} |"
        )
    return bool(found) and all(max(up, down) <= MOST_TURN for _, up, down in found)


def main():
    parser = argparse.ArgumentParser(prog="python -m harness.allowances", description=__doc__)
    parser.add_argument("first", type=int)
    parser.add_argument("last", type=int, help=f"at most {MOST_SEEDS} seeds")
    parser.add_argument("--processes", type=int, default=3)
    parser.add_argument("--twins", action="store_true", help="four runs a seed, some ten seconds each")
    parser.add_argument("--turns", action="store_true")
    parser.add_argument("--towns", action="store_true", help="whole towns, some twenty seconds each")
    parser.add_argument("--tell", action="store_true", help="of a storm with faults, print also what was done")
    given = parser.parse_args()
    seeds = seed_range(parser, given.first, given.last, MOST_SEEDS - 1)
    if given.turns:
        with ProcessPoolExecutor(given.processes) as pool:
            is_good = turns(seeds, pool)
        print(
            f"{len(seeds)} turns: " + ("all within half a second" if is_good else "some took LONGER than half a second")
        )
        raise SystemExit(0 if is_good else 1)
    if given.twins:
        with ProcessPoolExecutor(given.processes) as pool:
            is_good = twins(seeds, pool)
        print(f"{len(seeds)} seeds: " + ("nobody else is later" if is_good else "others ARE later"))
        raise SystemExit(0 if is_good else 1)
    bad, judged, longest, sums, kinds = 0, 0, 0.0, Counter(), Counter()
    with ProcessPoolExecutor(given.processes) as pool:
        for seed, spec, outcomes, inside, p99, found, told in pool.map(play_deployment if given.towns else play, seeds):
            bad, judged, longest = bad + bool(found), judged + inside, max(longest, p99)
            for (tenant, outcome), count in outcomes.items():
                sums[spec, tenant, outcome] += count
            kinds.update(what[1] for what in told)
            for line in found:
                print(f"seed {seed} {spec}: {line}", flush=True)
            for line in told if given.tell and found else ():
                print("       ", *line, flush=True)
    print("| city | tenant | let in | refused | lost, or refused for another reason |\n|---|---|---|---|---|")
    for spec, tenant in sorted({key[:2] for key in sums}):
        print(
            f"| {spec} | {tenant} | "
            + " | ".join(str(sums[spec, tenant, outcome]) for outcome in ("let in", "refused", "lost"))
            + " |"
        )
    if given.towns:
        print(f"{len(seeds)} town storms, {bad} with breaches")
        raise SystemExit(1 if bad else 0)
    print("faults:", ", ".join(f"{kind} {count}" for kind, count in sorted(kinds.items())))
    print(f"calls judged as inside a floor: {judged}; the worst storm's p99 of an answer: {longest:.1f} ms")
    print(f"{len(seeds)} storms, {bad} with breaches")
    raise SystemExit(1 if bad else 0)


if __name__ == "__main__":
    main()
