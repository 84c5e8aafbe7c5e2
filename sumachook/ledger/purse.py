"""Resend credit of one edge, and the accountant who moves it."""

from datetime import timedelta

RATIO = 0.2
CAP = 4.0  # what may be saved up: with a city's edges, about one second of its traffic


class Purse:
    """A fifth of a credit for each first try, one for each resend; none to start with (§7.7).

    >>> purse = Purse()
    >>> purse.spend()
    False
    >>> for _ in range(5): purse.earn()
    >>> purse.spend(), purse.spend()
    (True, False)
    """

    __slots__ = ("balance", "wanted", "loans", "next_report", "ratio", "cap")

    def __init__(self, ratio: float = RATIO, cap: float = CAP):
        self.ratio, self.cap = ratio, cap
        self.balance, self.wanted, self.loans, self.next_report = 0.0, 0, {}, timedelta(0)

    def earn(self):
        self.balance = min(self.cap, self.balance + self.ratio)

    def spend(self) -> bool:
        if self.balance < 0.999:
            self.wanted += 1
            return False
        self.balance -= 1
        return True

    def take(self, message: tuple, now) -> list:
        """("pulse", cores) reports; lend and gift move credit, never making any."""
        if message[0] == "pulse":
            if now < self.next_report:
                return []
            self.next_report = now + timedelta(seconds=0.5)
            report = ("credit", self.balance, float(min(self.wanted, self.cap)))
            self.wanted = 0
            return [("tell", core, report) for core in message[1]]
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
        for old in [old for old, at in self.loans.items() if now - at > timedelta(minutes=1)]:
            del self.loans[old]
        return []


class Accountant:
    """Asks those with credit to spare to lend to those who want; part of the duty's holder (§7.7)."""

    __slots__ = ("reports", "next_round", "loan_number")

    def __init__(self, now):
        self.reports, self.next_round, self.loan_number = {}, now, 0

    def take(self, message: tuple, now) -> list:
        if message[0] == "pulse":
            return self._round(message[1], now)
        self.reports[message[1]] = (message[2], message[3][1], message[3][2], now)
        return []

    def _round(self, fence, now):
        if not fence or now < self.next_round:
            return []
        self.next_round = now + timedelta(seconds=0.5)
        recent = {node: report for node, report in self.reports.items() if now - report[3] < timedelta(seconds=2)}
        self.reports = recent
        needy = sorted((item for item in recent.items() if item[1][2] > 0 and item[1][1] < 1), key=lambda item: item[0])
        donors = sorted(
            (item for item in recent.items() if item[1][1] >= 2 and item[1][2] == 0), key=lambda item: -item[1][1]
        )
        out = []
        for (_, (donor_address, balance, _, _)), (_, (address, _, wanted, _)) in zip(donors, needy):
            self.loan_number += 1
            amount = min(wanted, balance / 2)
            out.append(("tell", donor_address, ("lend", f"{fence}-{self.loan_number}", amount, address)))
        return out


def test_credit_moves_and_is_never_made():
    poor, rich, now = Purse(), Purse(), timedelta(seconds=1)
    for _ in range(50):
        rich.earn()
    poor.spend()
    accountant = Accountant(now)
    for name, purse in (("p", poor), ("r", rich)):
        report = purse.take(("pulse", ("core",)), now)[0][2]
        accountant.take(("heard", name, name + ":1", report), now)
    ((_, target, lend),) = accountant.take(("pulse", 7), now)
    assert target == "r:1"
    ((_, target, gift),) = rich.take(("heard", "core", "c", lend), now)
    poor.take(("heard", "r", "r:1", gift), now)
    poor.take(("heard", "r", "r:1", gift), now)
    rich.take(("heard", "core", "c", lend), now)
    assert abs(poor.balance + rich.balance - CAP) < 1e-9 and poor.spend()
    assert accountant.take(("pulse", 0), now * 9) == []
