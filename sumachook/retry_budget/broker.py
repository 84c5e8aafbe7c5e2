"""Moves retry credit from edges that have some to spare to edges that want it; part of the accountant duty's holder."""

from datetime import timedelta
from typing import Any, NamedTuple

ROUND_EVERY = timedelta(seconds=0.5)
REPORT_COUNTS_FOR = timedelta(seconds=2)
LEAST_TO_SPARE = 1.0  # the price of a resend; less than that helps nobody


class CreditReport(NamedTuple):
    """What an edge said last: its address, (balance, resends without credit) by service key, and when it was heard."""

    address: str
    balances: dict[str, tuple[float, int]]
    heard_at: timedelta


class RetryBudgetBroker:
    """Asks those with credit to spare to lend to those who want, service by service (§7.7)."""

    __slots__ = ("reports", "next_round", "loan_number")

    def __init__(self, now: timedelta) -> None:
        self.reports: dict[str, CreditReport] = {}
        self.next_round, self.loan_number = now, 0

    def take(self, message: tuple[Any, ...], now: timedelta) -> list[tuple[Any, ...]]:
        """("pulse", fence) holds a round, where the fence is not 0; ("heard", edge, address, report) notes a report."""
        if message[0] == "pulse":
            return self._round(message[1], now)
        _, edge, address, (_, balances) = message
        self.reports[edge] = CreditReport(address, balances, now)
        return []

    def _round(self, fence: int, now: timedelta) -> list[tuple[Any, ...]]:
        if not fence or now < self.next_round:
            return []
        self.next_round = now + ROUND_EVERY
        self.reports = {
            edge: report for edge, report in self.reports.items() if now - report.heard_at < REPORT_COUNTS_FOR
        }
        keys = {key for report in self.reports.values() for key, (_, wanted) in report.balances.items() if wanted}
        return [effect for key in sorted(keys) for effect in self._match(key, fence)]

    def _match(self, key: str, fence: int) -> list[tuple[Any, ...]]:
        """One loan for each edge that wants credit at this service, from those that have most of it."""
        known = [
            (edge, report.address, *report.balances[key])
            for edge, report in self.reports.items()
            if key in report.balances
        ]
        needy = sorted((edge, address, wanted) for edge, address, balance, wanted in known if wanted and balance < 1)
        donors = sorted(
            (-balance, edge, address)
            for edge, address, balance, wanted in known
            if balance >= LEAST_TO_SPARE and not wanted
        )
        out: list[tuple[Any, ...]] = []
        for (balance, _, donor), (_, receiver, wanted) in zip(donors, needy, strict=False):
            self.loan_number += 1
            amount = float(min(wanted, max(LEAST_TO_SPARE, -balance / 2)))
            out.append(("tell", donor, ("retry_lend", key, f"{fence}-{self.loan_number}", amount, receiver)))
        return out
