"""The prompts and lookups in flight at an edge, and the state that the pipeline stages share."""

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
    """Requests by id, their queues, the server windows, and the other edges that share the servers."""

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
        self.demand: dict[str, float] = {}  # requests by model or adapter since the last demand report
        self.service_time: dict[str, float] = {}  # moving average of the seconds per prompt, by queue
        # edges that share the servers, and what is known of them
        self.edges: tuple[str, ...] = (node,)  # names of the live edges
        self.peers: tuple[str, ...] = (node,)  # names of the edges that were live within the last minute
        self.knows_edges = False  # False until the first member list is received
        self.knows_time = False  # False until the clocks of the members are received
        # maps derived from the catalogue
        self.callers: dict[str, Any] = {}  # callers by API key
        self.targets: dict[str, tuple[Any, str]] = {}  # model and adapter by the name that callers use
        self.next_alert_at: dict[str, timedelta] = {}  # when a misconfiguration may be logged again, by failure reason
        # records of requests that were refused before the cluster clock was agreed, with the local time of each
        self.unstamped_records: list[tuple[timedelta, dict[str, Any]]] = []

    def cluster_timestamp(self, now: timedelta) -> str:
        """Converts a monotonic time to the ISO 8601 cluster time that the ledger stores."""
        return str(self.cluster_clock.time(now).isoformat())

    def queue_settings(self, request: InferenceRequest) -> Any:
        """Returns the settings of the request's queue in the current catalogue, or None if the queue was removed."""
        return next((queue for queue in self.state.catalogue.lines if queue.name == request.queue), None)

    def limit(self, server: dict[str, Any]) -> int:
        """Returns the slots of a server that this edge may use: 1.5 times an even share, to allow for uneven load."""
        return int(max(1, -(-3 * server["slots"] // (2 * len(self.edges)))))

    def rank(self, salt: str) -> tuple[int, int]:
        """Returns the index of this edge among the recently live edges, and their number.

        The order depends on `salt`, the server's name, so that the first place differs from server to server.
        """
        order = sorted(self.peers, key=lambda edge: stable_hash(edge, salt))
        return (order.index(self.node) if self.node in order else 0), max(1, len(order))

    def record(self, request: InferenceRequest) -> dict[str, Any]:
        """Returns the opening record of the request for the ledger."""
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
        """Queues the request until a server is selected for it."""
        if request.kind == PROMPT:
            self.queues.push(request.queue, request)
        else:
            self.waiting_lookups.append(request)

    def remove_from_queue(self, request: InferenceRequest) -> None:
        """Removes the request from its queue; does nothing if it is not queued."""
        if request.kind == PROMPT:
            self.queues.remove(request.queue, request)
        elif request in self.waiting_lookups:
            self.waiting_lookups.remove(request)


def stable_hash(*words: str) -> int:
    """Returns a hash that is the same in every process, unlike the built-in `hash`."""
    return crc32("|".join(words).encode())
