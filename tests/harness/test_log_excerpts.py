"""What the failure of a test of real processes tells of their logs."""

import pytest

from harness.fakes.loop_stalls import LoopStalls, Stall
from harness.local_cluster.log_excerpts import with_logs_on_failure

LOG = """{"time": "1", "level": "INFO", "message": "edge: Starting."}
{"time": "2", "level": "INFO", "message": "transit: Request late or dropped."}
{"time": "3", "level": "WARNING", "message": "placement: An engine server is dark."}
Traceback (most recent call last):
"""


@pytest.mark.parametrize("kind", [AssertionError, TimeoutError])
def test_a_failure_tells_the_warnings_of_each_node_and_the_stalls_of_this_process(tmp_path, kind):
    """Given a node's log and a stall, a failure bears the lines that are no everyday ones, by node, and the stall."""
    (tmp_path / "edge-1.log").write_text(LOG)
    stalls = LoopStalls()
    stalls.stalls = [Stall(1.0, 4.0)]
    with pytest.raises(kind) as failure, with_logs_on_failure(tmp_path, stalls):
        raise kind("something else than was expected")
    (note,) = failure.value.__notes__
    first, *lines = note.splitlines()
    assert "1 times" in first and "3.00 s at most" in first
    assert [line.split(" ", 1)[0] for line in lines] == ["edge-1:"] * 3
    assert "Starting" in lines[0] and "dark" in lines[1] and "Traceback" in lines[2]


def test_what_does_not_fail_tells_nothing(tmp_path):
    """Given no failure, nothing is read."""
    with with_logs_on_failure(tmp_path / "missing", LoopStalls()):
        pass
