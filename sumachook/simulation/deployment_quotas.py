"""What the callers and servers of a town know of its tenants' shares."""

from datetime import timedelta
from typing import Any

from sumachook.configuration.catalogue import read_catalogue
from sumachook.quotas.terms import QuotaTerms
from sumachook.simulation.quota_invariant_checker import Ask, Bounds, QuotaInvariantChecker, Run

OF_WINDOW = timedelta(seconds=0.4)  # between a call's sending and its being let in


class DeploymentShares:
    """The invariant checker of a tenant, with the runs and asks to give it (docs/design/quotas.md).

    A call counts as run at the moment it was sent, if a server's record has it or its caller got an answer; it may have
    been let in up to 0.4 s later, so a window holds at most what one that is longer by that may hold.
    """

    __slots__ = ("deployment", "tenants")

    def __init__(self, deployment: Any, tenants: list[Any]) -> None:
        catalogue, faults = read_catalogue({**deployment.spec.catalogue, "tenants": tenants})
        assert catalogue is not None, faults
        self.deployment, self.tenants = deployment, {tenant.name: tenant for tenant in catalogue.tenants}

    def calls(self, name: str, since: Any = timedelta(0), until: timedelta = timedelta(days=9)) -> list[Any]:
        """Calls of a tenant that were sent in this span."""
        callers = self.tenants[name].callers
        return [
            call
            for box in self.deployment.boxes.values()
            if box.role == "callers" and box.machine
            for call in box.machine.calls
            if call.caller in callers and since <= call.sent_at < until
        ]

    def has_run(self, call: Any) -> bool:
        """Whether a server ran it."""
        return call.outcome == "ok" or any(record.runs.get(call.tag) for record in self.deployment.records.values())

    def runs(self, name: str, **span: Any) -> list[Any]:
        """Calls of a tenant that ran, as the invariant checker takes them."""
        return [Run(call.sent_at) for call in self.calls(name, **span) if self.has_run(call)]

    def asks(self, name: str, **span: Any) -> list[Any]:
        """Calls of a tenant, run or refused, as the invariant checker takes them."""
        return [Ask(call.sent_at, call.fault_class == "allowance") for call in self.calls(name, **span)]

    def invariant_checker(self, name: str) -> QuotaInvariantChecker:
        """The checker of what was written for a tenant."""
        terms = QuotaTerms.of(self.tenants[name])
        slack = OF_WINDOW.total_seconds()
        burst = tuple(most + figure * slack for most, figure in zip(terms.burst, terms.ceiling, strict=True))
        return QuotaInvariantChecker(Bounds(terms.ceiling, terms.floor, burst, terms.floor_burst))
