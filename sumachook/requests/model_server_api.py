"""The HTTP API of model servers: builds calls and parses responses; another API needs its own module."""

from typing import Any, NamedTuple

import msgspec

FENCE = "X-Sumachook-Fence"
REQUEST = "X-Request-Id"

HttpCall = tuple[str, str, dict[str, str], bytes]  # method, path, headers and body


class ChatDelta(NamedTuple):
    """The content of one server-sent event of a chat completion."""

    text: str
    finish_reason: str | None
    tokens_used: int | None  # completion tokens so far, if the server reports them


class ModelServerApi:
    """Supports OpenAI chat completions as server-sent events, llama.cpp's model router and vLLM's LoRA adapter calls.

    All methods are static or class methods, since the API needs no state.
    """

    __slots__ = ()
    MODELS: HttpCall = ("GET", "/models", {}, b"")
    ADAPTERS: HttpCall = ("GET", "/v1/models", {}, b"")
    _CONDITIONS = {"loaded": "ready", "loading": "loading"}

    @staticmethod
    def chat(request_id: str, body: dict[str, Any]) -> HttpCall:
        """Returns the call that runs a prompt; the response is always streamed."""
        document = {**body, "stream": True, "stream_options": {"include_usage": True}}
        return "POST", "/v1/chat/completions", _json_headers({REQUEST: request_id}), msgspec.json.encode(document)

    @staticmethod
    def resume(request_id: str, last_event_id: str) -> HttpCall:
        """Returns the call that resumes a stream.

        It is a GET, so that a server without support for resuming can never run the prompt again.
        """
        headers = {"Last-Event-ID": last_event_id, REQUEST: request_id}
        return "GET", f"/v1/chat/completions/{request_id}", headers, b""

    @staticmethod
    def order(verb: str, kind: str, name: str, fence: int) -> HttpCall:
        """Returns the call that loads or unloads (`verb`) a model or an adapter (`kind`), with its fencing token."""
        if kind == "model":
            path, body = f"/models/{verb}", {"model": name}
        elif verb == "load":
            path, body = "/v1/load_lora_adapter", {"lora_name": name, "lora_path": name}
        else:
            path, body = "/v1/unload_lora_adapter", {"lora_name": name}
        return "POST", path, _json_headers({FENCE: str(fence)}), msgspec.json.encode(body)

    @classmethod
    def read_models(cls, body: bytes) -> dict[str, str] | None:
        """Parses the list of models into {name: "ready" or "loading"}; returns None if the body is invalid.

        >>> loaded, unloaded = b'{"id":"m","status":{"value":"loaded"}}', b'{"id":"n","status":{"value":"unloaded"}}'
        >>> ModelServerApi.read_models(b'{"data":[%s,%s]}' % (loaded, unloaded))
        {'m': 'ready'}
        >>> ModelServerApi.read_models(b'[]') is None
        True
        """
        try:
            items = {
                item["id"]: cls._CONDITIONS.get(item["status"]["value"]) for item in msgspec.json.decode(body)["data"]
            }
        except (msgspec.DecodeError, KeyError, TypeError):
            return None
        return {name: condition for name, condition in items.items() if condition}

    @staticmethod
    def read_adapters(body: bytes) -> dict[str, str] | None:
        """Parses the adapters, which are entries with a parent, into {name: "ready"}; None if the body is invalid."""
        try:
            return {item["id"]: "ready" for item in msgspec.json.decode(body)["data"] if item.get("parent")}
        except (msgspec.DecodeError, KeyError, TypeError, AttributeError):
            return None

    @staticmethod
    def read_event(data: str) -> ChatDelta | None:
        """Parses a server-sent event; returns None if it is not one of a chat completion."""
        try:
            event = msgspec.json.decode(data.encode())
            choice: dict[str, Any] = (event.get("choices") or ({},))[0]
            text = (choice.get("delta") or {}).get("content") or ""
            usage = event.get("usage") or {}
            return ChatDelta(text, choice.get("finish_reason"), usage.get("completion_tokens"))
        except (msgspec.DecodeError, KeyError, TypeError, AttributeError, IndexError):
            return None


def _json_headers(more: dict[str, str]) -> dict[str, str]:
    return {"Content-Type": "application/json", **more}
