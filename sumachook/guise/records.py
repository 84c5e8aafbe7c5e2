"""A stand-in for one server of the records service."""

import msgspec

JSON = {"Content-Type": "application/json"}


class RecordsServer:
    """Takes (message, now); answers small lookups at once (§12.2)."""

    __slots__ = ("name", "isDark", "isBusy")

    def __init__(self, name: str):
        self.name, self.isDark, self.isBusy = name, False, False

    def take(self, message: tuple, now) -> list:
        if message[0] == "stop":
            return [("leave", 0)]
        if message[0] != "http" or self.isDark:
            return []
        _, cid, method, path, _, _ = message
        if self.isBusy:
            return [("reply", cid, 503, JSON, b'{"error":"busy"}')]
        record = path.rpartition("/")[2]
        if method != "GET" or not path.startswith("/records/") or record.startswith("none"):
            return [("reply", cid, 404, JSON, b'{"error":"no such record"}')]
        return [("reply", cid, 200, JSON, msgspec.json.encode({"id": record, "condition": "stamped", "by": self.name}))]
