"""Shutdown of a core with pending operator requests (docs/design/forwarding.md).

The failure: a core in shutdown read an operator's request that still waited for its response when the core exited, so its connection was
closed without one. The soak found it by the warning about a connection that was closed with a request on it.
"""

from datetime import timedelta

import msgspec
import pytest

from sumachook.host.effects import Exit, Reply
from sumachook.host.events import HttpRequestReceived, StopRequested, Tick
from tests.deployment_fixtures import leader, settled

TICK = timedelta(seconds=0.05)
MAX_SHUTDOWN_TIME = timedelta(seconds=4)
APPLY = ("POST", "/operator/apply", msgspec.json.encode({"request": "r1", "doc": {"routes": []}, "part": True}))
READ = ("GET", "/show/catalogue", b"")
SEARCH = ("GET", "/ledger/e1.1.1", b"")


class LeavingCore:
    """The leader of a settled deployment after a stop signal; it receives no more messages of other nodes."""

    def __init__(self):
        deployment = settled(1)
        self.core = leader(deployment)
        self.now = deployment.now
        self.take(StopRequested())

    def take(self, event):
        return list(self.core.take(event, self.now))

    def ask(self, call_id, method, path, body):
        return self.take(HttpRequestReceived(call_id, method, path, {}, body))

    def run_until_exit(self):
        effects, begun = [], self.now
        while not any(isinstance(effect, Exit) for effect in effects) and self.now - begun < MAX_SHUTDOWN_TIME:
            self.now += TICK
            effects += self.take(Tick())
        return effects


@pytest.mark.parametrize("call", [APPLY, READ, SEARCH])
def test_pending_operator_requests_are_answered_when_their_core_exits(call):
    """An operator's change, read and search that wait for other cores when their core exits are answered with 503, and
    so is a later request, at once."""
    leaving = LeavingCore()
    leaving.now += timedelta(seconds=2.5)
    replies = [effect for effect in leaving.ask(1, *call) if isinstance(effect, Reply)]
    effects = leaving.run_until_exit()
    replies += [effect for effect in effects if isinstance(effect, Reply)]
    assert isinstance(effects[-1], Exit)
    assert [(reply.call_id, reply.status) for reply in replies] == [(1, 503)]
    (late,) = [effect for effect in leaving.ask(2, *call) if isinstance(effect, Reply)]
    assert (late.call_id, late.status) == (2, 503)
