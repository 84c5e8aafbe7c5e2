"""Crowds of clients that don't behave, against real processes with lowered limits (docs/design/memory.md).

Run apart from other tests and one at a time: `python -m pytest -n 0 -m crowd`.
"""

import asyncio

import pytest

from harness.client_crowds.crowds import CROWDS, MEBIBYTE
from harness.client_crowds.trial import MachineLimits, play_crowd
from harness.fakes.loop_stalls import LoopStalls
from harness.local_cluster.log_excerpts import with_logs_on_failure

pytestmark = pytest.mark.crowd

MEMORY_MB = 100
BODY_BYTES = MEBIBYTE


@pytest.mark.parametrize("spec", CROWDS, ids=lambda spec: spec.name.replace(" ", "-"))
def test_process_stays_within_its_machine_and_ordinary_requests_are_answered(tmp_path, spec):
    """While a crowd holds its connections, the process that it meets lives, stays within the memory (unread bytes counted) and the
    descriptors of its machine, and an ordinary request is answered, then and afterwards."""
    limits = MachineLimits(MEMORY_MB, spec.descriptors, BODY_BYTES)
    result = asyncio.run(play_crowd(spec, limits, tmp_path))
    with with_logs_on_failure(tmp_path, LoopStalls()):
        assert result.faults == [], result.describe()
