"""The retry budget: credit earned, spent, denied and moved, by service (§7.7)."""

from datetime import timedelta

from sumachook.retry_budget.broker import RetryBudgetBroker
from sumachook.retry_budget.budget import CAP, RetryBudget


def test_credit_moves_and_is_never_made():
    """Given an edge that wants credit and one with some to spare, it is lent once however often the messages come, and the sum stays."""
    poor, rich, now = RetryBudget(), RetryBudget(), timedelta(seconds=1)
    for _ in range(50):
        rich.earn("s:chat")
    poor.spend("s:chat")
    broker = RetryBudgetBroker(now)
    for name, budget in (("p", poor), ("r", rich)):
        report = next(effect[2] for effect in budget.take(("pulse", ("core",)), now) if effect[0] == "tell")
        broker.take(("heard", name, name + ":1", report), now)
    ((_, target, lend),) = broker.take(("pulse", 7), now)
    assert target == "r:1"
    ((_, target, gift),) = rich.take(("heard", "core", "c", lend), now)
    poor.take(("heard", "r", "r:1", gift), now)
    poor.take(("heard", "r", "r:1", gift), now)
    rich.take(("heard", "core", "c", lend), now)
    assert abs(poor.balance_of("s:chat") + rich.balance_of("s:chat") - CAP) < 1e-9 and poor.spend("s:chat")
    assert broker.take(("pulse", 0), now * 9) == []
