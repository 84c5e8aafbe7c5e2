"""The state of one engine server as the holder of the placement lease knows it."""

from datetime import timedelta
from enum import StrEnum

from sumachook.placement.model_names import full_name
from sumachook.placement.port import ServerReport


class Verb(StrEnum):
    """The operation of an order: load or unload."""

    LOAD = "load"
    UNLOAD = "unload"


class Order:
    """An order in flight. It is polled by resending it until the server reports that it is complete.

    `is_accepted` is set once the server has acknowledged the order; `is_from_store` marks a load that reads the weights
    from the store rather than from the server's disk.
    """

    __slots__ = ("verb", "model", "adapter", "is_accepted", "is_from_store", "accepted_at", "due_at", "attempts")

    def __init__(self, verb: Verb, model: str, adapter: str, is_from_store: bool, now: timedelta):
        self.verb = verb
        self.model = model
        self.adapter = adapter
        self.is_from_store = is_from_store
        self.is_accepted = False
        self.accepted_at = now
        self.due_at = now
        self.attempts = 0

    @property
    def name(self) -> str:
        """The model ("model") or adapter ("model/adapter") that is loaded or unloaded."""
        return full_name(self.model, self.adapter)

    def is_load_of(self, model: str, adapter: str = "") -> bool:
        """Returns whether this is a load of the given model or adapter."""
        return self.verb == Verb.LOAD and (self.model, self.adapter) == (model, adapter)


class EngineServer:
    """The assumed contents of an engine server, its order in flight, and when to call it next.

    Attributes
    ----------
    models : {model: adapters} of everything that may occupy memory, including loads and unloads in progress.
    ready : {model: adapters} that serve requests and are not being unloaded.
    on_disk : models that the server has ever held; loading one of them again does not use the store.
    sequence : the server's count of accepted orders that matches `models`, or None while unknown. Every order carries
        it, so the server rejects an order that was delayed or based on outdated contents.
    is_known : whether `models` is based on a report plus the orders since then.
    is_draining : whether the server is leaving or its zone is evacuated.
    is_replaced : whether another server seems to have taken over the address; only rare report requests are sent there.
    pending_call : the number of the one unanswered call, or 0.
    reserved_for : the model that others are being evicted for, or "".
    unused_since : {name: load time} of the models and adapters that no request has used since their load.
    """

    __slots__ = (
        "name",
        "service",
        "address",
        "zone",
        "is_draining",
        "is_known",
        "is_unreachable",
        "is_replaced",
        "sequence",
        "models",
        "ready",
        "on_disk",
        "order",
        "pending_call",
        "poll_at",
        "reserved_for",
        "unused_since",
        "loaded_at",
        "failures",
        "report_due_at",
        "report_requested_at",
        "completed_at",
    )

    def __init__(self, name: str, service: str, now: timedelta):
        self.name = name
        self.service = service
        self.address = ""
        self.zone = ""
        self.is_draining = False
        self.is_known = False
        self.is_unreachable = False
        self.is_replaced = False
        self.sequence: int | None = None
        self.models: dict[str, set[str]] = {}
        self.ready: dict[str, set[str]] = {}
        self.on_disk: set[str] = set()
        self.order: Order | None = None
        self.pending_call = 0
        self.poll_at: timedelta | None = None
        self.reserved_for = ""
        self.unused_since: dict[str, timedelta] = {}
        self.loaded_at: dict[str, timedelta] = {}
        self.failures = 0
        self.report_due_at: timedelta | None = now
        self.report_requested_at: timedelta | None = None
        self.completed_at = now

    @property
    def is_open(self) -> bool:
        """Whether the server's models count as replicas: it is neither draining, unreachable nor replaced."""
        return not self.is_draining and not self.is_unreachable and not self.is_replaced

    @property
    def is_idle(self) -> bool:
        """Whether an order may be sent now: the contents are known, and no order or call is in flight."""
        return self.is_open and self.is_known and self.order is None and not self.pending_call

    def is_loading(self, model: str, adapter: str = "") -> bool:
        """Returns whether the order in flight loads this model or adapter."""
        return self.order is not None and self.order.is_load_of(model, adapter)

    def will_hold(self, model: str) -> bool:
        """Returns whether the server holds the model, loads it, or is reserved for it."""
        return model in self.models or self.reserved_for == model

    def apply_report(self, report: ServerReport) -> None:
        """Replaces the assumed contents with those of a report."""
        self.models = {model: set(adapters) for model, adapters in report.models.items()}
        self.ready = {model: set(adapters) for model, adapters in self.models.items()}
        self.on_disk |= set(self.models)
        self.sequence = report.sequence
        self.is_known = True
        self.order = None
        self.poll_at = None
        self.report_due_at = None
        self.unused_since = {name: at for name, at in self.unused_since.items() if name in self.ready}

    def start_order(self, order: Order) -> None:
        """Records an order that is being sent: a load occupies memory at once, an unload stops serving at once."""
        self.order = order
        if order.verb == Verb.LOAD and order.adapter:
            self.models[order.model].add(order.adapter)
        elif order.verb == Verb.LOAD:
            self.models[order.model] = set()
        elif order.adapter:
            self.ready[order.model].discard(order.adapter)
        else:
            self.ready.pop(order.model, None)

    def complete_order(self, order: Order, now: timedelta) -> None:
        """Applies the order in flight to the contents, after the server reported it complete."""
        self.order = None
        self.poll_at = None
        self.completed_at = now
        if order.verb == Verb.LOAD:
            self._add_loaded(order, now)
        elif order.adapter:
            self.models.get(order.model, set()).discard(order.adapter)
        else:
            self.models.pop(order.model, None)

    def _add_loaded(self, order: Order, now: timedelta) -> None:
        adapters = self.models.setdefault(order.model, set())
        if order.adapter:
            adapters.add(order.adapter)
            self.ready.setdefault(order.model, set()).add(order.adapter)
        else:
            self.ready[order.model] = set(adapters)
            self.on_disk.add(order.model)
        self.unused_since[order.name] = now
        self.loaded_at[order.name] = now

    def invalidate(self, report_due_at: timedelta) -> None:
        """Marks the contents as unknown: the server must report, at `report_due_at`, before it gets another order."""
        self.is_known = False
        self.order = None
        self.poll_at = None
        self.reserved_for = ""
        self.report_due_at = report_due_at
