"""Moves retry credit from edges that have some to spare to edges that want it; part of the accountant duty's holder."""

from datetime import timedelta

ROUND_EVERY = timedelta(seconds=0.5)
REPORT_COUNTS_FOR = timedelta(seconds=2)


class RetryBudgetBroker:
    """Asks those with credit to spare to lend to those who want (§7.7)."""

    __slots__ = ("reports", "next_round", "loan_number")

    def __init__(self, now):
        self.reports, self.next_round, self.loan_number = {}, now, 0

    def take(self, message: tuple, now) -> list:
        """("pulse", fence) holds a round, where the fence is not 0; ("heard", edge, address, report) notes a report."""
        if message[0] == "pulse":
            return self._round(message[1], now)
        self.reports[message[1]] = (message[2], message[3][1], message[3][2], now)
        return []

    def _round(self, fence, now):
        if not fence or now < self.next_round:
            return []
        self.next_round = now + ROUND_EVERY
        recent = {node: report for node, report in self.reports.items() if now - report[3] < REPORT_COUNTS_FOR}
        self.reports = recent
        needy = sorted((item for item in recent.items() if item[1][2] > 0 and item[1][1] < 1), key=lambda item: item[0])
        donors = sorted(
            (item for item in recent.items() if item[1][1] >= 2 and item[1][2] == 0), key=lambda item: -item[1][1]
        )
        out = []
        for (_, (donor_address, balance, _, _)), (_, (address, _, wanted, _)) in zip(donors, needy, strict=False):
            self.loan_number += 1
            amount = min(wanted, balance / 2)
            out.append(("tell", donor_address, ("lend", f"{fence}-{self.loan_number}", amount, address)))
        return out
