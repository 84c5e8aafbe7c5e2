"""python -m harness.orders FIRST LAST: eight concurrent operators change the configuration while faults are injected.

Half of the responses to operators are lost, cores are killed around requests and responses, and power and disks are
lost. An independent history records each response; prints the rules that it violates.
"""

import argparse
from concurrent.futures import ProcessPoolExecutor
from datetime import timedelta
from functools import partial
from random import Random

from harness.experiments.order_callers import REQUEST_TIMEOUT, ZONES, Operators
from harness.experiments.order_history import OrderHistory
from harness.run_checks import find_unchecked, seed_range
from sumachook.simulation.deployment import Deployment, DeploymentSpec
from tests.configuration.test_services import whole
from tests.deployment_fixtures import EXAMPLES, leader

FIRST_VERSION = 5
CATCH_UP = timedelta(seconds=4)
RECOVERY_S = 12
KILL_FACTORS = (1.0, 0.1, 0.5)  # by seed: factor of the probabilities of a kill
FAULT_CHANCES = (0.2, 0.8, 0.5)  # by seed: probability of a freeze, a partition or a slow disk at each step
AFTER_RESPONSE_S, AFTER_REQUEST_S = (0.0, 0.004), (0.005, 0.4)
MAX_SEEDS = 5000


class OperatorFaultRun:
    """A deployment of three cores under concurrent operators and faults; `run` returns the violations.

    At most one core at a time loses its disk, and the next one not before `CATCH_UP` after the restart of the last.
    """

    def __init__(self, seed: int, edges: int = 1):
        self.random = Random(seed)
        self.kill_factor, self.fault_chance = KILL_FACTORS[seed % 3], FAULT_CHANCES[seed % 3]
        self.deployment = Deployment(
            DeploymentSpec(EXAMPLES / "kosice"), seed, edges, voter_away=1.6, confirm_within=0.8, order_within=0.85
        )
        self.faults, self.timeouts_until, self.next_loss_at, self.kills = [], {}, CATCH_UP, 0
        assert self.deployment.run_until(lambda: leader(self.deployment) is not None, 15)
        assert self.deployment.run_until(lambda: self._send_first_configuration()[0] == 200, 20)
        self.history = OrderHistory(FIRST_VERSION)
        self.callers = Operators(
            self.history, Random(seed + 1), self._http_addresses, self._on_request, self._on_response
        )
        self.deployment.add("operators", "operators", lambda box: self.callers, "", "", "operators")

    def _send_first_configuration(self):
        return self.deployment.ask(
            "core-1", "POST", "/operator/configure", {"request": "first", "doc": whole(FIRST_VERSION), "ifVersion": 0}
        ) or (0,)

    def _cores(self):
        return [box for box in self.deployment.boxes.values() if box.role == "core"]

    def _http_addresses(self):
        return [box.http_address for box in self._cores()]

    # faults -----------------------------------------------------------------------

    def _on_request(self, http_address):
        if self.random.random() < 0.03 * self.kill_factor:
            self._kill_later(self.random.choice(self._cores()), AFTER_REQUEST_S)

    def _on_response(self, http_address, call, status):
        box = self.deployment.by_http_address[http_address]
        if (
            status == 0
            and call.sent_at >= self.timeouts_until.get(box.name, timedelta(0))
            and box.machine is not None
            and not box.is_frozen
        ):
            self.faults.append(f"{box.name} sent no response to {call.path} within 1 s of {call.sent_at}")
        if status == 200 and self.random.random() < 0.06 * self.kill_factor:
            self._kill_later(self.random.choice((box, self._leader_box() or box)), AFTER_RESPONSE_S)

    def _leader_box(self):
        core = leader(self.deployment)
        return next((box for box in self._cores() if box.machine is core), None) if core else None

    def _kill_later(self, box, span):
        self.deployment._later(timedelta(seconds=self.random.uniform(*span)), self._kill, box)

    def _kill(self, box):
        if not self.callers.is_on or box.machine is None:
            return
        draw = self.random.random()
        boxes = self._cores() if draw < 0.15 else [box]
        is_wiped = draw > 0.85 and self.deployment.now >= self.next_loss_at and self._has_full_view()
        self.kills += 1
        for each in boxes:
            self.deployment.kill(each.name)
        if is_wiped:
            box.disk.wipe()
        downtime = self.random.uniform(0.1, 2.0)
        for each in boxes:
            self._expect_timeouts(each, downtime + 0.1)
            self.deployment._later(timedelta(seconds=downtime + self.random.uniform(0, 0.1)), self._start, each)
        if is_wiped:
            self.next_loss_at = self.deployment.now + timedelta(seconds=downtime) + CATCH_UP

    def _start(self, box):
        if box.machine is None:
            self.deployment.start(box.name)
            self._expect_timeouts(box, 0)

    def _expect_timeouts(self, box, seconds):
        """Notes that calls sent to this core within the next `seconds` may time out."""
        until = self.deployment.now + timedelta(seconds=seconds)
        self.timeouts_until[box.name] = max(until, self.timeouts_until.get(box.name, until))

    def _has_full_view(self):
        core, running = leader(self.deployment), {machine.node for machine in self.deployment.machines("core")}
        return core is not None and len(set(core.consensus.members) & running) == 3

    def _inject_fault(self):
        """Injects a freeze, a partition or a slow disk at a random core for up to three seconds."""
        box, duration = self.random.choice(self._cores()), self.random.uniform(0.1, 3.0)
        if box.machine is None or box.is_frozen:
            return
        self._expect_timeouts(box, duration + REQUEST_TIMEOUT.total_seconds())
        ends = timedelta(seconds=duration)
        others = [other.name for other in self._cores() if other is not box]
        match self.random.choice(("freeze", "cut", "one way", "slow")):
            case "freeze":
                self.deployment.freeze(box.name)
                self.deployment._later(ends, self._wake, box)
            case "slow":
                box.disk.delay = timedelta(seconds=self.random.uniform(0.002, 0.2))
            case cut:
                links = self.deployment.cut(
                    [box.name], others, one_way=cut == "one way", holds=self.random.random() < 0.7
                )
                self.deployment._later(ends, self.deployment.heal, links)

    def _wake(self, box):
        if box.is_frozen:
            self.deployment.wake(box.name)

    # the run ----------------------------------------------------------------------

    def run(self, seconds: float = 40.0) -> list:
        end = self.deployment.now + timedelta(seconds=seconds)
        while self.deployment.now < end:
            if self.random.random() < self.fault_chance:
                self._inject_fault()
            self.deployment.run_until(self._check_areas, self.random.uniform(0.2, 1.5))
        self._end_faults()
        return self.faults + self.history.faults(self._read_final_configuration())

    def _check_areas(self):
        """Checks at the leader that each area is open or evacuated as last acknowledged, 0.1 s after the acknowledgement."""
        core = leader(self.deployment)
        for zone in ZONES if core is not None else ():
            change = self.history.last_area_change(zone)
            if (
                change is None
                or change.acknowledged_at is None
                or self.deployment.now - change.acknowledged_at < REQUEST_TIMEOUT / 10
            ):
                continue
            if core.state.is_open(zone) == change.is_evacuation:
                state_name = "open" if change.is_evacuation else "closed"
                self.faults.append(
                    f"{zone} is {state_name} at {self.deployment.now}, though the opposite was acknowledged at {change.acknowledged_at}"
                )
        return False

    def _end_faults(self):
        self.callers.is_on = False
        self.deployment.heal()
        for box in self._cores():
            box.disk.delay, box.disk.stalled_until = timedelta(seconds=0.002), self.deployment.now
            self._wake(box)
            if box.machine is None:
                self.deployment.start(box.name)
        self.deployment.run_until(self._check_areas, RECOVERY_S)

    def _read_final_configuration(self):
        """Returns the configuration read at the end; records a fault if no core answers or two cores differ."""
        read = []
        for box in self._cores():
            answer = self.deployment.ask(box.name, "GET", "/show/catalogue")
            if answer and answer[0] == 200:
                read.append(answer[1]["catalogue"])
        if not read:
            self.faults.append("no core returned the configuration after all faults ended")
            return (
                leader(self.deployment).state.doc
                if leader(self.deployment)
                else self.deployment.machines("core")[0].state.doc
            )
        if any(other != read[0] for other in read):
            self.faults.append("the cores returned different configurations")
        return read[0]


def play(seed: int, seconds: float = 40.0):
    """Returns (seed, changes sent, changes acknowledged, kills, violations) of one run."""
    fault_run = OperatorFaultRun(seed)
    faults = fault_run.run(seconds)
    acknowledged = sum(order.was_told("taken") for order in fault_run.history.orders)
    faults += find_unchecked({"orders": len(fault_run.history.orders), "orders acknowledged": acknowledged})
    return seed, len(fault_run.history.orders), acknowledged, fault_run.kills, list(dict.fromkeys(faults))


def main():
    parser = argparse.ArgumentParser(prog="python -m harness.orders", description=__doc__)
    parser.add_argument("first", type=int)
    parser.add_argument("last", type=int, help=f"last seed; at most {MAX_SEEDS} after the first")
    parser.add_argument(
        "--seconds", type=float, default=40.0, help="seconds of virtual time with operators and faults in each run"
    )
    parser.add_argument("--jobs", type=int, default=4)
    given = parser.parse_args()
    seeds = seed_range(parser, given.first, given.last, MAX_SEEDS)
    orders = acknowledged = kills = bad = 0
    with ProcessPoolExecutor(given.jobs) as pool:
        for seed, sent, taken, killed, faults in pool.map(partial(play, seconds=given.seconds), seeds):
            orders, acknowledged, kills, bad = orders + sent, acknowledged + taken, kills + killed, bad + bool(faults)
            for fault in faults[:5]:
                print(seed, fault, flush=True)
    print(
        f"{len(seeds)} runs, {orders} changes, {acknowledged} acknowledged, {kills} kills, {bad} runs with violations"
    )
    raise SystemExit(1 if bad else 0)


if __name__ == "__main__":
    main()
