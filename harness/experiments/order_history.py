"""An independent history of the responses to operators, and the consistency rules that it must satisfy."""

from dataclasses import dataclass, field
from datetime import timedelta

OK, REFUSED, UNCLEAR = "taken", "refused", "unclear"
REFUSALS = (400, 409, 412, 413, 422)


@dataclass(slots=True, eq=False)
class Order:
    """A change of the configuration; it adds a route named `mark`, which shows whether a configuration contains it."""

    mark: str
    base: int
    version: int
    document: dict
    is_valid: bool = True
    answers: list = field(default_factory=list)  # (time, kind, whether the operator received it)

    def was_told(self, kind: str, only_received=False) -> bool:
        return any(answer_kind == kind and (received or not only_received) for _, answer_kind, received in self.answers)


@dataclass(slots=True)
class AreaChange:
    """A call that evacuates an area (`is_evacuation`) or restores it."""

    zone: str
    is_evacuation: bool
    sent_at: timedelta
    acknowledged_at: timedelta | None = None


@dataclass(slots=True)
class Read:
    """A read of the configuration: times of request and response, and the version and marks that it returned."""

    requested_at: timedelta
    responded_at: timedelta
    version: int
    marks: frozenset


def kind_of(status: int) -> str:
    """Classifies a response status as acknowledged, refused or unclear; 0 stands for a timeout.

    >>> kind_of(200), kind_of(412), kind_of(503), kind_of(0)
    ('taken', 'refused', 'unclear', 'unclear')
    """
    if status == 200:
        return OK
    return REFUSED if status in REFUSALS else UNCLEAR


def marks_of(configuration: dict | None) -> frozenset:
    """Returns the marks in a configuration, or the empty set for None."""
    return frozenset(
        route["name"] for route in (configuration or {}).get("httpRoutes", ()) if route["name"].startswith("mark-")
    )


@dataclass(slots=True)
class OrderHistory:
    """Records changes, evacuations and reads as they are answered; `faults` returns the violated rules."""

    first_version: int
    orders: list = field(default_factory=list)
    area_changes: list = field(default_factory=list)
    reads: list = field(default_factory=list)
    violations: list = field(default_factory=list)

    def record_answer(self, order: Order, now, status: int, received: bool):
        kind = kind_of(status)
        if kind == REFUSED and order.was_told(OK):
            self.violations.append(
                f"{order.mark} ({order.base} -> {order.version}) was acknowledged, then refused with {status}"
            )
        order.answers.append((now, kind, received))

    def last_area_change(self, zone: str):
        return next((change for change in reversed(self.area_changes) if change.zone == zone), None)

    def faults(self, configuration) -> list:
        """Returns all violations, given the configuration at the end of the run."""
        present = marks_of(configuration)
        found = list(self.violations)
        for check in (self._check_acknowledged, self._check_refused, self._check_invalid, self._check_chain):
            found += check(present)
        return found + self._check_reads(present)

    def _check_acknowledged(self, present):
        return [
            f"{order.mark} was acknowledged but is not in the final configuration"
            for order in self.orders
            if order.was_told(OK) and order.mark not in present
        ]

    def _check_refused(self, present):
        return [
            f"{order.mark} ({order.base} -> {order.version}) was refused but is in the final configuration"
            for order in self.orders
            if order.was_told(REFUSED, only_received=True) and order.mark in present
        ]

    def _check_invalid(self, present):
        return [
            f"{order.mark} is invalid but was acknowledged or is in the final configuration"
            for order in self.orders
            if not order.is_valid and (order.was_told(OK) or order.mark in present)
        ]

    def _check_chain(self, present):
        """Checks that each applied change names its predecessor as its base and has a higher version."""
        found, previous = [], self.first_version
        for order in sorted((order for order in self.orders if order.mark in present), key=lambda order: order.version):
            if order.base != previous or order.version <= previous:
                found.append(f"{order.mark} ({order.base} -> {order.version}) was applied after version {previous}")
            previous = order.version
        return found

    def _check_reads(self, present):
        found, by_mark = [], {order.mark: order for order in self.orders}
        acknowledged = sorted(
            (at, order.version) for order in self.orders for at, kind, _ in order.answers if kind == OK
        )
        for read in self.reads:
            newest = max(
                (version for at, version in acknowledged if at <= read.requested_at), default=self.first_version
            )
            newest = max([newest, *(other.version for other in self.reads if other.responded_at <= read.requested_at)])
            if read.version < newest:
                found.append(
                    f"a read sent at {read.requested_at} returned version {read.version}, though {newest} was known before"
                )
            wanted = {mark for mark in present if by_mark[mark].version <= read.version}
            if read.marks != wanted:
                found.append(
                    f"a read of version {read.version} differs from that version in {sorted(read.marks ^ wanted)}"
                )
        return found
