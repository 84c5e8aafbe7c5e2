"""The prompts and lookups that an edge has in flight, and what the passes over them share."""

from datetime import timedelta
from random import Random
from typing import Any
from zlib import crc32

from sumachook.inference.inference_request import PROMPT, InferenceRequest
from sumachook.inference.queues import Queues
from sumachook.inference.server_window import ServerWindow
from sumachook.requests import request_table
from sumachook.requests.model_server_api import ModelServerApi


class RequestTable(request_table.RequestTable):
    """Requests by id, queues, windows of servers, and what is known of the other edges."""

    __slots__ = (
        "callers",
        "demand",
        "edges",
        "knows_edges",
        "knows_time",
        "next_alert_at",
        "peers",
        "queues",
        "service_time",
        "targets",
        "unstamped_records",
        "waiting_lookups",
    )

    SERVER_WINDOW = ServerWindow
    RETRY_DELAY_DIVISOR = 20

    def __init__(
        self,
        node: str,
        restart_epoch: int,
        zone: str,
        state: Any,
        follower: Any,
        retry_budget: Any,
        random: Random,
        cluster_clock: Any,
    ) -> None:
        super().__init__(
            node, restart_epoch, zone, state, follower, retry_budget, random, ModelServerApi(), cluster_clock
        )
        self.queues = Queues()
        self.waiting_lookups: list[InferenceRequest] = []
        self.demand: dict[str, float] = {}  # requests by model or adapter since the last report
        self.service_time: dict[str, float] = {}  # seconds that a prompt takes, by queue; a moving average
        # other edges
        self.edges: tuple[str, ...] = (node,)  # the live ones
        self.peers: tuple[str, ...] = (node,)  # those that were so within the last minute
        self.knows_edges = False  # until the first list of members has come
        self.knows_time = False  # until the members' clocks have come
        # of the catalogue
        self.callers: dict[str, Any] = {}  # by API key
        self.targets: dict[str, tuple[Any, str]] = {}  # model and adapter by the name that callers use
        self.next_alert_at: dict[str, timedelta] = {}  # by the reason of a misconfiguration
        # records of requests refused before this node knew the time, with the moment
        self.unstamped_records: list[tuple[timedelta, dict[str, Any]]] = []

    def stamp(self, now: timedelta) -> str:
        """The agreed time of a moment, as the ledger writes it."""
        return str(self.cluster_clock.time(now).isoformat())

    def queue_settings(self, request: InferenceRequest) -> Any:
        """The request's queue as the catalogue has it now, or None if it was taken out."""
        return next((queue for queue in self.state.catalogue.lines if queue.name == request.queue), None)

    def limit(self, server: dict[str, Any]) -> int:
        """This edge's share of a server's slots: half again the even one, so that uneven load finds room."""
        return int(max(1, -(-3 * server["slots"] // (2 * len(self.edges)))))

    def rank(self, salt: str) -> tuple[int, int]:
        """This edge's place, and how many edges there are, in an order that differs from server to server."""
        order = sorted(self.peers, key=lambda edge: hash_of(edge, salt))
        return (order.index(self.node) if self.node in order else 0), max(1, len(order))

    def record(self, request: InferenceRequest) -> dict[str, Any]:
        """The request as the ledger opens it."""
        return {
            "request": request.request_id,
            "caller": request.caller.name,
            "line": request.queue,
            "kind": request.kind,
            "asked": request.name,
            "key": request.idempotency_key,
            "edge": self.node,
            "incarnation": self.restart_epoch,
            "state": "open",
            "openedAt": request.opened_at,
            "generation": request.generation,
            "tag": request.client_request_id,
        }

    def add_to_queue(self, request: InferenceRequest) -> None:
        """Lets the request wait for a server."""
        if request.kind == PROMPT:
            self.queues.push(request.queue, request)
        else:
            self.waiting_lookups.append(request)

    def remove_from_queue(self, request: InferenceRequest) -> None:
        """Takes the request out of its queue, if it waits in one."""
        if request.kind == PROMPT:
            self.queues.remove(request.queue, request)
        elif request in self.waiting_lookups:
            self.waiting_lookups.remove(request)


def hash_of(*words: str) -> int:
    """A hash that is the same in every process."""
    return crc32("|".join(words).encode())
