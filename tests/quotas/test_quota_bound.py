"""The required bound on a tenant's admitted requests in any five seconds, under overload and faults (docs/design/quotas.md)."""

from bisect import bisect_left, bisect_right

import pytest

from sumachook.configuration.tenant import Tenant
from tests.quotas.quota_fixtures import SECOND, QuotaSimulator

WINDOW_S, OVERSHOOT, SLACK = 5.0, 0.1, 20
VACANCY = SECOND * 1.5
FLOOD = 5  # overload, as a multiple of the tenant's rate


def most_in_a_window(simulator):
    times = sorted(call.ran_at.total_seconds() for call in simulator.calls if call.ran_at is not None)
    return max(bisect_right(times, since + WINDOW_S) - bisect_left(times, since) for since in times)


@pytest.mark.parametrize(("rate", "edges"), [(6, 12), (62, 6)])
@pytest.mark.parametrize("faults", [(), ("lost",), ("cut",), ("cut", "lost"), ("frozen", "lost")])
def test_overload_is_admitted_within_the_bound_through_faults_of_the_issuer(rate, edges, faults):
    """Given a tenant with a full burst that sends five times its rate from all edges, while the issuer's core is lost, a
    third of the edges is isolated, or an edge freezes and resumes, no window of five seconds exceeds the allowed total."""
    simulator = QuotaSimulator([Tenant("t", keys=("k",), requests_per_s=float(rate), burst=float(rate))], edges=edges)
    simulator.run(2).offer("t", FLOOD * rate, 8.0)
    simulator.run(0.5)
    names = [edge.name for edge in simulator.edges]
    if "cut" in faults:
        cut_off = names[: edges // 3]
        simulator.cut(cut_off, [name for name in simulator.nodes if name not in cut_off])
    if "frozen" in faults:
        simulator.freeze(names[0])
    if "lost" in faults:
        simulator.lose_holder(after=VACANCY)
    simulator.run(3)
    if "frozen" in faults:
        simulator.wake(names[0])
    simulator.run(1).heal()
    simulator.run(4)
    assert most_in_a_window(simulator) <= (rate * WINDOW_S + rate) * (1 + OVERSHOOT) + SLACK
    assert most_in_a_window(simulator) > rate * WINDOW_S * 0.5
