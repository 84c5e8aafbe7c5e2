"""One edge's share of the retry budget of the fleet."""

import math
from datetime import timedelta

from sumachook.host.effects import Effect, Log, Send
from sumachook.host.events import Event, MessageReceived
from sumachook.retry_budget.events import BudgetTick
from sumachook.retry_budget.messages import CreditReport, CreditTransfer, LendCredit

DEFAULT_RATIO = 0.2  # credits earned per first attempt, which limits retries to a fifth of the requests
DEFAULT_CAP = 2.0  # maximum balance per service where no slack is configured
ROUNDING_TOLERANCE = 0.001  # credits by which a sum of fractions may fall short of a whole credit
REPORT_INTERVAL = timedelta(seconds=0.5)
LOG_INTERVAL = timedelta(seconds=2)
# Share of the slack that all balances may add up to; the rest covers edges that do not know each other yet.
TOTAL_BALANCE_SHARE = 0.8
LOAN_LIFETIME = timedelta(seconds=1)  # lifetime of borrowed credit above the cap, which is for requests that wait now
RETENTION = timedelta(minutes=1)  # time after their last use for which loan ids and buckets are kept


def service_key(service: str) -> str:
    """Returns the budget key of a service of the operator's HTTP routes."""
    return "s:" + service


def inference_key(kind: str) -> str:
    """Returns the budget key of a kind of inference request (prompt or lookup)."""
    return "o:" + kind


def share_of_slack(slack: float, rank: int, edges: int) -> float:
    """Returns the maximum balance per service for the edge of this rank (from 0) among `edges`.

    The shares add up to at most eight tenths of the slack. They are equal, unless that would be less than the one
    credit that a retry costs: then the first edges get one credit each and the others none, and rely on loans.

    >>> share_of_slack(50.0, 3, 10)
    4.0
    >>> [share_of_slack(50.0, rank, 400) for rank in (0, 39, 40, 399)]
    [1.0, 1.0, 0.0, 0.0]
    """
    total = TOTAL_BALANCE_SHARE * slack
    if total >= edges:
        return total / edges
    return 1.0 if rank < int(total) else 0.0


class RetryBucket:
    """The retry credit for one service.

    `balance` is the credit available now, `wanted` the number of retries denied since the last report; `earned`
    (credits), `spent` and `denied` (retries) are totals since the start.
    """

    __slots__ = ("balance", "wanted", "earned", "spent", "denied", "is_used", "borrowed_until")

    def __init__(self) -> None:
        self.balance = 0.0
        self.wanted = 0
        self.earned = 0.0
        self.spent = 0
        self.denied = 0
        self.is_used = True  # whether the bucket was used since the last sweep
        self.borrowed_until = timedelta(0)


class RetryBudget:
    """A token bucket per service: a first attempt earns a fifth of a credit, a retry costs one; buckets start empty.

    Requests for one service never pay for retries at another. docs/design.md, "Retry budget", describes how edges
    share the budget.

    >>> budget = RetryBudget()
    >>> for _ in range(5): budget.earn("s:chat")
    >>> budget.spend("s:records"), budget.spend("s:chat"), budget.spend("s:chat")
    (False, True, False)
    >>> budget.metrics()["s:chat"]
    {'balance': 0.0, 'earned': 1.0, 'spent': 1, 'denied': 1}
    """

    __slots__ = (
        "ratio",
        "cap",
        "_buckets",
        "_used_loans",
        "_next_report_at",
        "_next_log_at",
        "_next_sweep_at",
        "_logged_totals",
    )

    def __init__(self, ratio: float = DEFAULT_RATIO, cap: float = DEFAULT_CAP):
        self.ratio = ratio
        self.cap = cap
        self._buckets: dict[str, RetryBucket] = {}
        self._used_loans: dict[str, timedelta] = {}
        self._next_report_at = timedelta(0)
        self._next_log_at = timedelta(0)
        self._next_sweep_at = timedelta(0)
        self._logged_totals: dict[str, tuple[int, int]] = {}

    def bucket(self, key: str) -> RetryBucket:
        """Returns the bucket of a service key, which it creates empty if needed, and marks it as used."""
        if key not in self._buckets:
            self._buckets[key] = RetryBucket()
        self._buckets[key].is_used = True
        return self._buckets[key]

    def earn(self, key: str) -> None:
        """Adds the credit of a first attempt to the bucket of a service key, up to the cap."""
        bucket = self.bucket(key)
        bucket.earned += self.ratio
        if bucket.balance < self.cap:
            bucket.balance = min(self.cap, bucket.balance + self.ratio)

    def spend(self, key: str) -> bool:
        """Deducts one credit for a retry; returns False, and counts the denial, if the balance is too low."""
        bucket = self.bucket(key)
        if bucket.balance < 1 - ROUNDING_TOLERANCE:
            bucket.denied += 1
            bucket.wanted += 1
            return False
        bucket.spent += 1
        bucket.balance -= 1
        return True

    def balance_of(self, key: str) -> float:
        """Returns the available credit for a service key."""
        return self._buckets[key].balance if key in self._buckets else 0.0

    def metrics(self) -> dict[str, dict[str, float]]:
        """Returns the values of each bucket for `GET /metrics`."""
        return {
            key: {
                "balance": round(bucket.balance, 2),
                "earned": round(bucket.earned, 1),
                "spent": bucket.spent,
                "denied": bucket.denied,
            }
            for key, bucket in sorted(self._buckets.items())
        }

    def take(self, event: Event, now: timedelta) -> list[Effect]:
        """Reports to the brokers on a `BudgetTick`; on messages transfers credit between edges without creating any."""
        match event:
            case BudgetTick():
                self._sweep(now)
                self._expire_surplus(now)
                return self._log(now) + self._report(event.broker_addresses, now)
            case MessageReceived():
                return self._handle_message(event.message, now)
        raise TypeError(f"unhandled event in the retry budget: {event!r}")

    def _handle_message(self, message: LendCredit | CreditTransfer, now: timedelta) -> list[Effect]:
        if message.loan_id in self._used_loans:  # duplicate delivery of a loan or a transfer
            return []
        match message:
            case LendCredit():
                return self._lend(message, now)
            case CreditTransfer():
                self._accept(message, now)
                return []

    def _lend(self, loan: LendCredit, now: timedelta) -> list[Effect]:
        amount = min(loan.amount, self.balance_of(loan.service_key))
        if amount < 1:
            return []
        self._used_loans[loan.loan_id] = now
        self.bucket(loan.service_key).balance -= amount
        return [Send(loan.receiver_address, CreditTransfer(loan.service_key, loan.loan_id, amount))]

    def _accept(self, transfer: CreditTransfer, now: timedelta) -> None:
        self._used_loans[transfer.loan_id] = now
        bucket = self.bucket(transfer.service_key)
        bucket.balance = min(max(self.cap, 1.0), bucket.balance + transfer.amount)
        bucket.borrowed_until = now + LOAN_LIFETIME

    def _expire_surplus(self, now: timedelta) -> None:
        """Cuts balances down to the cap once their loan has expired; also applies when the cap was lowered."""
        for bucket in self._buckets.values():
            if bucket.balance > self.cap and now >= bucket.borrowed_until:
                bucket.balance = self.cap

    def _report(self, broker_addresses: tuple[str, ...], now: timedelta) -> list[Effect]:
        """Reports the balances of at least one credit and the denied retries; sends nothing if there are none."""
        if now < self._next_report_at:
            return []
        self._next_report_at = now + REPORT_INTERVAL
        max_wanted = max(1, math.ceil(self.cap))
        balances: dict[str, tuple[float, int]] = {}
        for key, bucket in self._buckets.items():
            if bucket.wanted or bucket.balance >= 1:
                balances[key] = (round(bucket.balance, 3), min(bucket.wanted, max_wanted))
            bucket.wanted = 0
        return [Send(address, CreditReport(balances)) for address in broker_addresses] if balances else []

    def _log(self, now: timedelta) -> list[Effect]:
        """Logs the retries granted and denied since the last line, by service; logs nothing if there were none."""
        if now < self._next_log_at:
            return []
        self._next_log_at = now + LOG_INTERVAL
        before = self._logged_totals
        self._logged_totals = {key: (bucket.spent, bucket.denied) for key, bucket in self._buckets.items()}
        fields = {}
        for key, bucket in self._buckets.items():
            spent_before, denied_before = before.get(key, (0, 0))
            if bucket.spent > spent_before or bucket.denied > denied_before:
                fields[key] = {
                    "spent": bucket.spent - spent_before,
                    "denied": bucket.denied - denied_before,
                    "earnedInAll": round(bucket.earned, 1),
                    "balance": round(bucket.balance, 2),
                }
        return (
            [Log("info", "retry-budget", "Retries paid for and denied by the retry budget.", fields)] if fields else []
        )

    def _sweep(self, now: timedelta) -> None:
        """Drops the ids of loans that no late duplicate can repeat any more, and the buckets of unused services."""
        if now < self._next_sweep_at:
            return
        self._next_sweep_at = now + RETENTION
        self._used_loans = {loan: used_at for loan, used_at in self._used_loans.items() if now - used_at <= RETENTION}
        self._buckets = {key: bucket for key, bucket in self._buckets.items() if bucket.is_used}
        for bucket in self._buckets.values():
            bucket.is_used = False
