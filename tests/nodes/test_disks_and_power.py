"""Disks are lost and every other machine loses power in the same instant: those whose loss is counted, and the edges, which have no disk.

As many disks are lost as are borne, at any moment around a change: just after its acknowledgement, or some milliseconds after it was
sent. The other machines come back with what they had synced, the edges with nothing.
"""

from datetime import timedelta
from random import Random

import pytest

from harness.experiments.order_callers import ZONES
from tests.configuration.test_services import route, whole
from tests.deployment_fixtures import found, invariant_checker, json_fields, leader, outcomes, settled

CORES = ("core-1", "core-2", "core-3")
FIRST_VERSION, NEXT_VERSION = 5, 7
CHANGE = json_fields(
    {"doc": {"version": NEXT_VERSION, "httpRoutes": [route(1)]}, "if_version": FIRST_VERSION, "part": True}
)
DOWN_S = 1.0
RECOVERY_S = 12.0  # what the users' rules allow
ACKNOWLEDGED_BY_MS = 150  # after the change was sent; 45 ms is too soon
STRIKES_MS = (5, 12, 18, 24, 30, 45, 55, 62, 70, 80, ACKNOWLEDGED_BY_MS, 400)


def lose_all(deployment, wiped):
    """Every machine loses power and the disk of one core is lost; gives the names of the machines."""
    names = [box.name for box in deployment.boxes.values() if box.role in ("core", "edge")]
    for name in names:
        deployment.lose_power(name)
    deployment.boxes[wiped].disk.wipe()
    return names


def bring_back(deployment, names):
    """The machines start in any order within 0.3 s, a second after they went."""
    random = Random(len(deployment.logs))
    for name in names:
        deployment._later(timedelta(seconds=DOWN_S + random.uniform(0.0, 0.3)), deployment.start, name)
    deployment.run(DOWN_S + 0.4)


def send(deployment, core, kind, document):
    """Sends an operator's call and does not wait; its number among the answers."""
    operator = deployment.operator()
    number = operator.ask(f"http://{deployment.boxes[core].http_address}/operator/{kind}", "POST", document, False)
    for effect in operator.take(None, deployment.now):
        deployment._execute(deployment.boxes["operator"], effect)
    return number


def ask_until_clear(deployment, method, path, document=None):
    """As operators do it: asks any core until the answer is clear."""
    for turn in range(60):
        answer = deployment.ask(CORES[turn % 3], method, path, document, wait=1.0)
        if answer is not None and answer[0] in (200, 409):
            return answer
        deployment.run(0.2)
    raise AssertionError(f"no clear answer to {method} {path}")


def with_configuration(seed):
    """Three cores and three edges that follow the first configuration."""
    deployment = found(seed, edges=3, voter_away=1.6, confirm_within=0.8, order_within=0.85)
    first = json_fields({"doc": whole(FIRST_VERSION), "if_version": 0})
    assert ask_until_clear(deployment, "POST", "/operator/configure", first)[0] == 200
    assert deployment.run_until(lambda: edge_versions(deployment) == {FIRST_VERSION}, 5)
    return deployment


def edge_versions(deployment):
    return {edge.state.version for edge in deployment.machines("edge")}


@pytest.mark.parametrize("wiped", CORES)
@pytest.mark.parametrize("strike_ms", STRIKES_MS)
def test_a_change_outlives_a_lost_disk_and_the_power_of_all_other_machines(wiped, strike_ms):
    """Given a change that was sent, and so many milliseconds later the loss of one disk and of the power of all other machines, edges
    too: what was acknowledged is read back, what was not is in force whole or not at all, and every edge follows it soon."""
    deployment = with_configuration(500 + strike_ms)
    number = send(deployment, wiped, "configure", CHANGE)
    deployment.run(strike_ms / 1000)
    answer = deployment.operator().answers.get(number)
    bring_back(deployment, lose_all(deployment, wiped))
    version = ask_until_clear(deployment, "GET", "/show/catalogue")[1]["catalogue"]["version"]
    assert version in (FIRST_VERSION, NEXT_VERSION)
    is_acknowledged = answer is not None and answer[0] == 200
    assert is_acknowledged or strike_ms < ACKNOWLEDGED_BY_MS
    if is_acknowledged:
        assert version == NEXT_VERSION
    status, _ = ask_until_clear(deployment, "POST", "/operator/configure", CHANGE)
    assert status == 200  # sent again as it was: taken now, or acknowledged as taken
    assert deployment.run_until(lambda: edge_versions(deployment) == {NEXT_VERSION}, RECOVERY_S)


@pytest.mark.parametrize("zone", ZONES)
@pytest.mark.parametrize("wiped", CORES)
def test_an_evacuation_outlives_a_lost_disk_and_the_power_of_all_other_machines(wiped, zone):
    """Given an evacuation that was acknowledged, then the loss of one disk and of the power of all other machines, edges too, the zone
    stays closed at every core and edge that is back."""
    deployment = with_configuration(600)
    document = {"area": zone}
    assert ask_until_clear(deployment, "POST", "/operator/evacuate", document)[0] == 200
    bring_back(deployment, lose_all(deployment, wiped))
    assert deployment.run_until(lambda: leader(deployment) is not None, RECOVERY_S)
    nodes = deployment.machines("core") + deployment.machines("edge")
    assert len(nodes) == 6
    assert deployment.run_until(lambda: not any(node.state.is_open(zone) for node in nodes), RECOVERY_S)


@pytest.mark.parametrize("wiped", CORES)
def test_calls_are_served_again_after_a_lost_disk_and_the_power_of_all_other_machines(wiped):
    """Given callers, then the loss of one disk and of the power of all other machines, edges too, no call runs against the rules, and
    all that are made later than the recovery time after the return are served."""
    deployment = settled(700)
    callers = deployment.start_callers(1.0)
    deployment.run(3.0)
    bring_back(deployment, lose_all(deployment, wiped))
    back_at = deployment.now
    deployment.run(RECOVERY_S + 10.0)
    callers.is_on = False
    deployment.run(15.0)
    assert invariant_checker(deployment, callers).faults() == []
    late = [call for call in callers.calls if call.sent_at > back_at + timedelta(seconds=RECOVERY_S)]
    assert len(late) > 50 and [call for call in late if call.outcome != "ok"] == []
    assert outcomes(callers, outcome="ok")
