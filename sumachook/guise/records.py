"""A stand-in for one server of the records service."""

import msgspec

JSON = {"Content-Type": "application/json"}


class RecordsServer:
    """Takes (message, now); answers small lookups at once (§12.2)."""

    __slots__ = ("name", "isDark", "arrivals")

    def __init__(self, name: str, arrivals=None):
        self.name, self.isDark, self.arrivals = name, False, [] if arrivals is None else arrivals

    def take(self, message: tuple, now) -> list:
        if message[0] == "stop":
            return [("leave", 0)]
        if message[0] != "http" or self.isDark:
            return []
        _, cid, method, path, headers, _ = message
        record = path.rpartition("/")[2]
        self.arrivals.append((now, headers.get("x-request-id", "").partition(".")[0]))
        if method != "GET" or not path.startswith("/records/") or record.startswith("none"):
            return [("reply", cid, 404, JSON, b'{"error":"no such record"}')]
        return [("reply", cid, 200, JSON, msgspec.json.encode({"id": record, "condition": "stamped", "by": self.name}))]
