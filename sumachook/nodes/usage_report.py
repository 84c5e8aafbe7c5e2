"""What an edge tells the placer of the use of each model (docs/design/forwarding.md)."""

from datetime import timedelta
from typing import Any

from sumachook.forwarding.request_table import RequestTable
from sumachook.placement.messages import UsageByService

INTERVAL = timedelta(seconds=0.2)
EDGES_AT_INTERVAL = 20  # with more edges each reports less often, in proportion


class UsageReport:
    """`take` gives the report that is due, or None."""

    __slots__ = ("next_at",)

    def __init__(self, now: timedelta) -> None:
        self.next_at = now

    def take(self, table: RequestTable, now: timedelta) -> UsageByService | None:
        """What began since the last report and what runs, by service and name; the count of what began starts anew."""
        if now < self.next_at or not (table.begun_by_service or table.running_by_service):
            return None
        self.next_at = now + INTERVAL * max(1, table.edges / EDGES_AT_INTERVAL)
        names = {
            service: set(table.begun_by_service.get(service, ())) | set(table.running_by_service.get(service, ()))
            for service in {*table.begun_by_service, *table.running_by_service}
        }
        usage = {service: {name: _usage_of(table, service, name) for name in of} for service, of in names.items()}
        table.begun_by_service = {}
        return usage


def _usage_of(table: RequestTable, service: str, name: str) -> tuple[Any, ...]:
    """(begun since the last report, running now, {server: running})."""
    places = table.running_by_service.get(service, {}).get(name, {})
    return table.begun_by_service.get(service, {}).get(name, 0), sum(places.values()), dict(places)
