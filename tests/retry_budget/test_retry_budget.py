"""The retry budget: credit earned, spent, denied and lent per service, and its sum over all edges."""

from bisect import bisect_left
from datetime import timedelta
from random import Random

from sumachook.configuration.node_settings import NodeSettings
from sumachook.host.effects import Send
from sumachook.host.events import MessageReceived, Tick
from sumachook.membership.member import MemberStatus, MemberUpdate
from sumachook.membership.messages import MemberList
from sumachook.nodes.edge import Edge
from sumachook.retry_budget.broker import RetryBudgetBroker
from sumachook.retry_budget.budget import DEFAULT_CAP, RetryBudget, service_key, share_of_slack
from sumachook.retry_budget.events import BrokerTick, BudgetTick
from sumachook.retry_budget.messages import CreditTransfer
from sumachook.runtime.clock import Clock
from tests.forwarding.forwarding_fixtures import CHAT, NOT_RUN, PLAIN, START, TICK, Scene, server

SECOND = timedelta(seconds=1)
WINDOW = SECOND * 10
RATIO = 0.2


class Edges:
    """Edges whose budgets share credit through a broker; `records` servers refuse a share of requests, `llm` none."""

    def __init__(self, count: int, slack: float, records: tuple[str, ...]):
        servers = {name: server("records") for name in records} | {"l1": server("llm")}
        self.scenes = [Scene(None, servers, credit=0.0, seed=seed, held=("l1",)) for seed in range(count)]
        for scene in self.scenes:
            scene.retry_budget.cap = 0.8 * slack / count
        self.broker = RetryBudgetBroker(self.now)
        self.random = Random(count)
        self.answered, self.first_attempts, self.retries = set(), [], []

    @property
    def now(self) -> timedelta:
        return self.scenes[0].now

    def run(self, seconds: float, refused_share: float, chats: int, plains: int):
        """Sends every edge `chats` requests for `llm` and `plains` for `records` at each tick."""
        until = self.now + SECOND * seconds
        while self.now < until:
            for number, scene in enumerate(self.scenes):
                scene.now += TICK
                scene.take("pulse")
                for _ in range(chats):
                    scene.answer(scene.ask(CHAT))
                for _ in range(plains):
                    scene.ask(PLAIN)
                    self.first_attempts.append(scene.now)
                self._serve(number, scene, refused_share)
                in_flight = {request.attempt_id for request in scene.table.requests.values()}
                scene.out = [effect for effect in scene.out if effect[0] == "forward" and effect[1] in in_flight]
            self._exchange_credit()
        return self

    def _serve(self, number, scene, refused_share):
        """Answers each attempt at `records` once, including the retries that an answer causes."""
        while tries := [
            request
            for request in scene.table.requests.values()
            if request.attempt_id and (number, request.attempt_id) not in self.answered
        ]:
            for request in tries:
                self.answered.add((number, request.attempt_id))
                if request.arrivals:
                    self.retries.append(scene.now)
                if self.random.random() < refused_share:
                    scene.answer(request.call_id, 503, b"", NOT_RUN, seal=False)
                else:
                    scene.answer(request.call_id)

    def _exchange_credit(self):
        """Delivers reports to the broker, loan requests to the lenders and transfers to the borrowers."""
        budgets = {f"e{number}": scene.retry_budget for number, scene in enumerate(self.scenes)}
        for name, budget in budgets.items():
            for effect in budget.take(BudgetTick(("broker",)), self.now):
                if isinstance(effect, Send):
                    self.broker.take(MessageReceived(name, name, effect.message), self.now)
        for loan in self.broker.take(BrokerTick(1), self.now):
            received = MessageReceived("broker", "broker", loan.message)
            for transfer in budgets[loan.address].take(received, self.now):
                received = MessageReceived(loan.address, loan.address, transfer.message)
                budgets[transfer.address].take(received, self.now)

    def max_excess(self, slack: float) -> float:
        """Returns how far the retries exceed the limit set by the requests, in the worst window."""
        worst = -slack
        for place, begin in enumerate(self.retries):
            retries = bisect_left(self.retries, begin + WINDOW) - place
            requests = bisect_left(self.first_attempts, begin + WINDOW) - bisect_left(self.first_attempts, begin)
            worst = max(worst, retries - RATIO * requests - slack)
        return worst


def _excess_after_overload(records, chats):
    """Returns (number of retries, excess over the limit in the worst window) of twelve edges with a slack of 50."""
    edges = Edges(12, 50.0, records).run(12, 0.0, chats, plains=1).run(15, 0.7, chats, plains=1)
    return len(edges.retries), edges.max_excess(50.0)


def test_retries_of_all_edges_for_one_service_stay_within_the_budget():
    """While the servers of the only service refuse seven of ten requests, the retries of twelve edges together stay within
    a fifth of the requests plus the slack, in any ten seconds.
    """
    for records in (("r1",), ("r1", "r2", "r3")):
        retries, over = _excess_after_overload(records, chats=0)
        assert retries > 100 and over <= 0, records


def test_retries_at_a_service_are_paid_by_its_own_requests():
    """With three of four requests for a healthy service, the retries at an overloaded one still stay within a fifth of its
    own requests plus the slack: credit is earned and spent per service.
    """
    for records in (("r1",), ("r1", "r2", "r3")):
        retries, over = _excess_after_overload(records, chats=3)
        assert retries > 100 and over <= 0, (records, over)


def test_balances_of_any_number_of_edges_sum_to_less_than_the_slack():
    """The balances that all edges accumulate for a service stay below the slack of 50 retries, also with more edges than
    that, and at least ten edges can still pay for a retry.
    """
    for edges in (10, 60):
        addresses = {f"e{number}": f"10.0.2.{number}:7" for number in range(edges)}
        saved = [_balance_among(name, addresses) for name in addresses]
        assert sum(saved) <= 50.0 and sum(balance >= 1 for balance in saved) >= 10, edges


def _edge_with_peers(name, addresses):
    """Returns (edge, now): one of these edges, two seconds after it received the member list."""
    own = NodeSettings(
        node=name,
        address=addresses[name],
        http_address="10.0.2.0:8",
        zone="east",
        seeds=("10.0.3.1:3",),
        front="10.0.2.0:9",
        resend_slack=50.0,
    )
    edge, now = Edge(own, {}, 1, Clock(), Random(1)), Clock().mono()
    updates = tuple(
        MemberUpdate(other, address, "edge", "east", 1, MemberStatus.ALIVE, address, 1)
        for other, address in addresses.items()
        if other != name
    )
    edge.membership.take(MessageReceived(updates[0].node, updates[0].address, MemberList(updates)), now)
    edge.take(Tick(), now + SECOND * 2)
    assert len(edge.inference_pipeline.table.peers) == len(addresses)
    return edge, now + SECOND * 2


def _balance_among(name, addresses):
    """Returns the balance of one of these edges after many requests for one service."""
    edge, _ = _edge_with_peers(name, addresses)
    for _ in range(400):
        edge.retry_budget.earn(service_key("records"))
    return edge.retry_budget.balance_of(service_key("records"))


def test_balances_on_both_sides_of_a_long_partition_sum_to_less_than_the_slack():
    """When eight of twenty edges are cut off from the cores, the other twelve divide the slack among themselves after a
    minute. Edges without a connection to a core must then have no balance, or both sides together would exceed the slack.
    """
    names = [f"e{number:02}" for number in range(20)]
    addresses = {name: f"10.0.2.{number}:7" for number, name in enumerate(names)}
    with_cores, cut_off = set(names[:12]), set(names[12:])
    for seconds in (30, 75):
        saved = {}
        for side in (with_cores, cut_off):
            for name in side:
                saved[name] = _balance_in_partition(name, addresses, side, seconds, is_fresh=side is with_cores)
        assert sum(saved.values()) <= 50.0, seconds
        assert sum(saved[name] for name in with_cores) >= 20.0
    assert {saved[name] for name in cut_off} == {0.0}


def _balance_in_partition(name, addresses, side, seconds, is_fresh):
    """Returns the balance of an edge so many seconds after it lost contact with the other side."""
    edge, now = _edge_with_peers(name, addresses)
    gone_at = now + SECOND * 3
    for member in edge.membership.members.values():
        if member.node not in side:
            member.status, member.status_since = MemberStatus.GONE, gone_at
    for _ in range(seconds):
        now += SECOND
        if is_fresh:
            edge.follower.proved_at = now
        edge.ticks.take(Tick(), now)
        edge.membership.members = {
            node: member
            for node, member in edge.membership.members.items()
            if member.status is not MemberStatus.SUSPECT
        }
        for member in edge.membership.members.values():
            if member.node in side:
                member.status = MemberStatus.ALIVE
    for _ in range(400):
        edge.retry_budget.earn(service_key("records"))
    return edge.retry_budget.balance_of(service_key("records"))


def test_request_returns_to_an_overloaded_server_only_after_its_retry_after():
    """If the only server of a service refuses a request with a Retry-After of 0.3 s, the request is retried there once, after
    that time and not before.
    """
    scene = Scene(None, {"r1": server("records")}, credit=4.0)
    cid = scene.ask(PLAIN)
    scene.answer(cid, 503, b"", NOT_RUN, ("Retry-After", "0.3"), seal=False)
    scene.run(0.25)
    assert len(scene.sends(cid)) == 1 and not scene.client_effects(cid)
    scene.run(0.15)
    assert len(scene.sends(cid)) == 2
    scene.answer(cid)
    assert scene.status(cid) == 200 and scene.settled()


def test_retry_after_beyond_the_deadline_ends_the_request_at_once():
    """If the only server of a service refuses a request with a Retry-After beyond the deadline, the client learns at once
    that the request did not run, and gets the Retry-After.
    """
    scene = Scene(None, {"r1": server("records")}, credit=4.0)
    cid = scene.ask(PLAIN)
    scene.answer(cid, 503, b"", NOT_RUN, ("Retry-After", "2"), seal=False)
    assert scene.status(cid) == 503 and scene.fault(cid)["run"] == "no" and scene.retry_after(cid) == 2.0
    assert len(scene.sends(cid)) == 1 and scene.settled()


def test_unused_borrowed_credit_expires():
    """An edge whose own balance is capped at zero, as with more edges than credits, pays for a retry with borrowed credit.
    Borrowed credit expires after a second, so that no edge accumulates a balance by borrowing.
    """
    budget, now = RetryBudget(cap=0.0), START
    for _ in range(50):
        budget.earn("s:chat")
    assert not budget.spend("s:chat")
    for number in range(2):
        budget.take(MessageReceived("e2", "e2:1", CreditTransfer("s:chat", f"1-{number}", 1.0)), now)
    assert budget.balance_of("s:chat") == 1.0
    budget.take(BudgetTick(()), now + SECOND / 2)
    assert budget.spend("s:chat") and not budget.spend("s:chat")
    budget.take(MessageReceived("e2", "e2:1", CreditTransfer("s:chat", "1-9", 1.0)), now)
    budget.take(BudgetTick(()), now + SECOND)
    assert not budget.spend("s:chat")


def test_edges_with_one_credit_lend_it_to_edges_without():
    """With a hundred edges that share forty credits, an edge that may accumulate none borrows one when it needs a retry,
    for that service only.
    """
    budgets = {f"e{rank:02}": RetryBudget(cap=share_of_slack(50.0, rank, 100)) for rank in range(100)}
    broker, now = RetryBudgetBroker(START), START
    for budget in budgets.values():
        for _ in range(10):
            budget.earn("s:chat")
    borrower = budgets["e77"]
    assert not borrower.spend("s:chat") and not borrower.spend("s:records")
    for name, budget in budgets.items():
        for effect in budget.take(BudgetTick(("core",)), now):
            if isinstance(effect, Send):
                broker.take(MessageReceived(name, name, effect.message), now)
    loans = broker.take(BrokerTick(3), now)
    assert [(loan.message.service_key, loan.message.amount) for loan in loans] == [("s:chat", 1.0)]
    donor, lend = loans[0].address, loans[0].message
    (transfer,) = budgets[donor].take(MessageReceived("core", "c", lend), now)
    assert transfer.address == "e77"
    borrower.take(MessageReceived(donor, "d", transfer.message), now)
    assert borrower.spend("s:chat") and not borrower.spend("s:records")


def test_duplicate_loan_messages_create_no_credit():
    """A loan and its transfer take effect once even if their messages arrive twice, and the sum of the balances stays the same."""
    borrower, lender, now = RetryBudget(), RetryBudget(), timedelta(seconds=1)
    for _ in range(50):
        lender.earn("s:chat")
    borrower.spend("s:chat")
    broker = RetryBudgetBroker(now)
    for name, budget in (("p", borrower), ("r", lender)):
        effects = budget.take(BudgetTick(("core",)), now)
        report = next(effect.message for effect in effects if isinstance(effect, Send))
        broker.take(MessageReceived(name, name + ":1", report), now)
    (loan,) = broker.take(BrokerTick(7), now)
    assert loan.address == "r:1"
    (transfer,) = lender.take(MessageReceived("core", "c", loan.message), now)
    borrower.take(MessageReceived("r", "r:1", transfer.message), now)
    borrower.take(MessageReceived("r", "r:1", transfer.message), now)
    lender.take(MessageReceived("core", "c", loan.message), now)
    assert abs(borrower.balance_of("s:chat") + lender.balance_of("s:chat") - DEFAULT_CAP) < 1e-9 and borrower.spend(
        "s:chat"
    )
    assert broker.take(BrokerTick(0), now * 9) == []
