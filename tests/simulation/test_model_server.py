"""The fake model server: fencing tokens, memory and streams that are resumed."""

from datetime import timedelta

from sumachook.host.effects import EndResponse, Reply, SendChunk
from sumachook.host.events import ClientDisconnected, HttpRequestReceived, Tick
from sumachook.simulation.model import ModelServer


def _server(**more):
    listed = {"name": "s", "memory": 10.0, "places": 1, "slots": 2}
    catalogue = {
        "models": [
            {"name": "m", "memory": 6.0, "decodeRate": 100.0},
            {"name": "n", "memory": 6.0, "decodeRate": 100.0},
        ],
        "adapters": [{"name": "x", "model": "m"}],
    }
    return ModelServer(listed, catalogue, **more)


def test_old_fences_and_too_much_memory_are_refused_and_noted():
    """Given a load, one under a lower fencing token and one beyond memory are refused, and the latter is noted."""
    server, now = _server(), timedelta(seconds=1)

    def load(fence, model):
        body = b'{"model":"%s"}' % model
        request = HttpRequestReceived(1, "POST", "/models/load", {"x-sumachook-fence": fence}, body)
        (answer,) = server.take(request, now)
        assert isinstance(answer, Reply)
        return answer.status

    assert load("4", b"m") == 200
    assert load("3", b"n") == 409
    assert load("4", b"n") == 507
    assert len(server.record.broken) == 1


def test_stream_is_resumed_where_it_stopped():
    """Given a stream whose client went away, a resume goes on behind the last event to its end."""
    server, now, step = _server(held=("m",)), timedelta(seconds=1), timedelta(seconds=0.05)
    body = b'{"model":"m","max_tokens":40,"messages":[{"content":"t"}]}'
    server.take(HttpRequestReceived(1, "POST", "/v1/chat/completions", {"x-request-id": "r"}, body), now)
    said = []
    while not any(isinstance(effect, SendChunk) for effect in said):
        now += step
        said += server.take(Tick(), now)
    server.take(ClientDisconnected(1), now)
    last = sum(isinstance(effect, SendChunk) for effect in said) - 1
    resume = HttpRequestReceived(2, "GET", "/v1/chat/completions/r", {"last-event-id": f"r:{last}"}, b"")
    said = server.take(resume, now)
    while EndResponse(2) not in said:
        now += step
        said += server.take(Tick(), now)
    chunks = [effect.data for effect in said if isinstance(effect, SendChunk)]
    assert f"id: r:{last + 1}".encode() in chunks[0] and b"[DONE]" in chunks[-1] and server.record.runs == {"t": 1}
