"""Loss of one core's disk while every other machine, including the edges without a disk, loses power at the same instant.

As many disks are lost as the cluster tolerates, at any time around a change: just after its acknowledgement or some milliseconds after
it was sent. The other cores restart with the data that they had synced, the edges with none.
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
RECOVERY_S = 12.0  # the limit that the users' requirements set
ACKNOWLEDGED_BY_MS = 150  # after the change was sent; 45 ms is too early
DELAYS_MS = (5, 12, 18, 24, 30, 45, 55, 62, 70, 80, ACKNOWLEDGED_BY_MS, 400)


def cut_power_and_wipe(deployment, wiped):
    """Cuts the power of every machine and wipes the disk of one core; returns the machines' names."""
    names = [box.name for box in deployment.boxes.values() if box.role in ("core", "edge")]
    for name in names:
        deployment.lose_power(name)
    deployment.boxes[wiped].disk.wipe()
    return names


def restart(deployment, names):
    """Restarts the machines in random order within 0.3 s, a second after they lost power."""
    random = Random(len(deployment.logs))
    for name in names:
        deployment._later(timedelta(seconds=DOWN_S + random.uniform(0.0, 0.3)), deployment.start, name)
    deployment.run(DOWN_S + 0.4)


def send(deployment, core, kind, document):
    """Sends an operator's request without waiting; returns its number, the key of its answer."""
    operator = deployment.operator()
    number = operator.ask(f"http://{deployment.boxes[core].http_address}/operator/{kind}", "POST", document, False)
    for effect in operator.take(None, deployment.now):
        deployment._execute(deployment.boxes["operator"], effect)
    return number


def ask_until_definite(deployment, method, path, document=None):
    """Asks one core after the other, as operators do, until one answers with 200 or 409."""
    for turn in range(60):
        answer = deployment.ask(CORES[turn % 3], method, path, document, wait=1.0)
        if answer is not None and answer[0] in (200, 409):
            return answer
        deployment.run(0.2)
    raise AssertionError(f"no clear answer to {method} {path}")


def configured_deployment(seed):
    """Creates three cores and three edges that have applied the first configuration."""
    deployment = found(seed, edges=3, voter_away=1.6, confirm_within=0.8, order_within=0.85)
    first = json_fields({"doc": whole(FIRST_VERSION), "if_version": 0})
    assert ask_until_definite(deployment, "POST", "/operator/configure", first)[0] == 200
    assert deployment.run_until(lambda: edge_versions(deployment) == {FIRST_VERSION}, 5)
    return deployment


def edge_versions(deployment):
    return {edge.state.version for edge in deployment.machines("edge")}


@pytest.mark.parametrize("wiped", CORES)
@pytest.mark.parametrize("delay_ms", DELAYS_MS)
def test_change_survives_a_lost_disk_and_power_loss_of_all_other_machines(wiped, delay_ms):
    """Some milliseconds after a change was sent, one disk is lost and all other machines, edges too, lose power. An
    acknowledged change is read back, any other is in force completely or not at all, and every edge follows it soon."""
    deployment = configured_deployment(500 + delay_ms)
    number = send(deployment, wiped, "configure", CHANGE)
    deployment.run(delay_ms / 1000)
    answer = deployment.operator().answers.get(number)
    restart(deployment, cut_power_and_wipe(deployment, wiped))
    version = ask_until_definite(deployment, "GET", "/show/catalogue")[1]["catalogue"]["version"]
    assert version in (FIRST_VERSION, NEXT_VERSION)
    is_acknowledged = answer is not None and answer[0] == 200
    assert is_acknowledged or delay_ms < ACKNOWLEDGED_BY_MS
    if is_acknowledged:
        assert version == NEXT_VERSION
    status, _ = ask_until_definite(deployment, "POST", "/operator/configure", CHANGE)
    assert status == 200  # the same change sent again: accepted now, or recognized as already accepted
    assert deployment.run_until(lambda: edge_versions(deployment) == {NEXT_VERSION}, RECOVERY_S)


@pytest.mark.parametrize("zone", ZONES)
@pytest.mark.parametrize("wiped", CORES)
def test_evacuation_survives_a_lost_disk_and_power_loss_of_all_other_machines(wiped, zone):
    """After an acknowledged evacuation, one disk is lost and all other machines, edges too, lose power: the zone stays
    closed at every restarted core and edge."""
    deployment = configured_deployment(600)
    document = {"area": zone}
    assert ask_until_definite(deployment, "POST", "/operator/evacuate", document)[0] == 200
    restart(deployment, cut_power_and_wipe(deployment, wiped))
    assert deployment.run_until(lambda: leader(deployment) is not None, RECOVERY_S)
    nodes = deployment.machines("core") + deployment.machines("edge")
    assert len(nodes) == 6
    assert deployment.run_until(lambda: not any(node.state.is_open(zone) for node in nodes), RECOVERY_S)


@pytest.mark.parametrize("wiped", CORES)
def test_requests_are_served_again_after_a_lost_disk_and_power_loss_of_all_other_machines(wiped):
    """Under traffic, one disk is lost and all other machines, edges too, lose power: no request violates an invariant,
    and all sent later than the recovery time after the restart are served."""
    deployment = settled(700)
    callers = deployment.start_callers(1.0)
    deployment.run(3.0)
    restart(deployment, cut_power_and_wipe(deployment, wiped))
    restarted_at = deployment.now
    deployment.run(RECOVERY_S + 10.0)
    callers.is_on = False
    deployment.run(15.0)
    assert invariant_checker(deployment, callers).faults() == []
    late = [call for call in callers.calls if call.sent_at > restarted_at + timedelta(seconds=RECOVERY_S)]
    assert len(late) > 50 and [call for call in late if call.outcome != "ok"] == []
    assert outcomes(callers, outcome="ok")
