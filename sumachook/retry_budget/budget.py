"""The part of the fleet's retry budget that one edge holds."""

from datetime import timedelta

RATIO = 0.2
CAP = 4.0  # what may be saved up: with a city's edges, about one second of its traffic
ROUNDING = 0.001  # sums of fractions of a credit may fall short of a whole one by this
REPORT_EVERY = timedelta(seconds=0.5)
LOG_EVERY = timedelta(seconds=2)
LOAN_KNOWN_FOR = timedelta(minutes=1)


def service_key(service: str) -> str:
    """The key of a service that the operator's routes lead to."""
    return "s:" + service


def own_key(kind: str) -> str:
    """The key of a kind of request at the product's own door."""
    return "o:" + kind


class RetryCounts:
    """Credit earned (in credits), resends paid for and resends that found no credit, since the start."""

    __slots__ = ("earned", "spent", "denied")

    def __init__(self):
        self.earned, self.spent, self.denied = 0.0, 0, 0


class RetryBudget:
    """A fifth of a credit for each first try, one for each resend; none to start with (§7.7).

    >>> budget = RetryBudget()
    >>> budget.spend("s:chat")
    False
    >>> for _ in range(5): budget.earn("s:chat")
    >>> budget.spend("s:chat"), budget.spend("s:chat")
    (True, False)
    >>> budget.told()["services"]["s:chat"]
    {'earned': 1.0, 'spent': 1, 'denied': 2}
    """

    __slots__ = ("balance", "wanted", "loans", "next_report", "ratio", "cap", "counts", "next_log", "logged")

    def __init__(self, ratio: float = RATIO, cap: float = CAP):
        self.ratio, self.cap = ratio, cap
        self.balance, self.wanted, self.loans, self.next_report = 0.0, 0, {}, timedelta(0)
        self.counts: dict[str, RetryCounts] = {}
        self.next_log, self.logged = timedelta(0), {}

    def _count(self, key: str) -> RetryCounts:
        return self.counts.setdefault(key, RetryCounts())

    def earn(self, key: str) -> None:
        """Notes a first try at the service of this key."""
        self._count(key).earned += self.ratio
        self.balance = min(self.cap, self.balance + self.ratio)

    def spend(self, key: str) -> bool:
        """Whether a resend at the service of this key is paid for, now."""
        if self.balance < 1 - ROUNDING:
            self._count(key).denied += 1
            self.wanted += 1
            return False
        self._count(key).spent += 1
        self.balance -= 1
        return True

    def balance_of(self, key: str) -> float:
        """Credit that resends at the service of this key may use."""
        return self.balance

    def told(self) -> dict:
        """The balance, and the counts by key, as `GET /metrics` shows them."""
        services = {
            key: {"earned": round(counts.earned, 1), "spent": counts.spent, "denied": counts.denied}
            for key, counts in sorted(self.counts.items())
        }
        return {"balance": round(self.balance, 2), "services": services}

    def take(self, message: tuple, now) -> list:
        """("pulse", cores) reports; lend and gift move credit, never making any."""
        if message[0] == "pulse":
            return self._log(now) + self._report(message[1], now)
        kind, loan, amount, *target = message[3]
        if kind == "lend":
            given = min(amount, self.balance)
            if loan in self.loans or given < 1:
                return []
            self.loans[loan] = now
            self.balance -= given
            return [("tell", target[0], ("gift", loan, given))]
        if loan not in self.loans:
            self.loans[loan] = now
            self.balance = min(self.cap, self.balance + amount)
        for old in [old for old, at in self.loans.items() if now - at > LOAN_KNOWN_FOR]:
            del self.loans[old]
        return []

    def _report(self, cores, now):
        if now < self.next_report:
            return []
        self.next_report = now + REPORT_EVERY
        report = ("credit", self.balance, float(min(self.wanted, self.cap)))
        self.wanted = 0
        return [("tell", core, report) for core in cores]

    def _log(self, now):
        """One line for the resends since the last one, if there were any: who paid for them is told by service."""
        if now < self.next_log:
            return []
        totals = {key: (counts.spent, counts.denied) for key, counts in self.counts.items()}
        before, self.logged, self.next_log = self.logged, totals, now + LOG_EVERY
        fields = {}
        for key, (spent, denied) in totals.items():
            spent_before, denied_before = before.get(key, (0, 0))
            if spent > spent_before or denied > denied_before:
                fields[key] = {
                    "spent": spent - spent_before,
                    "denied": denied - denied_before,
                    "earnedInAll": round(self.counts[key].earned, 1),
                    "balance": round(self.balance_of(key), 2),
                }
        return [("log", "info", "retry-budget", "Resends paid for and denied.", fields)] if fields else []
