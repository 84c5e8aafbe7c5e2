"""The log excerpts that are added to a failure of a test with real processes."""

import pytest

from harness.fakes.loop_stalls import LoopStalls, Stall
from harness.local_cluster.log_excerpts import with_logs_on_failure

LOG = """{"time": "1", "level": "INFO", "message": "edge: Starting."}
{"time": "2", "level": "INFO", "message": "transit: Request late or dropped."}
{"time": "3", "level": "WARNING", "message": "placement: An engine server is dark."}
Traceback (most recent call last):
"""


@pytest.mark.parametrize("kind", [AssertionError, TimeoutError])
def test_failure_includes_noteworthy_log_lines_and_stalls_of_this_process(tmp_path, kind):
    """A failure includes warnings, start messages and tracebacks from the nodes' logs, and the stalls of this process."""
    (tmp_path / "edge-1.log").write_text(LOG)
    stalls = LoopStalls()
    stalls.stalls = [Stall(1.0, 4.0)]
    with pytest.raises(kind) as failure, with_logs_on_failure(tmp_path, stalls):
        raise kind("another result than expected")
    (note,) = failure.value.__notes__
    first, *lines = note.splitlines()
    assert "1 times" in first and "3.00 s at most" in first
    assert [line.split(" ", 1)[0] for line in lines] == ["edge-1:"] * 3
    assert "Starting" in lines[0] and "dark" in lines[1] and "Traceback" in lines[2]


def test_logs_are_not_read_without_a_failure(tmp_path):
    """Without a failure, the log folder is not read and may be missing."""
    with with_logs_on_failure(tmp_path / "missing", LoopStalls()):
        pass
