"""How one format of model server is spoken to; another format is another such file."""

import msgspec

FENCE = "X-Sumachook-Fence"
REQUEST = "X-Request-Id"


class OpenPort:
    """Chat completions with server-sent events, llama.cpp's router for models, vLLM's calls for adapters (§7.8).

    Every call is (method, path, headers, body); reading is static, so this holds no state.
    """

    __slots__ = ()
    MODELS, ADAPTERS = ("GET", "/models", {}, b""), ("GET", "/v1/models", {}, b"")
    _CONDITIONS = {"loaded": "ready", "loading": "loading"}

    @staticmethod
    def chat(request: str, body: dict):
        wanted = {**body, "stream": True, "stream_options": {"include_usage": True}}
        return "POST", "/v1/chat/completions", _json_headers({REQUEST: request}), msgspec.json.encode(wanted)

    @staticmethod
    def resume(request: str, last_event_id: str):
        """A GET: a server that does not know how to resume can never run the prompt again for it."""
        return "GET", f"/v1/chat/completions/{request}", {"Last-Event-ID": last_event_id, REQUEST: request}, b""

    @staticmethod
    def order(verb: str, kind: str, name: str, fence: int):
        if kind == "model":
            path, body = f"/models/{verb}", {"model": name}
        elif verb == "load":
            path, body = "/v1/load_lora_adapter", {"lora_name": name, "lora_path": name}
        else:
            path, body = "/v1/unload_lora_adapter", {"lora_name": name}
        return "POST", path, _json_headers({FENCE: str(fence)}), msgspec.json.encode(body)

    @classmethod
    def read_models(cls, body: bytes):
        """{name: condition}, or None for an answer that is none.

        >>> OpenPort.read_models(b'{"data":[{"id":"m","status":{"value":"loaded"}},{"id":"n","status":{"value":"unloaded"}}]}')
        {'m': 'ready'}
        >>> OpenPort.read_models(b'[]') is None
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
    def read_adapters(body: bytes):
        """{name: "ready"} of the entries that have a parent."""
        try:
            return {item["id"]: "ready" for item in msgspec.json.decode(body)["data"] if item.get("parent")}
        except (msgspec.DecodeError, KeyError, TypeError, AttributeError):
            return None

    @staticmethod
    def read_event(data: str):
        """(text, finish reason, tokens used) of one event, or None where it is not one of ours."""
        try:
            event = msgspec.json.decode(data.encode())
            choices = event.get("choices") or ({},)
            text = (choices[0].get("delta") or {}).get("content") or ""
            usage = event.get("usage") or {}
            return text, choices[0].get("finish_reason"), usage.get("completion_tokens")
        except (msgspec.DecodeError, KeyError, TypeError, AttributeError, IndexError):
            return None


def _json_headers(more):
    return {"Content-Type": "application/json", **more}
