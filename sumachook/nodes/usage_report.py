"""Reports of each model's usage that an edge sends to the placer (docs/design/forwarding.md)."""

from datetime import timedelta
from typing import Any

from sumachook.forwarding.request_table import RequestTable
from sumachook.placement.messages import UsageByService

REPORT_INTERVAL = timedelta(seconds=0.2)
EDGES_AT_INTERVAL = 20  # number of edges above which the interval grows in proportion to their number


class UsageReport:
    """Schedules the usage reports of one edge."""

    __slots__ = ("next_at",)

    def __init__(self, now: timedelta) -> None:
        self.next_at = now

    def take(self, table: RequestTable, now: timedelta) -> UsageByService | None:
        """Returns the usage by service and model if a report is due, else None; resets the counts of begun requests."""
        if now < self.next_at or not (table.begun_by_service or table.running_by_service):
            return None
        self.next_at = now + REPORT_INTERVAL * max(1, table.edges / EDGES_AT_INTERVAL)
        names_by_service = {
            service: set(table.begun_by_service.get(service, ())) | set(table.running_by_service.get(service, ()))
            for service in {*table.begun_by_service, *table.running_by_service}
        }
        usage = {
            service: {name: _usage_of(table, service, name) for name in model_names}
            for service, model_names in names_by_service.items()
        }
        table.begun_by_service = {}
        return usage


def _usage_of(table: RequestTable, service: str, name: str) -> tuple[Any, ...]:
    """Returns the requests begun since the last report, those running now, and those running by server."""
    places = table.running_by_service.get(service, {}).get(name, {})
    return table.begun_by_service.get(service, {}).get(name, 0), sum(places.values()), dict(places)
