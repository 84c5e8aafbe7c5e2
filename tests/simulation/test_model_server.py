"""The fake model server: fencing tokens, memory limit and resumed streams."""

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


def test_load_under_old_fencing_token_or_beyond_memory_is_refused():
    """After a load, one under a lower fencing token gets 409 and one beyond the memory 507; the latter is recorded."""
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


def test_stream_resumes_after_last_event_received():
    """After its client disconnects, a stream resumed with the last event id continues after it to the end, in one run."""
    server, now, step = _server(held=("m",)), timedelta(seconds=1), timedelta(seconds=0.05)
    body = b'{"model":"m","max_tokens":40,"messages":[{"content":"t"}]}'
    server.take(HttpRequestReceived(1, "POST", "/v1/chat/completions", {"x-request-id": "r"}, body), now)
    effects = []
    while not any(isinstance(effect, SendChunk) for effect in effects):
        now += step
        effects += server.take(Tick(), now)
    server.take(ClientDisconnected(1), now)
    last = sum(isinstance(effect, SendChunk) for effect in effects) - 1
    resume = HttpRequestReceived(2, "GET", "/v1/chat/completions/r", {"last-event-id": f"r:{last}"}, b"")
    effects = server.take(resume, now)
    while EndResponse(2) not in effects:
        now += step
        effects += server.take(Tick(), now)
    chunks = [effect.data for effect in effects if isinstance(effect, SendChunk)]
    assert f"id: r:{last + 1}".encode() in chunks[0] and b"[DONE]" in chunks[-1] and server.record.runs == {"t": 1}
