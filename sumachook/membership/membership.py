"""Membership state machine of one node, after the SWIM protocol."""

from collections.abc import Iterable
from datetime import timedelta
from random import Random

from sumachook.host.effects import Effect, SendDatagram
from sumachook.host.events import Event, MessageReceived, SeedsChanged, StopRequested
from sumachook.membership.effects import IncarnationRaised, MemberChanged
from sumachook.membership.events import Tick
from sumachook.membership.gossip import Gossip
from sumachook.membership.member import LIVE_STATUSES, REMOVED_STATUSES, Member, MemberStatus, MemberUpdate
from sumachook.membership.messages import (
    IndirectPing,
    IndirectPingAck,
    IndirectPingRequest,
    Join,
    MemberList,
    Ping,
    PingAck,
    ViewDifference,
)
from sumachook.membership.ping_tracker import PingTracker
from sumachook.membership.view_digest import bucket_of, differing_buckets, digest_of
from sumachook.runtime.cluster_clock import ClusterClock
from sumachook.runtime.monotonic_value import MonotonicValue

_PRECEDENCE = tuple(MemberStatus)


class Membership:
    """Tracks the nodes of the cluster by pings, indirect pings, and suspicion before removal.

    Membership is advisory: no lease or permission depends on it (docs/design.md, "Membership"). Handles events together
    with the current monotonic time; returns datagrams to send, `MemberChanged` and `IncarnationRaised`.
    """

    __slots__ = (
        "local_member",
        "seeds",
        "random",
        "members",
        "gossip",
        "pings",
        "cluster_clock",
        "feed_number",
        "_latest_feed_number",
        "_ping_order",
        "_next_ping_at",
        "_next_join_at",
        "_joining_until",
        "_next_introduction_at",
        "_comparisons_skipped",
        "_last_tick_at",
        "_resumed_at",
    )

    # docs/design.md, "Membership", lists these intervals and the detection time that results from them
    PING_INTERVAL = timedelta(seconds=0.3)
    ACK_TIMEOUT = timedelta(seconds=0.25)  # other nodes are asked to ping a target without an answer in this time
    SUSPECT_AFTER = ACK_TIMEOUT * 3  # a target becomes suspect without direct or indirect acknowledgement in this time
    SUSPICION_TIMEOUT = timedelta(seconds=1.5)  # a suspect that has not refuted the suspicion in this time is gone
    SEED_INTERVAL = timedelta(seconds=2)
    # Minimum time between two join requests of a node that has just started and knows no seed, and between two that are
    # sent to unknown nodes which ping this one.
    JOIN_RETRY_INTERVAL = timedelta(seconds=0.3)
    MAX_COMPARISONS_SKIPPED = 4  # while updates are queued, views are compared once in this many seed intervals
    SEED_JITTER = (0.8, 1.2)  # random factors of an interval; they spread the requests of nodes started together
    FORGET_AFTER = timedelta(minutes=10)  # how long a removed member stays listed
    PAUSE_THRESHOLD = timedelta(seconds=0.8)  # a longer gap between ticks means that this process was paused
    INDIRECT_PING_COUNT = 3

    latest_feed_number = MonotonicValue("_latest_feed_number")  # highest change feed position reported by any node

    def __init__(
        self,
        local_update: MemberUpdate,
        seeds: Iterable[str],
        random: Random,
        now: timedelta,
        cluster_clock: ClusterClock,
    ):
        self.local_member = Member(local_update, now)
        self.seeds = tuple(seeds)
        self.random = random
        self.cluster_clock = cluster_clock
        self.members: dict[str, Member] = {}
        self.gossip = Gossip()
        self.gossip.add(self.local_member.node)
        self.pings = PingTracker(self.local_member.restart_epoch)
        self.feed_number = 0
        self._ping_order: list[str] = []
        self._next_ping_at = now
        self._next_join_at = now
        self._joining_until = now + self.SEED_INTERVAL
        self._next_introduction_at = now
        self._comparisons_skipped = 0
        self._last_tick_at = now
        self._resumed_at = now - self.SUSPICION_TIMEOUT * 4  # a process that has just started may suspect nodes at once

    def take(self, event: Event, now: timedelta) -> list[Effect]:
        """Handles an event; returns the effects in the order in which the node must carry them out."""
        match event:
            case Tick():
                return self._handle_tick(event, now)
            case MessageReceived():
                return self._handle_message(event, now)
            case SeedsChanged():
                self.seeds = tuple(event.addresses)
                return self._compare_views(now)  # at once, since all former seeds may be down
            case StopRequested():
                return self._leave()
        raise TypeError(f"unsupported membership event: {event!r}")

    @property
    def live(self) -> list[Member]:
        """Returns the other members that are alive or suspect, in the order in which they became known."""
        return [member for member in self.members.values() if member.status in LIVE_STATUSES]

    # timers -----------------------------------------------------------------

    def _handle_tick(self, tick: Tick, now: timedelta) -> list[Effect]:
        self.feed_number = tick.feed_number
        self._detect_local_pause(now)
        effects = self._check_pings(now)
        effects += self._check_suspects(now)
        self.pings.drop_relayed_before(now - self.SUSPICION_TIMEOUT)
        if now >= self._next_ping_at:
            self._next_ping_at = now + self.PING_INTERVAL
            effects += self._ping_next(now)
        if now >= self._next_join_at:
            effects += self._ask_one_seed(now) if self._is_joining(now) else self._compare_views(now)
        return effects

    def _detect_local_pause(self, now: timedelta) -> None:
        """Discards pending pings after a pause of this process, when missing answers are no evidence of a failure."""
        if now - self._last_tick_at > self.PAUSE_THRESHOLD:
            self._resumed_at = now
            self.pings.pending.clear()
        self._last_tick_at = now

    def _check_pings(self, now: timedelta) -> list[Effect]:
        effects: list[Effect] = []
        for sequence, ping in list(self.pings.pending.items()):
            member = self.members.get(ping.node)
            waited = now - ping.sent_at
            if member is None:
                del self.pings.pending[sequence]
            elif not ping.is_indirect and waited >= self.ACK_TIMEOUT:
                effects += self._ping_indirectly(sequence, member)
            elif waited >= self.SUSPECT_AFTER:
                del self.pings.pending[sequence]
                if now - self._resumed_at > self.SUSPICION_TIMEOUT:
                    effects += self._change_status(member, MemberStatus.SUSPECT, now)
        return effects

    def _check_suspects(self, now: timedelta) -> list[Effect]:
        effects: list[Effect] = []
        # runs over all members at each tick, so values that do not depend on the member are computed once
        alive, suspect = MemberStatus.ALIVE, MemberStatus.SUSPECT
        suspected_before, removed_before = now - self.SUSPICION_TIMEOUT, now - self.FORGET_AFTER
        for member in [member for member in self.members.values() if member.status is not alive]:
            if member.status is suspect:
                if member.status_since <= suspected_before:
                    effects += self._change_status(member, MemberStatus.GONE, now)
            elif member.status_since <= removed_before and member.status in REMOVED_STATUSES:
                del self.members[member.node]
        return effects

    def _ping_next(self, now: timedelta) -> list[Effect]:
        target = self._next_ping_target()
        if target is None:
            return []
        ping = Ping(
            sequence=self.pings.begin(target.node, now),
            updates=self._updates(target),
            feed_number=self.feed_number,
            wall_clock_ms=self.cluster_clock.wall_clock_ms,
        )
        return [SendDatagram(target.address, ping)]

    def _ping_indirectly(self, sequence: int, target: Member) -> list[Effect]:
        self.pings.mark_indirect(sequence)
        others = [member for member in self.live if member.node != target.node]
        relays = self.random.sample(others, min(self.INDIRECT_PING_COUNT, len(others)))
        return [
            SendDatagram(relay.address, IndirectPingRequest(sequence, target.address, self._updates()))
            for relay in relays
        ]

    def _next_ping_target(self) -> Member | None:
        """Returns the next live member to ping; each round covers all live members once, in a newly shuffled order."""
        while self._ping_order:
            member = self.members.get(self._ping_order.pop())
            if member is not None and member.status in LIVE_STATUSES:
                return member
        self._ping_order = [member.node for member in self.live]
        self.random.shuffle(self._ping_order)
        return self.members[self._ping_order.pop()] if self._ping_order else None

    def _unknown_seeds(self) -> list[str]:
        known = {member.address for member in self.live}
        return [seed for seed in self.seeds if seed not in known and seed != self.local_member.address]

    def _is_joining(self, now: timedelta) -> bool:
        """Whether this is an edge that has just started and lacks a seed. Cores, which are few, ask all seeds at once
        because their startup waits for the member view.
        """
        return now < self._joining_until and self.local_member.role != "core" and bool(self._unknown_seeds())

    def _ask_one_seed(self, now: timedelta) -> list[Effect]:
        """Sends a join request to one random seed: its answer lists all members, and others would repeat it."""
        self._next_join_at = now + self.JOIN_RETRY_INTERVAL * self.random.uniform(*self.SEED_JITTER)
        return [SendDatagram(self.random.choice(self._unknown_seeds()), self._join())]

    def _compare_views(self, now: timedelta) -> list[Effect]:
        """Asks other nodes for the members in which their views differ from this one.

        Asks unknown seeds, one member marked gone, so that the two sides of a healed partition find each other, and
        one live member, which also works when all seeds are down.
        """
        self._next_join_at = now + self.SEED_INTERVAL * self.random.uniform(*self.SEED_JITTER)
        addresses = self._unknown_seeds()
        is_comparing = self._is_comparison_due() or bool(addresses)
        gone = [member.address for member in self.members.values() if member.status == MemberStatus.GONE]
        if gone:
            addresses.append(self.random.choice(gone))
        known = sorted(member.address for member in self.live)
        if known and is_comparing:
            addresses.append(self.random.choice(known))
        return [SendDatagram(address, self._join()) for address in dict.fromkeys(addresses)]

    def _is_comparison_due(self) -> bool:
        """Whether to compare views now; postponed while updates are queued, since views then differ briefly in any case
        and a comparison would mostly repeat those updates.
        """
        self._comparisons_skipped += 1
        if len(self.gossip) and self._comparisons_skipped < self.MAX_COMPARISONS_SKIPPED:
            return False
        self._comparisons_skipped = 0
        return True

    def _leave(self) -> list[Effect]:
        self.local_member.status = MemberStatus.LEFT
        self.gossip.add(self.local_member.node)
        return [SendDatagram(member.address, self._self_announcement()) for member in self.live]

    # messages ---------------------------------------------------------------

    def _handle_message(self, received: MessageReceived, now: timedelta) -> list[Effect]:
        sender, address, message = received.sender, received.address, received.message
        match message:
            case Ping():
                return self._on_ping(sender, address, message, now)
            case PingAck():
                return self._on_ping_ack(sender, message, now)
            case IndirectPingRequest():
                return self._on_indirect_ping_request(address, message, now)
            case IndirectPing():
                effects = self._apply_all(message.updates, now)
                return [*effects, SendDatagram(address, IndirectPingAck(message.sequence, self._updates()))]
            case IndirectPingAck():
                return self._on_indirect_ping_ack(message, now)
            case Join():
                return self._on_join(address, message, now)
            case MemberList() | ViewDifference():
                return self._on_member_list(message, now)
        raise TypeError(f"unsupported membership message: {message!r}")

    def _on_join(self, address: str, join: Join, now: timedelta) -> list[Effect]:
        """Answers with the members in which the sender's view differs; a leaving node gets no answer."""
        effects = self._apply_all(join.updates, now)
        if any(update.status in REMOVED_STATUSES for update in join.updates):
            return effects
        updates = self._updates_of(differing_buckets(self._digest(), join.digest))
        answer = ViewDifference(updates) if join.digest else MemberList(updates)
        return [*effects, SendDatagram(address, answer)] if updates else effects

    def _on_member_list(self, message: MemberList | ViewDifference, now: timedelta) -> list[Effect]:
        """Applies the sender's view. Members that were unknown here are not gossiped further: the node that told
        the sender about them has already told others.
        """
        effects: list[Effect] = []
        for update in message.updates:
            is_unknown = update.node not in self.members and update.node != self.local_member.node
            effects += self._apply(update, now)
            if is_unknown:
                self.gossip.remove(update.node)
        return effects

    def _on_ping(self, sender: str, address: str, ping: Ping, now: timedelta) -> list[Effect]:
        effects = self._apply_all(ping.updates, now)
        # An unknown sender knows an earlier run of this node; since its pings are answered, it sends no join request.
        if sender not in self.members and now >= self._next_introduction_at:
            self._next_introduction_at = now + self.JOIN_RETRY_INTERVAL
            effects.append(SendDatagram(address, self._join()))
        self._record_clocks(sender, ping, now)
        ack = PingAck(
            sequence=ping.sequence,
            updates=self._updates(self.members.get(sender)),
            feed_number=self.feed_number,
            wall_clock_ms=self.cluster_clock.wall_clock_ms,
        )
        return [*effects, SendDatagram(address, ack)]

    def _on_ping_ack(self, sender: str, ack: PingAck, now: timedelta) -> list[Effect]:
        self.pings.acknowledge(ack.sequence, sender)
        self._record_clocks(sender, ack, now)
        return self._apply_all(ack.updates, now)

    def _on_indirect_ping_request(self, address: str, request: IndirectPingRequest, now: timedelta) -> list[Effect]:
        sequence = self.pings.begin_relayed(address, request.sequence, now)
        effects = self._apply_all(request.updates, now)
        ping = IndirectPing(sequence, self.local_member.address, self._updates())
        return [*effects, SendDatagram(request.target, ping)]

    def _on_indirect_ping_ack(self, ack: IndirectPingAck, now: timedelta) -> list[Effect]:
        effects = self._apply_all(ack.updates, now)
        relayed = self.pings.relayed.pop(ack.sequence, None)
        if relayed is None:
            self.pings.acknowledge_indirect(ack.sequence)
            return effects
        answer = IndirectPingAck(relayed.requester_sequence, self._updates())
        return [*effects, SendDatagram(relayed.requester_address, answer)]

    def _record_clocks(self, sender: str, message: Ping | PingAck, now: timedelta) -> None:
        self.latest_feed_number = message.feed_number
        self.cluster_clock.record_vote(sender, message.wall_clock_ms, now)

    # member updates ---------------------------------------------------------

    def _updates(self, target: Member | None = None) -> tuple[MemberUpdate, ...]:
        return self.gossip.next_updates(self.local_member, self.members, target)

    def _join(self) -> Join:
        return Join((self.local_member.to_update(),), self._digest())

    def _self_announcement(self) -> Join:
        """Builds a join message without a digest, which announces this node's state."""
        return Join((self.local_member.to_update(),))

    def _digest(self) -> bytes:
        return digest_of((*self.members.values(), self.local_member))

    def _updates_of(self, buckets: frozenset[int]) -> tuple[MemberUpdate, ...]:
        """Returns updates about all members in these buckets, including removed ones, which can then refute it."""
        members = (*self.members.values(), self.local_member)
        return tuple(member.to_update() for member in members if bucket_of(member.node) in buckets)

    def _change_status(self, member: Member, status: MemberStatus, now: timedelta) -> list[Effect]:
        return self._apply(member.to_update()._replace(status=status), now)

    def _apply_all(self, updates: Iterable[MemberUpdate], now: timedelta) -> list[Effect]:
        return [effect for update in updates for effect in self._apply(update, now)]

    def _apply(self, update: MemberUpdate, now: timedelta) -> list[Effect]:
        if update.node == self.local_member.node:
            return self._refute_if_wrong(update)
        known = self.members.get(update.node)
        if known is None and update.status in REMOVED_STATUSES:
            return []
        if known is not None and not _is_newer(update, known):
            if not _is_older(update, known):
                self.gossip.count_received(update.node)
            return []
        self.gossip.add(update.node)
        self.members[update.node] = Member(update, now)
        return [MemberChanged(update)]

    def _refute_if_wrong(self, update: MemberUpdate) -> list[Effect]:
        """Refutes a suspicion of this node, or an update about an earlier run of it, by a higher incarnation."""
        local_member = self.local_member
        is_wrong = update.status != MemberStatus.ALIVE or update.restart_epoch != local_member.restart_epoch
        is_leaving = local_member.status != MemberStatus.ALIVE
        if not is_wrong or is_leaving or update.incarnation < local_member.incarnation:
            return []
        local_member.incarnation = update.incarnation + 1
        self.gossip.add(local_member.node)
        return [IncarnationRaised(local_member.incarnation)]


def _is_newer(update: MemberUpdate, known: Member) -> bool:
    """Whether an update overrides the known state of its member: by incarnation, then by status."""
    return (update.incarnation, _PRECEDENCE.index(update.status)) > (known.incarnation, _PRECEDENCE.index(known.status))


def _is_older(update: MemberUpdate, known: Member) -> bool:
    """Whether an update is outdated: its sender does not know the member's current state yet."""
    return (update.incarnation, _PRECEDENCE.index(update.status)) < (known.incarnation, _PRECEDENCE.index(known.status))
