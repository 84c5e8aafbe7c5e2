"""Builds and parses calls to engine servers; servers with another API need a class like `ServerPort`."""

from enum import StrEnum
from typing import NamedTuple

import msgspec

from sumachook.calls.run_status import MISDIRECTED_REQUEST


class HttpCall(NamedTuple):
    """The method, path, headers and body of an HTTP request to a server."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class ServerReport(msgspec.Struct, frozen=True):
    """An engine server's report of its contents and load.

    `sequence` is its count of accepted orders. While `is_busy`, the server carries out an order and `models` is not
    valid. `waiting` and `running` count requests; `cache_used` and `cache_total` are tokens of its prefix cache.
    """

    models: dict[str, list[str]]
    is_busy: bool
    sequence: int
    waiting: int
    running: int
    cache_used: int
    cache_total: int


class OrderAnswer(StrEnum):
    """A server's answer to an order; logs contain these values."""

    ACCEPTED = "begun"  # the server has started to carry out the order
    COMPLETE = "holds"  # the order is complete, now or already before it came
    BUSY = "busy"  # another order is in progress, or the sequence number does not match
    FENCED = "fenced"  # the server has seen a higher fencing token
    OTHER_SERVER = "strange"  # a different server answers at this address
    INVALID = "bad"  # the server answered with any other HTTP status


class ServerPort:
    """The default API of engine servers: JSON over `GET /report` and `POST /orders`.

    >>> ServerPort.order("load", "m", "a1", "core-1", 7, 3).path
    '/orders'
    >>> ServerPort.read_order(409, b"").value, ServerPort.read_order(500, b"").value
    ('busy', 'bad')
    >>> ServerPort.read_report(200, b'[]') is None
    True
    """

    __slots__ = ()
    INSTANCE = "X-Expect-Instance"
    _ANSWERS = {
        200: OrderAnswer.COMPLETE,
        202: OrderAnswer.ACCEPTED,
        409: OrderAnswer.BUSY,
        412: OrderAnswer.FENCED,
        MISDIRECTED_REQUEST: OrderAnswer.OTHER_SERVER,
    }

    @staticmethod
    def report() -> HttpCall:
        """Returns the request for a server's report."""
        return HttpCall("GET", "/report", {}, b"")

    @classmethod
    def instance_header(cls, instance: str) -> dict[str, str]:
        """Returns the header that names the server a call is for; any other one answers 421 and does nothing."""
        return {cls.INSTANCE: instance}

    @staticmethod
    def is_other_server(status: int) -> bool:
        """Returns whether a response says that another server than the named one has this address."""
        return status == MISDIRECTED_REQUEST

    @staticmethod
    def read_report(status: int, body: bytes) -> ServerReport | None:
        """Parses a report; returns None for a malformed body or a status other than 200."""
        try:
            doc = msgspec.json.decode(body)
            if status != 200:
                return None
            return ServerReport(
                models={item["name"]: list(item["adapters"]) for item in doc["models"]},
                is_busy=bool(doc["busy"]),
                sequence=int(doc["sequence"]),
                waiting=int(doc["waiting"]),
                running=int(doc["running"]),
                cache_used=int(doc["cacheUsed"]),
                cache_total=int(doc["cacheTotal"]),
            )
        except (msgspec.DecodeError, RecursionError, KeyError, TypeError, ValueError):
            return None

    @staticmethod
    def order(verb: str, model: str, adapter: str, holder: str, fence: int, sequence: int | None) -> HttpCall:
        """Returns the request that orders a server to load or unload a model or adapter.

        Parameters
        ----------
        verb : "load" or "unload"
        adapter : an adapter of `model`, or "" for the model itself
        holder, fence : the holder of the placement lease and its fencing token
        sequence : the server's count of accepted orders that this order was based on, or None if it is unknown
        """
        body: dict[str, str | int] = {"verb": verb, "model": model, "holder": holder, "fence": fence}
        if adapter:
            body["adapter"] = adapter
        if sequence is not None:
            body["sequence"] = sequence
        return HttpCall("POST", "/orders", {"Content-Type": "application/json"}, msgspec.json.encode(body))

    @classmethod
    def read_order(cls, status: int, body: bytes) -> OrderAnswer:
        """Maps the status of a response to an order; the body is ignored."""
        return cls._ANSWERS.get(status, OrderAnswer.INVALID)
