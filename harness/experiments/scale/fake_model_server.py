"""Adapts a fake engine server to the in-memory fleet."""

from sumachook.host.effects import Reply
from sumachook.host.events import HttpRequestReceived
from sumachook.simulation.fake_engine_server import FakeEngineServer


class FakeModelServer:
    """Answers the provisioner's HTTP requests with a fake engine server."""

    __slots__ = ("engine",)

    def __init__(self, engine: FakeEngineServer):
        self.engine = engine

    def take(self, event, now) -> list:
        if not isinstance(event, HttpRequestReceived):
            return []
        status, answer = self.engine.take(event.method, event.path, event.body, now)
        return [Reply(event.call_id, status, {}, answer)]
