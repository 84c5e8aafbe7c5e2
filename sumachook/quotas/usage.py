"""Quota usage of all edges, as shown to operators."""

from datetime import timedelta
from typing import Any, NamedTuple

from sumachook.host.effects import Effect
from sumachook.host.events import MessageReceived
from sumachook.quotas.terms import QuotaTerms

REPORT_LIFETIME = timedelta(seconds=5)  # lifetime of a report; edges send one every second


class EdgeReport(NamedTuple):
    """The latest usage report of an edge, by tenant."""

    by_tenant: dict[str, dict[str, Any]]
    received_at: timedelta


class QuotaUsage:
    """Stores the latest `UsageReport` of each edge; runs on every core.

    >>> from types import SimpleNamespace as Item
    >>> from sumachook.configuration.tenant import Tenant
    >>> from sumachook.quotas.messages import UsageReport
    >>> usage, now = QuotaUsage(Item(catalogue=Item(tenants=[Tenant("shops", requests_per_s=20.0)]))), REPORT_LIFETIME
    >>> report = {"shops": {"lent": (2.0, 0.0), "admitted": 40, "refused": 3, "yielded": 0, "requestsPerS": 8.0}}
    >>> usage.take(MessageReceived("edge-1", "127.0.0.1:1", UsageReport(report)), now)
    []
    >>> shops = usage.describe(now)["shops"]
    >>> shops["ceiling"]["requestsPerS"], shops["lent"], shops["refused"], list(shops["routers"])
    (20.0, {'edge-1': (2.0, 0.0)}, 3, ['edge-1'])
    >>> usage.describe(now + REPORT_LIFETIME)["shops"]["routers"]
    {}
    """

    __slots__ = ("state", "reports")

    def __init__(self, state: Any):
        self.state = state
        self.reports: dict[str, EdgeReport] = {}  # by edge

    def take(self, event: MessageReceived, now: timedelta) -> list[Effect]:
        """Stores a received `UsageReport` and drops the expired ones."""
        self.reports = {edge: report for edge, report in self.reports.items() if _is_recent(report, now)}
        self.reports[event.sender] = EdgeReport(event.message.report, now)
        return []

    def describe(self, now: timedelta) -> dict[str, dict[str, Any]]:
        """Returns by tenant the floor, the ceiling, and the counts of admitted, denied and yielding requests."""
        recent = {edge: report for edge, report in sorted(self.reports.items()) if _is_recent(report, now)}
        return {
            name: _describe_tenant(
                terms, {edge: report.by_tenant[name] for edge, report in recent.items() if name in report.by_tenant}
            )
            for name, terms in QuotaTerms.by_tenant(self.state.catalogue).items()
        }


def _is_recent(report: EdgeReport, now: timedelta) -> bool:
    return now - report.received_at < REPORT_LIFETIME


def _describe_tenant(terms: QuotaTerms, edges: dict[str, dict[str, Any]]) -> dict[str, Any]:
    return {
        "floor": terms.describe_floor(),
        "ceiling": terms.describe_ceiling(),
        "overCeiling": "yield" if terms.yields else "refuse",
        "requestsPerS": round(sum(edge["requestsPerS"] for edge in edges.values()), 2),
        "lent": {name: edge["lent"] for name, edge in edges.items() if any(edge["lent"])},
        **{count: sum(edge[count] for edge in edges.values()) for count in ("admitted", "refused", "yielded")},
        "routers": edges,
    }
