"""Seeded random faults over a whole deployment: invariants hold and the deployment recovers."""

import pytest

from harness.experiments.storms import play


@pytest.mark.parametrize("seed", [100, 114, 118, 121])
def test_random_faults_break_no_invariant_and_deployment_recovers(seed):
    """Random faults break no invariant, and after the recovery period everything is as before; in every third seed the run
    ends with the loss of all nodes, and only what is on the disks is checked.

    Seeds 100 and 121 once showed edges that reverted a change, 114 a view that lasted but acknowledged nothing, 118 calls
    missing in every log.
    """
    assert play(seed)[4] == []
