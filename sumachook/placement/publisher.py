"""Publishes to the edges which servers hold which models."""

from collections.abc import Iterable, Mapping
from datetime import timedelta

from sumachook.host.effects import Effect, Send
from sumachook.placement.engine_server import EngineServer
from sumachook.placement.messages import PlacementsByServer, PlacementUpdate

Servers = Mapping[str, EngineServer]
Models = dict[str, tuple[str, ...]]


class PlacementPublisher:
    """Sends numbered deltas to all edges, snapshots to new edges and on request, and a heartbeat each second.

    The heartbeat repeats the number of the last delta, so that an edge detects a lost one. A new lease holder publishes
    nothing until it knows its servers, as the edges' placements from the previous holder are better than partial ones.

    Attributes
    ----------
    incarnation : the run of the holder's process that numbers the updates. The fencing token alone does not
        distinguish two runs: it stays the same if the process restarts before its lease ends.
    published : {server: models} as last sent to the edges
    changed : names of servers whose models may differ from `published`
    repeated : names of servers whose models are sent again even if they do not differ
    is_open : whether deltas are sent
    """

    __slots__ = (
        "fence",
        "incarnation",
        "number",
        "published",
        "changed",
        "repeated",
        "edges",
        "is_open",
        "heartbeat_at",
    )

    HEARTBEAT_INTERVAL = timedelta(seconds=1)

    def __init__(self, fence: int, incarnation: int, now: timedelta):
        self.fence = fence
        self.incarnation = incarnation
        self.number = 0
        self.published: dict[str, Models] = {}
        self.changed: set[str] = set()
        self.repeated: set[str] = set()
        self.edges: tuple[str, ...] = ()
        self.is_open = False
        self.heartbeat_at = now

    def mark_changed(self, *names: str) -> None:
        """Marks servers for comparison with what was published last."""
        self.changed.update(names)

    def publish_again(self, name: str) -> None:
        """Sends a server's models again with the next delta: an edge removes a model that the server denied once."""
        self.mark_changed(name)
        self.repeated.add(name)

    def open(self, servers: Servers, edges: tuple[str, ...], now: timedelta) -> list[Effect]:
        """Sends a snapshot to all edges, and enables deltas."""
        self._publish_all(servers)
        self.is_open = True
        self.edges = edges
        self.heartbeat_at = now
        return self._send(self._snapshot(), edges)

    def update_edges(self, edges: tuple[str, ...]) -> list[Effect]:
        """Updates the list of live edges, and sends a snapshot to each new one."""
        known = set(self.edges)
        self.edges = edges
        new_edges = [address for address in edges if address not in known] if self.is_open else []
        return self._send(self._snapshot(), new_edges) if new_edges else []

    def answer(self, address: str, is_blank: bool, servers: Servers) -> list[Effect]:
        """Answers an edge's request for a snapshot.

        An edge without any placements (`is_blank`) gets a partial snapshot even before all servers have reported.
        """
        if self.is_open:
            return self._send(self._snapshot(), (address,))
        if is_blank and any(server.is_known for server in servers.values()):
            self._publish_all(servers)
            return self._send(self._snapshot(), (address,))
        return []

    def publish(self, servers: Servers, now: timedelta) -> list[Effect]:
        """Sends a delta with the changes, or a heartbeat if one is due, to every edge."""
        delta = self._take_delta(servers)
        is_due = now - self.heartbeat_at >= self.HEARTBEAT_INTERVAL
        if not self.is_open or not (delta or is_due):
            return []
        self.heartbeat_at = now
        if delta:
            self.number += 1
        update = PlacementUpdate(self.fence, self.incarnation, self.number, False, delta)
        return self._send(update, self.edges)

    def _publish_all(self, servers: Servers) -> None:
        """Updates `published` for all servers, so that a snapshot is complete."""
        self.mark_changed(*servers)
        self._take_delta(servers)

    def _take_delta(self, servers: Servers) -> PlacementsByServer:
        """Returns the changes since the last call, and records them as published."""
        delta: PlacementsByServer = {}
        for name in self.changed:
            models = _usable_models(servers.get(name))
            if models == self.published.get(name) and (models is None or name not in self.repeated):
                continue
            delta[name] = models
            if models is None:
                del self.published[name]
            else:
                self.published[name] = models
        self.changed = set()
        self.repeated = set()
        return delta

    def _snapshot(self) -> PlacementUpdate:
        servers: PlacementsByServer = dict(self.published)
        return PlacementUpdate(self.fence, self.incarnation, self.number, True, servers)

    @staticmethod
    def _send(update: PlacementUpdate, addresses: Iterable[str]) -> list[Effect]:
        return [Send(address, update) for address in addresses]


def _usable_models(server: EngineServer | None) -> Models | None:
    """Returns {model: adapters} that edges may send requests for, or None if the server is unusable or unknown."""
    if server is None or server.is_unreachable or server.is_replaced:
        return None
    if not server.ready and not server.is_known:
        return None
    return {model: tuple(sorted(adapters)) for model, adapters in server.ready.items()}
