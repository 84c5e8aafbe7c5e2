"""The soak: what it takes for a fault, and a short run of real processes (docs/design/processes.md)."""

import asyncio

from harness.experiments.soak import SoakSpec, lost_requests, play_soak
from harness.fakes.deployment import KINDS
from harness.fakes.kept_client import AttemptEnd, KeptAttempt

SHORT_RUN_SEED, SHORT_RUN_S = 1, 15.0
LOOKUP = next(kind for kind in KINDS if kind.name == "lookup")


def attempt(request_id, end):
    return KeptAttempt(request_id, LOOKUP, "127.0.0.1:1", 1.0, 1.004, end, 0, True)


def test_a_request_that_ran_and_whose_connection_was_closed_is_lost():
    """Given requests that were cut, of which a server ran one, and others with whole answers, that one is reported."""
    attempts = [
        attempt("q1", AttemptEnd.COMPLETE),
        attempt("q2", AttemptEnd.CUT),
        attempt("q3", AttemptEnd.CUT),
        attempt("q4", AttemptEnd.UNSENT),
    ]
    (fault,) = lost_requests(attempts, {"q1": [()], "q3": [()]})
    assert "LOST: q3 of lookup" in fault


def test_clients_that_keep_their_connections_lose_nothing_while_all_is_restarted_reloaded_and_changed(tmp_path):
    """Given three cores and four edges as real processes under signals, restarts and changes in series that overlap, no request that
    a server ran goes without an answer, no process ends by itself or too late, and the newest configuration is read back."""
    result = asyncio.run(play_soak(SoakSpec(SHORT_RUN_SEED, SHORT_RUN_S), tmp_path))
    assert result.faults == [], result.describe()
