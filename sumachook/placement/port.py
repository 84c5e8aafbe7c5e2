"""How one format of engine server is asked and ordered; another format is another such file (§14.3)."""

import msgspec


class ServerPort:
    """JSON over `GET /report` and `POST /orders`, the project's own format.

    >>> ServerPort.order("load", "m", "a1", "core-1", 7, 3)[1]
    '/orders'
    >>> ServerPort.read_order(409, b""), ServerPort.read_order(500, b"")
    ('busy', 'bad')
    >>> ServerPort.read_report(200, b'[]') is None
    True
    """

    __slots__ = ()
    _ANSWERS = {202: "begun", 200: "holds", 409: "busy", 412: "fenced", 421: "strange"}

    @staticmethod
    def report():
        return "GET", "/report", {}, b""

    @staticmethod
    def read_report(status: int, body: bytes):
        """What the server says of itself, or None for an answer that is none."""
        try:
            doc = msgspec.json.decode(body)
            if status != 200:
                return None
            models = {item["name"]: list(item["adapters"]) for item in doc["models"]}
            counts = {field: int(doc[field]) for field in ("sequence", "waiting", "running", "cacheUsed", "cacheTotal")}
            return {"models": models, "busy": bool(doc["busy"]), **counts}
        except (msgspec.DecodeError, RecursionError, KeyError, TypeError, ValueError):
            return None

    @staticmethod
    def order(verb: str, model: str, adapter: str, holder: str, fence: int, sequence):
        body = {"verb": verb, "model": model, "holder": holder, "fence": fence}
        if adapter:
            body["adapter"] = adapter
        if sequence is not None:
            body["sequence"] = sequence
        return "POST", "/orders", {"Content-Type": "application/json"}, msgspec.json.encode(body)

    @classmethod
    def read_order(cls, status: int, body: bytes) -> str:
        return cls._ANSWERS.get(status, "bad")
