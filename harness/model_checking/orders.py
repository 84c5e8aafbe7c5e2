"""Sends the operator requests of a schedule."""

from functools import singledispatchmethod

from harness.model_checking import choices
from harness.model_checking.control_deployment import ZONES, ControlDeployment
from harness.model_checking.operators import Order

MIN_PATIENCE = 1.0  # seconds without a response after which an operator tries another core
CONFIGURE_PATH = "/operator/configure"


class Orders:
    """Sends orders and reads for the operators; each operator bases its orders on the newest version that it knows."""

    def __init__(self, deployment: ControlDeployment):
        self.deployment, self.sent, self.number = deployment, [], 0

    @singledispatchmethod
    def apply(self, choice):
        """Sends the request of one choice; raises TypeError for a choice that is not a request."""
        raise TypeError(f"{choice!r} is not an order")

    def first(self) -> Order:
        """Sends the initial configuration as a whole document."""
        whole = {"name": "model", "areas": list(ZONES), "services": [{"name": "service"}]}
        return self._configure(whole, 0, 1, ("0", "1", "2") * 3, 1.0, 0, False, is_part=False)

    def probe(self) -> Order:
        """Sends a change based on the newest version delivered by any core, to every machine in turn."""
        version = self.deployment.invariants.versions.at(self.deployment.now)
        return self._configure({}, version, version + 1, ("0", "1", "2", "3", "4") * 6, 0.5, 0, False)

    def _configure(self, whole, base, version, targets, patience, padding, is_invalid, is_part=True):
        self.number += 1
        key = f"order-{self.number}"
        service = "no-such-service" if is_invalid else "service"
        route = {
            "name": key,
            "host": "example",
            "prefix": f"/{key}/",
            "kind": "repeatable",
            "timeoutMs": 1000,
            "split": [{"service": service, "weight": 1}],
        }
        content = {
            **whole,
            "version": version,
            "extra": {"order": key, "padding": "x" * padding},
            "httpRoutes": [route],
        }
        order = Order(
            "configure",
            key,
            CONFIGURE_PATH,
            {"ifVersion": base, "part": is_part, "doc": content, "removals": {}},
            base,
            version,
            is_invalid,
        )
        self.sent.append(order)
        self.deployment.operators.send(order, targets, patience, self.deployment.now)
        return order

    def _known(self, operator):
        """Returns the newest version that this operator knows: two of three operators know every acknowledged version,
        the third only every third one.
        """
        version = self.deployment.invariants.acknowledged.at(self.deployment.now)
        return version - version % 3 if operator % 3 == 2 and version >= 3 else version

    @apply.register
    def _(self, choice: choices.Order):
        base = max(0, self._known(choice.operator) - choice.behind)
        self._configure(
            {}, base, base + 1 + choice.skip, choice.targets, choice.patience, choice.padding, choice.is_invalid
        )

    @apply.register
    def _(self, choice: choices.Resend):
        if self.sent:
            order = self.sent[max(0, len(self.sent) - 1 - choice.back)]
            again = Order(
                order.kind, order.key, order.path, order.document, order.base, order.version, order.is_invalid
            )
            self.deployment.operators.send(again, choice.targets, choice.patience, self.deployment.now)

    @apply.register
    def _(self, choice: choices.Evacuate):
        zone = ZONES[choice.zone % len(ZONES)]
        register = self.deployment.invariants.zone(zone)
        last = register.orders[-1] if register.orders else None
        if last is not None and last.acknowledged_at is None:
            order = last
            if order.next_at is not None and self.deployment.now < order.next_at:
                return  # the previous attempt of this order is still pending
        else:
            kind = "restore" if last is not None and last.kind == "evacuate" else "evacuate"
            order = Order(kind, f"{kind}-{zone}-{len(register.orders)}", f"/operator/{kind}", {"area": zone})
            register.orders.append(order)
        self.deployment.operators.send(order, choice.targets, max(choice.patience, MIN_PATIENCE), self.deployment.now)

    @apply.register
    def _(self, choice: choices.Read):
        order = Order("read", "read", f"/show/{choice.shows}", None)
        self.deployment.operators.send(order, (choice.target,), 1.0, self.deployment.now)
