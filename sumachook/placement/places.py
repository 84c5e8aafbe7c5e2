"""Tracks on an edge which servers hold which models, from the lease holder's placement updates."""

from datetime import timedelta
from typing import NamedTuple

from sumachook.host.effects import Effect, Send
from sumachook.host.events import MessageReceived
from sumachook.placement.effects import PlacementsAdded
from sumachook.placement.messages import PlacementsByServer, PlacementSnapshotRequest, PlacementUpdate


class Epoch(NamedTuple):
    """The scope of update numbers: one fencing token of the lease and one run of the holder's process."""

    fence: int
    incarnation: int


class PlacementView:
    """Applies the placement updates of the lease holder, and requests a snapshot if it missed one.

    >>> places, holder = PlacementView(), ("core-1", "127.0.0.1:1")
    >>> places.take(MessageReceived(*holder, PlacementUpdate(1, 9, 4, False, {})), None)
    [Send(address='127.0.0.1:1', message=PlacementSnapshotRequest(number=0))]
    >>> snapshot = {"i-1": {"m": ("a1",)}, "i-2": {"m": ()}}
    >>> places.take(MessageReceived(*holder, PlacementUpdate(1, 9, 4, True, snapshot)), None)
    [PlacementsAdded()]
    >>> places.holders("m"), places.holders("m", "a1"), places.holds("i-2", "m", "a1")
    (('i-1', 'i-2'), ('i-1',), False)
    >>> places.take(MessageReceived(*holder, PlacementUpdate(1, 9, 6, False, {"i-1": None})), None)
    [Send(address='127.0.0.1:1', message=PlacementSnapshotRequest(number=4))]
    >>> places.take(MessageReceived(*holder, PlacementUpdate(1, 10, 2, False, {"i-1": {"m": ()}})), None)
    [Send(address='127.0.0.1:1', message=PlacementSnapshotRequest(number=0))]
    """

    __slots__ = ("fence", "number", "is_known", "servers", "index", "epoch")

    def __init__(self) -> None:
        self.fence = 0
        self.number = 0
        self.epoch: Epoch | None = None
        self.is_known = False
        self.servers: dict[str, dict[str, frozenset[str]]] = {}
        self.index: dict[str, set[str]] = {}

    def take(self, event: MessageReceived, now: timedelta) -> list[Effect]:
        """Applies a placement update; ignores updates with an older fencing token or an older number."""
        update: PlacementUpdate = event.message
        epoch = Epoch(update.fence, update.incarnation)
        if update.fence < self.fence or (epoch == self.epoch and update.number < self.number):
            return []
        self.fence = update.fence
        if update.is_snapshot:
            gone = {name: None for name in self.servers if name not in update.servers}
            self.number = update.number
            self.epoch = epoch
            self.is_known = True
            return self._apply({**gone, **update.servers})
        if epoch == self.epoch and update.number == self.number + (1 if update.servers else 0):
            self.number = update.number
            return self._apply(update.servers)
        if epoch == self.epoch and update.number == self.number:
            return []  # duplicate update, or a heartbeat
        return [Send(event.address, PlacementSnapshotRequest(self.number if epoch == self.epoch else 0))]

    def _apply(self, servers: PlacementsByServer) -> list[Effect]:
        has_added = False
        for name, models in servers.items():
            has_added |= self._replace(name, models)
        return [PlacementsAdded()] if has_added else []

    def _replace(self, name: str, models: dict[str, tuple[str, ...]] | None) -> bool:
        """Replaces the contents of a server; returns whether they include a new model or adapter."""
        before = self.servers.pop(name, {})
        for model in before:
            self.index[model].discard(name)
        if models is None:
            return False
        held = {model: frozenset(adapters) for model, adapters in models.items()}
        self.servers[name] = held
        for model in held:
            self.index.setdefault(model, set()).add(name)
        return any(model not in before or adapters - before[model] for model, adapters in held.items())

    def holders(self, model: str, adapter: str = "") -> tuple[str, ...]:
        """Returns the sorted names of the servers that hold a model, or an adapter of it."""
        names = self.index.get(model, ())
        return tuple(sorted(name for name in names if not adapter or adapter in self.servers[name][model]))

    def holds(self, instance: str, model: str, adapter: str = "") -> bool:
        """Returns whether a server holds a model, or an adapter of it."""
        adapters = self.servers.get(instance, {}).get(model)
        return adapters is not None and (not adapter or adapter in adapters)

    def forget(self, instance: str, model: str, adapter: str = "") -> None:
        """Removes a model or adapter that the server denied holding, until the next update about this server."""
        models = self.servers.get(instance)
        if models is None or model not in models:
            return
        if adapter:
            models[model] = models[model] - {adapter}
        else:
            del models[model]
            self.index[model].discard(instance)
