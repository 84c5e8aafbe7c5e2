"""The broker of retry credit: matches edges that lack credit with edges that can lend it.

Runs at the core that holds the accountant role.
"""

from datetime import timedelta
from typing import NamedTuple

from sumachook.host.effects import Effect, Send
from sumachook.host.events import Event, MessageReceived
from sumachook.retry_budget.events import BrokerTick
from sumachook.retry_budget.messages import LendCredit

ROUND_INTERVAL = timedelta(seconds=0.5)  # rounds are as frequent as the reports of the edges
REPORT_LIFETIME = timedelta(seconds=2)  # an edge without a report for longer is left out of the rounds
MIN_LOAN = 1.0  # credits; one retry costs one credit, so a smaller loan is useless


class EdgeCredit(NamedTuple):
    """The last report of an edge: its address, (balance, denied retries) by service key, and when it was received."""

    address: str
    balances: dict[str, tuple[float, int]]
    received_at: timedelta


class ServiceCredit(NamedTuple):
    """The credit balance and the unmet demand of one edge for one service."""

    edge: str
    address: str
    balance: float
    wanted: int  # retries denied for lack of credit since the last report


class RetryBudgetBroker:
    """Arranges loans between edges, per service, from the balances and the demand that they report."""

    __slots__ = ("_reports", "_next_round_at", "_loan_count")

    def __init__(self, now: timedelta) -> None:
        self._reports: dict[str, EdgeCredit] = {}
        self._next_round_at = now
        self._loan_count = 0

    def take(self, event: Event, now: timedelta) -> list[Effect]:
        """Starts a round of loans on a `BrokerTick` with a nonzero fence; stores a `CreditReport` for later rounds."""
        match event:
            case BrokerTick():
                return self._begin_round(event.fence, now)
            case MessageReceived():
                self._reports[event.sender] = EdgeCredit(event.address, event.message.balances, now)
                return []
        raise TypeError(f"unhandled event in the retry credit broker: {event!r}")

    def _begin_round(self, fence: int, now: timedelta) -> list[Effect]:
        if not fence or now < self._next_round_at:
            return []
        self._next_round_at = now + ROUND_INTERVAL
        self._reports = {
            edge: report for edge, report in self._reports.items() if now - report.received_at < REPORT_LIFETIME
        }
        wanted_keys = {
            key for report in self._reports.values() for key, (_, wanted) in report.balances.items() if wanted
        }
        return [effect for key in sorted(wanted_keys) for effect in self._arrange_loans(key, fence)]

    def _arrange_loans(self, service_key: str, fence: int) -> list[Effect]:
        """Arranges at most one loan per edge that lacks credit for this service, from the edges with the most."""
        edge_credits = [
            ServiceCredit(edge, report.address, *report.balances[service_key])
            for edge, report in self._reports.items()
            if service_key in report.balances
        ]
        receivers = [credit for credit in edge_credits if credit.wanted and credit.balance < 1]
        receivers.sort(key=lambda credit: (credit.edge, credit.address, credit.wanted))
        lenders = [credit for credit in edge_credits if not credit.wanted and credit.balance >= MIN_LOAN]
        lenders.sort(key=lambda credit: (-credit.balance, credit.edge, credit.address))
        return [
            self._create_loan(service_key, fence, lender, receiver)
            for lender, receiver in zip(lenders, receivers, strict=False)  # unmatched edges wait for the next round
        ]

    def _create_loan(self, service_key: str, fence: int, lender: ServiceCredit, receiver: ServiceCredit) -> Send:
        self._loan_count += 1
        loan_id = f"{fence}-{self._loan_count}"
        amount = float(min(receiver.wanted, max(MIN_LOAN, lender.balance / 2)))
        return Send(lender.address, LendCredit(service_key, loan_id, amount, receiver.address))
