"""python -m harness.allowances FIRST LAST: injects seeded random faults into quota limiters and lease issuers and prints
violations of the tenant quota rules (docs/design/quotas.md).

--twins runs each seed twice, without and with a tenant that sends ten times its quota through every edge, and compares
the response times of all other request groups. --turns raises the load of a tenant from half of its ceiling to ten
times the ceiling on all routers at once, and lowers it again; it measures how long it takes until every router refuses
requests and until none does. --towns runs each seed on a whole deployment under the faults of harness.storms, with
tenants configured and the invariant checker active.
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

MAX_SEEDS = 2000
SHARE_DELAY = SECOND * 3
NOTICE_DELAY = SECOND  # after the end of a fault: time until all nodes have noticed it
CITIES = {  # tenants (load below the floor, load far above the ceiling, varying load)
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


class QuotaFaultRun:
    """A fault injection run over the tenants of one deployment; `run(seconds)` returns the violated quota rules."""

    __slots__ = (
        "random",
        "spec",
        "simulator",
        "tenants",
        "told",
        "unreachable_since",
        "outages",
        "varying_tenants",
        "checked_calls",
        "p99_wait_ms",
    )

    def __init__(self, seed: int):
        self.random = Random(seed)
        self.spec = list(CITIES)[seed % 2]
        self.tenants = CITIES[self.spec]
        latency = self.random.choice(((0.0005, 0.003), (0.0005, 0.003), (0.002, 0.03)))
        self.simulator = QuotaSimulator(list(self.tenants), self.random.choice((3, 4, 6, 9)), seed, latency=latency)
        self.told, self.unreachable_since, self.outages, self.varying_tenants = (
            [],
            {},
            [],
            [self.tenants[2]],
        )  # unreachable_since: {router: time}; outages: (router or None, from, until)

    def run(self, seconds: int) -> list:
        simulator, end = self.simulator, self.simulator.now + SECOND * seconds
        steady, flood, varying = self.tenants
        simulator.offer(steady.name, 0.7 * steady.requests_per_s * steady.floor, seconds)
        more = {"tokens": 200, "estimate": 600, "takes": 0.4} if flood.tokens_per_s else {}
        simulator.offer(flood.name, 10 * flood.requests_per_s, seconds, **more)
        while simulator.now < end:
            span = self.random.uniform(1.0, 4.0)
            some = self._random_edges()
            simulator.offer(varying.name, varying.requests_per_s * self.random.choice((0.3, 0.8, 3.0)), span, some)
            simulator.run(span / 2)
            getattr(self, "_fault_" + self.random.choice(FAULTS))()
            simulator.run(span / 2)
        self._fault_heal()
        simulator.run(12)
        return self._check()

    def _random_edges(self):
        names = [node.name for node in self.simulator.edges]
        return self.random.choice((None, names[:1], names[-1:], names[: len(names) // 2])) if names else None

    def _record_fault(self, *what):
        self.told.append((round(self.simulator.now / SECOND, 2), *what))

    def _mark_unreachable(self, name):
        self.unreachable_since.setdefault(name, self.simulator.now)

    def _mark_reachable(self, names):
        for name in list(names):
            if name in self.unreachable_since:
                self.outages.append((name, self.unreachable_since.pop(name), self.simulator.now + NOTICE_DELAY))

    # faults ----------------------------------------------------------------------------

    def _fault_none(self):
        pass

    def _fault_add(self):
        if len(self.simulator.edges) < 12:
            name = f"edge-{1 + sum(node.startswith('edge') for node in self.simulator.nodes)}"
            self._record_fault("add", name)
            self.simulator.start(name)

    def _fault_restart(self):
        name = self._random_edge()
        if name:
            self._record_fault("restart", name)
            was_unreachable = name in self.unreachable_since  # partitioned before the restart, and still so after it
            self.simulator.kill(name)
            self._mark_unreachable(name)
            self.simulator.run(self.random.uniform(0.05, 1.0))
            self.simulator.start(name)
            self._mark_reachable([] if was_unreachable else [name])

    def _fault_kill(self):
        name = self._random_edge()
        if name and len(self.simulator.edges) > 2:
            self._record_fault("kill", name)
            self.simulator.kill(name)
            self._mark_unreachable(name)

    def _fault_freeze(self):
        name = self._random_edge()
        if name and not self.simulator.nodes[name].is_frozen:
            self._record_fault("freeze", name)
            self.simulator.freeze(name)
            self._mark_unreachable(name)

    def _fault_holder(self):
        if self.simulator.holder:
            self._record_fault("kill", self.simulator.holder)
            self.simulator.kill(self.simulator.holder)

    def _fault_hand_over(self):
        if self.simulator.holder:
            self._record_fault("hand over", self.simulator.holder)
            self.simulator.lose_holder(SECOND * 0.3)

    def _fault_frozen_holder(self):
        name = self.simulator.holder
        if name:
            self._record_fault("freeze", name)
            self.simulator.freeze(name)
            self.simulator.lose_holder()

    def _fault_split(self):
        names = [node.name for node in self.simulator.edges]
        side = self.random.sample(names, self.random.randint(1, max(1, len(names) // 2))) if names else []
        self._record_fault("cut off", *side)
        self.simulator.cut(side, [name for name in self.simulator.nodes if name not in side])
        for name in side:
            self._mark_unreachable(name)

    def _fault_configure(self):
        steady, flood, varying = self.tenants
        changed = Tenant(
            varying.name,
            requests_per_s=varying.requests_per_s * self.random.choice((0.5, 1.0, 2.0)),
            floor=varying.floor,
            ceiling=varying.ceiling,
        )
        self.varying_tenants.append(changed)
        self._record_fault("configure", changed.requests_per_s)
        self.simulator.configure([steady, flood, changed], spread=self.random.choice((0.05, 1.0)))

    def _fault_heal(self):
        self._record_fault("heal")
        self.simulator.heal()
        for name, node in list(self.simulator.nodes.items()):
            if node.is_frozen:
                self.simulator.wake(name)
            elif not node.is_up:
                self.simulator.start(name)
        self._mark_reachable(list(self.unreachable_since))

    def _random_edge(self):
        names = [node.name for node in self.simulator.edges]
        return self.random.choice(names) if names else None

    # checks against the records of callers and servers -------------------------------------------

    def _check(self) -> list:
        simulator, found = self.simulator, []
        steady, flood, varying = self.tenants
        marks = simulator.changes
        changes = max(
            [sum(mark <= other < mark + SECOND * max(WINDOWS) for other in marks) for mark in marks], default=0
        )
        simulator.tenants = [steady, flood, max(self.varying_tenants, key=lambda each: each.requests_per_s)]
        for each in (steady, flood, varying):
            invariant_checker = simulator.invariant_checker(each.name)
            found += [
                f"{each.name}: {line}"
                for line in invariant_checker.ceiling_violations(
                    simulator.runs(each.name), changes=changes, is_disturbed=True
                )
            ]
        asks = [
            ask
            for ask, call in zip(simulator.asked(steady.name), simulator.of(steady.name), strict=False)
            if not self._is_exempt(call)
        ]
        routers = sum(name.startswith("edge") for name in simulator.nodes)
        self.checked_calls = simulator.invariant_checker(steady.name).count_within_floor(asks, routers)
        found += [
            f"{steady.name}: {line}"
            for line in simulator.invariant_checker(steady.name).floor_violations(asks, routers)
        ][:3]
        waits = sorted(
            (call.answered_at - call.at) / SECOND * 1000
            for call in simulator.calls
            if not self._is_exempt(call) and call.answered_at
        )
        self.p99_wait_ms = waits[int(len(waits) * 0.99)]
        found += [
            f"{call.tenant}: the call at {call.at} got no admission decision"
            for call in simulator.calls
            if call.answered_at is None
        ][:1]
        return found

    def _is_exempt(self, call):
        """Whether the floor is not guaranteed for this call (docs/design/quotas.md).

        An unreachable router admits only its own share of the quota. While there is no lease issuer, every router does,
        and the shares of routers that are unreachable or started less than three seconds ago are not usable.
        """
        for name, since, until in self.outages:
            if since - SECOND / 2 <= call.at <= until + SHARE_DELAY and (
                self._lacked_issuer(since, until) or (name == call.edge and call.at <= until)
            ):
                return True
        return False

    def _lacked_issuer(self, since, until):
        return any(since - SECOND * 6 <= mark <= until + SECOND * 6 for mark in self.simulator.changes)


FAULTS = [name.removeprefix("_fault_") for name in dir(QuotaFaultRun) if name.startswith("_fault_")]


def play(seed: int, seconds: int = 60):
    """Injects random faults of one seed into the quota simulator and checks the quota rules.

    Returns (seed, deployment, calls by tenant and outcome, calls checked against a floor, 99th percentile of the
    admission wait in ms, violations, injected faults).
    """
    fault_injection = QuotaFaultRun(seed)
    found = fault_injection.run(seconds)
    outcomes = Counter(
        (call.tenant, "refused" if call.is_refused else "lost" if call.is_lost else "let in")
        for call in fault_injection.simulator.calls
    )
    found = [
        *found,
        *find_unchecked({"calls inside a floor": fault_injection.checked_calls, "calls let in": _let_in(outcomes)}),
    ]
    return (
        seed,
        fault_injection.spec,
        outcomes,
        fault_injection.checked_calls,
        fault_injection.p99_wait_ms,
        found,
        fault_injection.told,
    )


def _let_in(outcomes) -> int:
    return sum(count for (_, outcome), count in outcomes.items() if outcome == "let in")


DEPLOYMENT_TENANTS = {  # (tenants, {request group that exceeds its quota: calls/s})
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
MAX_ISSUER_CHANGES = 3  # changes of the lease issuer in ten seconds


def play_deployment(seed: int, seconds: int = 40):
    """Injects random faults of one seed into a whole deployment with tenants and returns the same tuple as `play`.

    No call is checked against a floor, since the faults partition callers, edges and cores at random.
    """
    spec = list(DEPLOYMENT_TENANTS)[seed % 2]
    tenants, floods = DEPLOYMENT_TENANTS[spec]
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
    }  # fault injection applies the whole catalogue at random times
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
            shares.runs(name), changes=MAX_ISSUER_CHANGES, is_disturbed=True
        )
        found = [*found, *(f"{name}: {line}" for line in lines)]
    outcomes = Counter(
        (name, "refused" if call.fault_class == "allowance" else "let in" if shares.has_run(call) else "lost")
        for name in shares.tenants
        for call in shares.calls(name)
    )
    found = [*found, *find_unchecked({"calls let in": _let_in(outcomes)})]
    return seed, spec, outcomes, 0, 0.0, found, fault_injection.injected_faults


TWINS = {  # (request group of the tenant, its quota in requests/s)
    "kosice": (("audits", 0.5), ("claims", 4.0)),
    "central-java": (("dossiers", 0.5), ("status", 60.0)),
}


def play_twin(seed: int, place: int, is_flooded: bool, seconds: int = 25):
    """Measures the response times of all request groups, with or without a tenant that sends ten times its quota.

    Returns (deployment, flooding group, {other group: (seconds to the first byte, calls not answered)}, (calls of the
    flood admitted, calls of the flood refused)).
    """
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
    """Prints the table; returns whether the flood delayed no other group by more than the slack of harness.twins."""
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
        "| deployment | flood: admitted, refused | group | answered | median s | 99th percentile s | not answered |\n|---|---|---|---|---|---|---|"
    )
    for (spec, name, each), pair in sorted(sums.items()):
        (steady, _), (flooded, _) = pair
        steady.sort()
        flooded.sort()
        faults = find_unchecked(
            {f"{each} answered in {spec} without": len(steady), f"{each} answered in {spec} with": len(flooded)}
        )
        if faults:
            is_good = False
            print(*faults, sep="\n")
            continue
        medians, lates = ([times[int(len(times) * part)] for times in (steady, flooded)] for part in (0.5, 0.99))
        slack = (LOOKUP_SLACK if each in ("stamps", "status") else PROMPT_SLACK) / SECOND
        is_good &= medians[1] <= medians[0] + slack and lates[1] <= lates[0] * 1.25 + slack
        print(
            f"| {spec} | {name}: {floods[spec, name, 'let in']}, {floods[spec, name, 'refused']} | {each} | {len(steady)}, {len(flooded)} | {medians[0]:.3f}, {medians[1]:.3f} "
            f"| {lates[0]:.3f}, {lates[1]:.3f} | {pair[0][1]}, {pair[1][1]} |"
        )
    faults = find_unchecked(
        {
            "calls of a flood let in": _count_flood_calls(floods, "let in"),
            "calls of a flood refused": _count_flood_calls(floods, "refused"),
        }
    )
    print(*(f"{fault}\n" for fault in faults), sep="", end="")
    return is_good and not faults


def _count_flood_calls(floods, what) -> int:
    return sum(count for (_, _, outcome), count in floods.items() if outcome == what)


MAX_TRANSITION = SECOND / 2


def play_turn(seed: int):
    """Returns (routers, time from the overload until the last router refuses, time from its end until the last refusal)."""
    routers = (4, 8, 16)[seed % 3]
    simulator = QuotaSimulator([Tenant("shops", requests_per_s=80.0, burst_s=0.05)], routers, seed)
    simulator.offer("shops", 40.0, 5, is_even=True).run(5)
    past = simulator.now
    simulator.offer("shops", 800.0, 3, is_even=True).run(3)
    firsts = [
        min(call.answered_at for call in simulator.of("shops", past) if call.edge == edge.name and call.is_refused)
        for edge in simulator.edges
    ]
    below = simulator.now
    simulator.offer("shops", 40.0, 3, is_even=True).run(3)
    return (
        routers,
        max(firsts) - past,
        max((call.at - below for call in simulator.of("shops", below) if call.is_refused), default=SECOND * 0),
    )


def turns(seeds, pool) -> bool:
    """Prints the table; returns whether every transition took at most half a second."""
    found = list(pool.map(play_turn, seeds))
    print(
        "| routers | runs | ms until all refuse: median, longest | ms until none refuses: median, longest |\n|---|---|---|---|"
    )
    for routers in sorted({item[0] for item in found}):
        ups, downs = (sorted(item[place] / SECOND * 1000 for item in found if item[0] == routers) for place in (1, 2))
        print(
            f"| {routers} | {len(ups)} | {ups[len(ups) // 2]:.0f}, {ups[-1]:.0f} | {downs[len(downs) // 2]:.0f}, {downs[-1]:.0f} |"
        )
    return bool(found) and all(max(up, down) <= MAX_TRANSITION for _, up, down in found)


def main():
    parser = argparse.ArgumentParser(prog="python -m harness.allowances", description=__doc__)
    parser.add_argument("first", type=int)
    parser.add_argument("last", type=int, help=f"last seed; at most {MAX_SEEDS} seeds run")
    parser.add_argument("--processes", type=int, default=3)
    parser.add_argument(
        "--twins",
        action="store_true",
        help="compare others' response times without and with a flood: four runs per seed, about ten seconds each",
    )
    parser.add_argument("--turns", action="store_true")
    parser.add_argument("--towns", action="store_true", help="run whole deployments, about twenty seconds each")
    parser.add_argument("--tell", action="store_true", help="for a run with violations, also print the injected faults")
    given = parser.parse_args()
    seeds = seed_range(parser, given.first, given.last, MAX_SEEDS - 1)
    if given.turns:
        with ProcessPoolExecutor(given.processes) as pool:
            is_good = turns(seeds, pool)
        print(
            f"{len(seeds)} load changes: "
            + ("all within half a second" if is_good else "some took LONGER than half a second")
        )
        raise SystemExit(0 if is_good else 1)
    if given.twins:
        with ProcessPoolExecutor(given.processes) as pool:
            is_good = twins(seeds, pool)
        print(
            f"{len(seeds)} seeds: "
            + ("the flood delays no other group" if is_good else "the flood DELAYS other groups")
        )
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
    print("| deployment | tenant | admitted | refused | lost, or refused for another reason |\n|---|---|---|---|---|")
    for spec, tenant in sorted({key[:2] for key in sums}):
        print(
            f"| {spec} | {tenant} | "
            + " | ".join(str(sums[spec, tenant, outcome]) for outcome in ("let in", "refused", "lost"))
            + " |"
        )
    if given.towns:
        print(f"{len(seeds)} runs of whole deployments, {bad} with violations")
        raise SystemExit(1 if bad else 0)
    print("faults:", ", ".join(f"{kind} {count}" for kind, count in sorted(kinds.items())))
    print(
        f"calls checked against a floor: {judged}; longest 99th percentile of the admission wait in a run: {longest:.1f} ms"
    )
    print(f"{len(seeds)} runs, {bad} with violations")
    raise SystemExit(1 if bad else 0)


if __name__ == "__main__":
    main()
