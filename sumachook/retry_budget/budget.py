"""The part of the fleet's retry budget that one edge holds."""

import math
from datetime import timedelta
from typing import Any

RATIO = 0.2
CAP = 2.0  # what may be saved up for one service, where no slack is given
ROUNDING = 0.001  # sums of fractions of a credit may fall short of a whole one by this
REPORT_EVERY = timedelta(seconds=0.5)
LOG_EVERY = timedelta(seconds=2)
SAVED_PART = 0.8  # of the slack; the rest is for edges that don't know each other yet
BORROWED_FOR = timedelta(seconds=1)  # credit above what an edge may save up is for a request that waits now
KNOWN_FOR = timedelta(minutes=1)  # a loan after its use, and a bucket after its last request


def service_key(service: str) -> str:
    """The key of a service that the operator's routes lead to."""
    return "s:" + service


def own_key(kind: str) -> str:
    """The key of a kind of request at the product's own door."""
    return "o:" + kind


def share_of_savings(slack: float, rank: int, edges: int) -> float:
    """Credits that the edge of this rank (from 0) among so many may save up for a service.

    All shares together are at most eight tenths of the slack. They are even, but where they would be less than the
    whole credit that a resend costs, the first edges have one each and the others none: those live on loans.

    >>> share_of_savings(50.0, 3, 10)
    4.0
    >>> [share_of_savings(50.0, rank, 400) for rank in (0, 39, 40, 399)]
    [1.0, 1.0, 0.0, 0.0]
    """
    total = SAVED_PART * slack
    if total >= edges:
        return total / edges
    return 1.0 if rank < int(total) else 0.0


class RetryBucket:
    """The credit for resends at one service.

    `balance` is what may be spent now, `wanted` how often a resend found none since the last report; `earned`
    (credits), `spent` and `denied` (resends) count since the start.
    """

    __slots__ = ("balance", "wanted", "earned", "spent", "denied", "is_used", "borrowed_until")

    def __init__(self) -> None:
        self.balance, self.wanted, self.earned, self.spent, self.denied, self.is_used = 0.0, 0, 0.0, 0, 0, True
        self.borrowed_until = timedelta(0)


class RetryBudget:
    """A fifth of a credit for each first try at a service, one for each resend there; none to start with (§7.7).

    Each service has a bucket of its own: requests for one never pay for resends at another.

    >>> budget = RetryBudget()
    >>> for _ in range(5): budget.earn("s:chat")
    >>> budget.spend("s:records"), budget.spend("s:chat"), budget.spend("s:chat")
    (False, True, False)
    >>> budget.told()["s:chat"]
    {'balance': 0.0, 'earned': 1.0, 'spent': 1, 'denied': 1}
    """

    __slots__ = ("buckets", "loans", "next_report", "next_log", "next_sweep", "logged", "ratio", "cap")

    def __init__(self, ratio: float = RATIO, cap: float = CAP):
        self.ratio, self.cap = ratio, cap
        self.buckets: dict[str, RetryBucket] = {}
        self.loans: dict[str, timedelta] = {}
        self.next_report = self.next_log = self.next_sweep = timedelta(0)
        self.logged: dict[str, tuple[int, int]] = {}

    def bucket(self, key: str) -> RetryBucket:
        """The bucket of the service of this key, which is empty at first."""
        if key not in self.buckets:
            self.buckets[key] = RetryBucket()
        self.buckets[key].is_used = True
        return self.buckets[key]

    def earn(self, key: str) -> None:
        """Notes a first try at the service of this key."""
        bucket = self.bucket(key)
        bucket.earned += self.ratio
        if bucket.balance < self.cap:
            bucket.balance = min(self.cap, bucket.balance + self.ratio)

    def spend(self, key: str) -> bool:
        """Whether a resend at the service of this key is paid for, now."""
        bucket = self.bucket(key)
        if bucket.balance < 1 - ROUNDING:
            bucket.denied += 1
            bucket.wanted += 1
            return False
        bucket.spent += 1
        bucket.balance -= 1
        return True

    def balance_of(self, key: str) -> float:
        """Credit that resends at the service of this key may use."""
        return self.buckets[key].balance if key in self.buckets else 0.0

    def told(self) -> dict[str, dict[str, float]]:
        """What `GET /metrics` shows of each bucket."""
        return {
            key: {
                "balance": round(bucket.balance, 2),
                "earned": round(bucket.earned, 1),
                "spent": bucket.spent,
                "denied": bucket.denied,
            }
            for key, bucket in sorted(self.buckets.items())
        }

    def take(self, message: tuple[Any, ...], now: timedelta) -> list[tuple[Any, ...]]:
        """("pulse", addresses of brokers) reports; lend and gift move credit, never making any."""
        if message[0] == "pulse":
            self._forget(now)
            self._trim(now)
            return self._log(now) + self._report(message[1], now)
        kind, key, loan, amount, *target = message[3]
        if loan in self.loans:
            return []
        if kind == "retry_lend":
            return self._lend(key, loan, amount, target[0], now)
        self.loans[loan] = now
        bucket = self.bucket(key)
        bucket.balance = min(max(self.cap, 1.0), bucket.balance + amount)
        bucket.borrowed_until = now + BORROWED_FOR
        return []

    def _lend(self, key: str, loan: str, amount: float, target: str, now: timedelta) -> list[tuple[Any, ...]]:
        given = min(amount, self.balance_of(key))
        if given < 1:
            return []
        self.loans[loan] = now
        self.bucket(key).balance -= given
        return [("tell", target, ("retry_gift", key, loan, given))]

    def _trim(self, now: timedelta) -> None:
        """Takes away what is above the cap: it was borrowed and not used, or the cap came down."""
        for bucket in self.buckets.values():
            if bucket.balance > self.cap and now >= bucket.borrowed_until:
                bucket.balance = self.cap

    def _report(self, brokers: tuple[str, ...], now: timedelta) -> list[tuple[Any, ...]]:
        """Tells what is to spare and what is wanted; an edge that has neither says nothing."""
        if now < self.next_report:
            return []
        self.next_report = now + REPORT_EVERY
        balances: dict[str, tuple[float, int]] = {}
        for key, bucket in self.buckets.items():
            if bucket.wanted or bucket.balance >= 1:
                balances[key] = (round(bucket.balance, 3), min(bucket.wanted, max(1, math.ceil(self.cap))))
            bucket.wanted = 0
        return [("tell", broker, ("retry_credit", balances)) for broker in brokers] if balances else []

    def _log(self, now: timedelta) -> list[tuple[Any, ...]]:
        """One line for the resends since the last one, if there were any: who paid for them is told by service."""
        if now < self.next_log:
            return []
        totals = {key: (bucket.spent, bucket.denied) for key, bucket in self.buckets.items()}
        before, self.logged, self.next_log = self.logged, totals, now + LOG_EVERY
        fields = {}
        for key, (spent, denied) in totals.items():
            spent_before, denied_before = before.get(key, (0, 0))
            if spent > spent_before or denied > denied_before:
                fields[key] = {
                    "spent": spent - spent_before,
                    "denied": denied - denied_before,
                    "earnedInAll": round(self.buckets[key].earned, 1),
                    "balance": round(self.buckets[key].balance, 2),
                }
        return [("log", "info", "retry-budget", "Resends paid for and denied.", fields)] if fields else []

    def _forget(self, now: timedelta) -> None:
        """Drops loans that no late copy can repeat any more, and buckets of services that are asked for no longer."""
        if now < self.next_sweep:
            return
        self.next_sweep = now + KNOWN_FOR
        self.loans = {loan: at for loan, at in self.loans.items() if now - at <= KNOWN_FOR}
        self.buckets = {key: bucket for key, bucket in self.buckets.items() if bucket.is_used}
        for bucket in self.buckets.values():
            bucket.is_used = False
