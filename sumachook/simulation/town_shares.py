"""What the callers and servers of a town know of its tenants' shares."""

from datetime import timedelta

from sumachook.allowances.terms import Terms
from sumachook.catalog.catalogue import read_catalogue
from sumachook.simulation.share_witness import Ask, Bounds, Run, ShareWitness

OF_WINDOW = timedelta(seconds=0.4)  # between a call's sending and its being let in


class TownShares:
    """`witness(tenant)`, with `runs` and `asks` to give it, for tenants as the operator wrote them (§15.8).

    A call counts as run at the moment it was sent, if a server's record has it or its caller got an answer; it may have been let in up to
    0.4 s later, so a window holds at most what one that is longer by that may hold.
    """

    __slots__ = ("town", "tenants")

    def __init__(self, town, tenants: list):
        catalogue, faults = read_catalogue({**town.city.catalogue, "tenants": tenants})
        assert catalogue is not None, faults
        self.town, self.tenants = town, {tenant.name: tenant for tenant in catalogue.tenants}

    def calls(self, name, since=timedelta(0), until=timedelta(days=9)):
        callers = self.tenants[name].callers
        return [
            call
            for box in self.town.boxes.values()
            if box.role == "callers" and box.machine
            for call in box.machine.calls
            if call.caller in callers and since <= call.sent_at < until
        ]

    def has_run(self, call) -> bool:
        return call.outcome == "ok" or any(record.runs.get(call.tag) for record in self.town.records.values())

    def runs(self, name, **span):
        return [Run(call.sent_at) for call in self.calls(name, **span) if self.has_run(call)]

    def asks(self, name, **span):
        return [Ask(call.sent_at, call.fault_class == "allowance") for call in self.calls(name, **span)]

    def witness(self, name) -> ShareWitness:
        terms = Terms.of(self.tenants[name])
        slack = OF_WINDOW.total_seconds()
        burst = tuple(most + figure * slack for most, figure in zip(terms.burst, terms.ceiling))
        return ShareWitness(Bounds(terms.ceiling, terms.floor, burst, terms.floor_burst))
