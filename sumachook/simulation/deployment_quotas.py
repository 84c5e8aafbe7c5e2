"""Checks the quotas of a deployment's tenants against the records of its clients and servers."""

from datetime import timedelta
from typing import Any

from sumachook.configuration.catalogue import read_catalogue
from sumachook.quotas.terms import QuotaTerms
from sumachook.simulation.quota_invariant_checker import Bounds, ClientRequest, QuotaInvariantChecker, Run

MAX_ADMISSION_DELAY = timedelta(seconds=0.4)  # the longest time from the sending of a call to its admission


class DeploymentQuotas:
    """Builds the quota checker of each tenant and collects its runs and requests (docs/design/quotas.md).

    A call that a server's record lists, or whose client got an answer, counts as run at the moment it was sent. It may
    have been admitted up to 0.4 s later, so the bound of a window is that of a window longer by 0.4 s.
    """

    __slots__ = ("deployment", "tenants")

    def __init__(self, deployment: Any, tenants: list[Any]) -> None:
        catalogue, faults = read_catalogue({**deployment.spec.catalogue, "tenants": tenants})
        assert catalogue is not None, faults
        self.deployment, self.tenants = deployment, {tenant.name: tenant for tenant in catalogue.tenants}

    def calls(self, name: str, since: Any = timedelta(0), until: timedelta = timedelta(days=9)) -> list[Any]:
        """Returns the tenant's calls that were sent from `since` up to, but not including, `until`."""
        callers = self.tenants[name].callers
        return [
            call
            for box in self.deployment.boxes.values()
            if box.role == "callers" and box.machine
            for call in box.machine.calls
            if call.caller in callers and since <= call.sent_at < until
        ]

    def has_run(self, call: Any) -> bool:
        """Returns whether the call succeeded or a server's record shows that it ran."""
        return call.outcome == "ok" or any(record.runs.get(call.tag) for record in self.deployment.records.values())

    def runs(self, name: str, **span: Any) -> list[Any]:
        """Returns the tenant's calls that ran, as input for the quota checker."""
        return [Run(call.sent_at) for call in self.calls(name, **span) if self.has_run(call)]

    def asks(self, name: str, **span: Any) -> list[Any]:
        """Returns all calls of the tenant, run or refused, as input for the quota checker."""
        return [ClientRequest(call.sent_at, call.fault_class == "allowance") for call in self.calls(name, **span)]

    def invariant_checker(self, name: str) -> QuotaInvariantChecker:
        """Returns a checker of the tenant's configured quota, with bursts widened by 0.4 s of its ceiling."""
        terms = QuotaTerms.of(self.tenants[name])
        slack = MAX_ADMISSION_DELAY.total_seconds()
        burst = tuple(most + figure * slack for most, figure in zip(terms.burst, terms.ceiling, strict=True))
        return QuotaInvariantChecker(Bounds(terms.ceiling, terms.floor, burst, terms.floor_burst))
