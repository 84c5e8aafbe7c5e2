"""The table of requests in flight at an edge, with the state that the passes of a pipeline share."""

from datetime import timedelta
from random import Random
from typing import Any, ClassVar

from sumachook.changefeed.trust import Trust
from sumachook.requests.server_window import ServerWindow

# An edge refuses requests beyond this number, to bound its memory.
MAX_REQUESTS = 4000
# A core repeats a leaving notice until the change is committed or withdrawn; this is longer than the repeat interval.
LEAVING_NOTICE_TTL = timedelta(seconds=2)
BASE_RETRY_DELAY = timedelta(seconds=1)
MAX_RETRY_DELAY = timedelta(seconds=30)


class RequestTable:
    """Holds requests by id, server windows and cluster state; the logic is in the pipeline passes."""

    __slots__ = (
        "avoided_until",
        "by_call_id",
        "cluster_clock",
        "counts",
        "follower",
        "generation",
        "is_draining",
        "node",
        "number",
        "port",
        "random",
        "requests",
        "restart_epoch",
        "retry_budget",
        "server_windows",
        "state",
        "tenants",
        "zone",
    )

    SERVER_WINDOW: ClassVar[type[ServerWindow]]
    # Divides a request's timeout to cap its first retry delay, so that short timeouts are not spent on backoff.
    RETRY_DELAY_DIVISOR: ClassVar[int]

    def __init__(
        self,
        node: str,
        restart_epoch: int,
        zone: str,
        state: Any,
        follower: Any,
        retry_budget: Any,
        random: Random,
        port: Any,
        cluster_clock: Any,
    ) -> None:
        self.node = node
        self.restart_epoch = restart_epoch
        self.zone = zone
        self.state = state
        self.follower = follower
        self.retry_budget = retry_budget
        self.random = random
        self.port = port
        self.cluster_clock = cluster_clock
        self.requests: dict[Any, Any] = {}
        self.by_call_id: dict[Any, Any] = {}  # maps call ids to keys of `requests`
        self.server_windows: dict[str, Any] = {}
        self.counts: dict[tuple[str, ...], int] = {}
        self.avoided_until: dict[str, timedelta] = {}  # servers announced as leaving, before the change is committed
        self.tenants: dict[str, str] = {}  # tenant names by caller or route
        self.generation = -1  # generation of the catalogue that the derived state belongs to
        self.is_draining = False
        self.number = 0  # number of the latest request at this edge

    def count(self, *labels: str) -> None:
        """Increments the metrics counter with these labels."""
        self.counts[labels] = self.counts.get(labels, 0) + 1

    def server_window(self, name: str) -> Any:
        """Returns the window of a server, and creates it on first use."""
        if name not in self.server_windows:
            self.server_windows[name] = self.SERVER_WINDOW()
        return self.server_windows[name]

    def note_leaving(self, servers: Any, now: timedelta) -> None:
        """Avoids servers announced as leaving until `LEAVING_NOTICE_TTL` passes without a repeated notice."""
        self.avoided_until |= dict.fromkeys(servers, now + LEAVING_NOTICE_TTL)

    def is_usable(self, name: str, server: dict[str, Any], trust: Trust, now: timedelta) -> bool:
        """Returns whether requests may be sent to the server.

        A node that is disconnected from the cores sends only within its own zone, because it may have missed the
        evacuation of another zone.
        """
        is_reachable_zone = trust is not Trust.DISCONNECTED or server["area"] == self.zone
        return (
            not server["leaving"]
            and self.avoided_until.get(name, now) <= now
            and self.state.is_open(server["area"])
            and is_reachable_zone
        )

    def retry_delay(self, request: Any) -> timedelta:
        """Returns the next retry delay: exponential backoff with full jitter, scaled down for short timeouts."""
        first = min(BASE_RETRY_DELAY, (request.deadline - request.arrived_at) / self.RETRY_DELAY_DIVISOR)
        delay: timedelta = min(MAX_RETRY_DELAY, first * 2 ** max(0, request.attempt - 1)) * self.random.random()
        return delay
