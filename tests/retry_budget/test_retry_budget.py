"""The retry budget: credit earned, spent, denied and moved, by service, and summed over all edges."""

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
from sumachook.retry_budget.budget import DEFAULT_CAP, RetryBudget, service_key, share_of_savings
from sumachook.retry_budget.events import BrokerTick, BudgetTick
from sumachook.retry_budget.messages import CreditTransfer
from sumachook.runtime.clock import Clock
from tests.forwarding.forwarding_fixtures import CHAT, NOT_RUN, PLAIN, START, TICK, Scene, server

SECOND = timedelta(seconds=1)
WINDOW = SECOND * 10
RATIO = 0.2


class Edges:
    """Edges with budgets that a broker moves credit between; servers of `records` shed a part, those of `llm` are well."""

    def __init__(self, count: int, slack: float, records: tuple[str, ...]):
        servers = {name: server("records") for name in records} | {"l1": server("llm")}
        self.scenes = [Scene(None, servers, credit=0.0, seed=seed, held=("l1",)) for seed in range(count)]
        for scene in self.scenes:
            scene.retry_budget.cap = 0.8 * slack / count
        self.broker = RetryBudgetBroker(self.now)
        self.random = Random(count)
        self.answered, self.firsts, self.repeats = set(), [], []

    @property
    def now(self) -> timedelta:
        return self.scenes[0].now

    def run(self, seconds: float, shed_part: float, chats: int, plains: int):
        """Each pulse, so many requests for each service come to every edge."""
        until = self.now + SECOND * seconds
        while self.now < until:
            for number, scene in enumerate(self.scenes):
                scene.now += TICK
                scene.take("pulse")
                for _ in range(chats):
                    scene.answer(scene.ask(CHAT))
                for _ in range(plains):
                    scene.ask(PLAIN)
                    self.firsts.append(scene.now)
                self._serve(number, scene, shed_part)
                in_hand = {request.attempt_id for request in scene.table.requests.values()}
                scene.out = [effect for effect in scene.out if effect[0] == "forward" and effect[1] in in_hand]
            self._move_credit()
        return self

    def _serve(self, number, scene, shed_part):
        """Answers each try at `records` once, also those that an answer brings about."""
        while tries := [
            request
            for request in scene.table.requests.values()
            if request.attempt_id and (number, request.attempt_id) not in self.answered
        ]:
            for request in tries:
                self.answered.add((number, request.attempt_id))
                if request.arrivals:
                    self.repeats.append(scene.now)
                if self.random.random() < shed_part:
                    scene.answer(request.call_id, 503, b"", NOT_RUN, seal=False)
                else:
                    scene.answer(request.call_id)

    def _move_credit(self):
        """Reports go to the broker, loans to those who lend, gifts to those who want."""
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

    def most_over(self, slack: float) -> float:
        """By how much the repeats of the worst window pass what the requests for the service in that window allow."""
        worst = -slack
        for place, begin in enumerate(self.repeats):
            repeats = bisect_left(self.repeats, begin + WINDOW) - place
            requests = bisect_left(self.firsts, begin + WINDOW) - bisect_left(self.firsts, begin)
            worst = max(worst, repeats - RATIO * requests - slack)
        return worst


def _over_after_shedding(records, chats):
    """(repeats in all, by how much the worst window passes its bound) of twelve edges with a slack of 50."""
    edges = Edges(12, 50.0, records).run(12, 0.0, chats, plains=1).run(15, 0.7, chats, plains=1)
    return len(edges.repeats), edges.most_over(50.0)


def test_resends_of_a_fleet_with_one_service_stay_within_the_budget():
    """Given twelve edges and requests for one service only, whose servers shed seven of ten, the resends, summed over the edges, stay
    within a fifth of the requests and the slack, in every ten seconds."""
    for records in (("r1",), ("r1", "r2", "r3")):
        repeats, over = _over_after_shedding(records, chats=0)
        assert repeats > 100 and over <= 0, records


def test_resends_at_a_service_are_paid_by_its_own_requests():
    """Given the same fleet where three of four requests are for another service, which is well, the resends at the service that sheds stay
    within a fifth of the requests for that service and the slack all the same."""
    for records in (("r1",), ("r1", "r2", "r3")):
        repeats, over = _over_after_shedding(records, chats=3)
        assert repeats > 100 and over <= 0, (records, over)


def test_what_any_number_of_edges_saves_up_stays_under_the_slack():
    """Given a slack of 50 resends, what edges that know each other may have saved up for a service stays below it, also where there are
    more edges than that; and some of them can still pay for a resend."""
    for edges in (10, 60):
        addresses = {f"e{number}": f"10.0.2.{number}:7" for number in range(edges)}
        saved = [_saved_by(name, addresses) for name in addresses]
        assert sum(saved) <= 50.0 and sum(balance >= 1 for balance in saved) >= 10, edges


def _edge_among(name, addresses):
    """(edge, now): one of these edges two seconds after it heard of the others."""
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


def _saved_by(name, addresses):
    """What one of these edges has saved up after many requests for one service."""
    edge, _ = _edge_among(name, addresses)
    for _ in range(400):
        edge.retry_budget.earn(service_key("records"))
    return edge.retry_budget.balance_of(service_key("records"))


def test_both_sides_of_a_long_split_together_save_up_less_than_the_slack():
    """Given twenty edges of which eight are cut off from the cores and from the others, after more than a minute the others part the
    slack among themselves; those that no core vouches for have nothing saved up, and both sides together stay below the slack."""
    names = [f"e{number:02}" for number in range(20)]
    addresses = {name: f"10.0.2.{number}:7" for number, name in enumerate(names)}
    with_cores, cut_off = set(names[:12]), set(names[12:])
    for seconds in (30, 75):
        saved = {}
        for side in (with_cores, cut_off):
            for name in side:
                saved[name] = _saved_in_split(name, addresses, side, seconds, is_fresh=side is with_cores)
        assert sum(saved.values()) <= 50.0, seconds
        assert sum(saved[name] for name in with_cores) >= 20.0
    assert {saved[name] for name in cut_off} == {0.0}


def _saved_in_split(name, addresses, side, seconds, is_fresh):
    """What an edge has saved up so long after the edges of the other side were gone for it."""
    edge, now = _edge_among(name, addresses)
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


def test_a_request_goes_back_to_the_server_that_shed_it_only_after_its_rest():
    """Given a server without another beside it that sheds a request and asks for 0.3 s, the request is not sent there again before that
    time is over; then it is, once, and is served."""
    scene = Scene(None, {"r1": server("records")}, credit=4.0)
    cid = scene.ask(PLAIN)
    scene.answer(cid, 503, b"", NOT_RUN, ("Retry-After", "0.3"), seal=False)
    scene.run(0.25)
    assert len(scene.sends(cid)) == 1 and not scene.client_effects(cid)
    scene.run(0.15)
    assert len(scene.sends(cid)) == 2
    scene.answer(cid)
    assert scene.status(cid) == 200 and scene.settled()


def test_a_rest_that_is_too_long_ends_the_request_at_once():
    """Given a server without another beside it that sheds a request and asks for more time than the request may wait, the client hears at
    once that it did not run, and when to come back."""
    scene = Scene(None, {"r1": server("records")}, credit=4.0)
    cid = scene.ask(PLAIN)
    scene.answer(cid, 503, b"", NOT_RUN, ("Retry-After", "2"), seal=False)
    assert scene.status(cid) == 503 and scene.fault(cid)["run"] == "no" and scene.retry_after(cid) == 2.0
    assert len(scene.sends(cid)) == 1 and scene.settled()


def test_what_an_edge_borrowed_and_did_not_use_is_taken_away_again():
    """Given an edge that may save up nothing, as there are more edges than the slack has credits, it pays a resend with what is lent to it;
    credit that it doesn't use within a second is gone, so that no edge saves up by borrowing."""
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


def test_edges_with_a_credit_each_lend_to_those_without():
    """Given a hundred edges and a slack for forty credits, an edge that may save up none and meets a fault is lent one, service by service."""
    budgets = {f"e{rank:02}": RetryBudget(cap=share_of_savings(50.0, rank, 100)) for rank in range(100)}
    broker, now = RetryBudgetBroker(START), START
    for budget in budgets.values():
        for _ in range(10):
            budget.earn("s:chat")
    needy = budgets["e77"]
    assert not needy.spend("s:chat") and not needy.spend("s:records")
    for name, budget in budgets.items():
        for effect in budget.take(BudgetTick(("core",)), now):
            if isinstance(effect, Send):
                broker.take(MessageReceived(name, name, effect.message), now)
    loans = broker.take(BrokerTick(3), now)
    assert [(loan.message.service_key, loan.message.amount) for loan in loans] == [("s:chat", 1.0)]
    donor, lend = loans[0].address, loans[0].message
    (transfer,) = budgets[donor].take(MessageReceived("core", "c", lend), now)
    assert transfer.address == "e77"
    needy.take(MessageReceived(donor, "d", transfer.message), now)
    assert needy.spend("s:chat") and not needy.spend("s:records")


def test_credit_moves_and_is_never_made():
    """Given an edge that wants credit and one with some to spare, it is lent once however often the messages come, and the sum stays."""
    poor, rich, now = RetryBudget(), RetryBudget(), timedelta(seconds=1)
    for _ in range(50):
        rich.earn("s:chat")
    poor.spend("s:chat")
    broker = RetryBudgetBroker(now)
    for name, budget in (("p", poor), ("r", rich)):
        effects = budget.take(BudgetTick(("core",)), now)
        report = next(effect.message for effect in effects if isinstance(effect, Send))
        broker.take(MessageReceived(name, name + ":1", report), now)
    (loan,) = broker.take(BrokerTick(7), now)
    assert loan.address == "r:1"
    (transfer,) = rich.take(MessageReceived("core", "c", loan.message), now)
    poor.take(MessageReceived("r", "r:1", transfer.message), now)
    poor.take(MessageReceived("r", "r:1", transfer.message), now)
    rich.take(MessageReceived("core", "c", loan.message), now)
    assert abs(poor.balance_of("s:chat") + rich.balance_of("s:chat") - DEFAULT_CAP) < 1e-9 and poor.spend("s:chat")
    assert broker.take(BrokerTick(0), now * 9) == []
