"""A replica that would lead."""

from collections.abc import Callable
from datetime import timedelta

from sumachook.consensus.events import CandidacySynced
from sumachook.consensus.installer import Installer
from sumachook.consensus.messages import Prepare, PreVote, PreVoteGranted, Promise, TakeOver
from sumachook.consensus.slow_members import SlowMembers
from sumachook.consensus.state import NONCE_BITS, ReplicaState
from sumachook.consensus.storage import Record, promise_record
from sumachook.consensus.timing import CHUNK_BYTES, PRE_VOTE_INTERVAL, PREPARE_INTERVAL, PREPARE_TIMEOUT, PROMISE_WAIT
from sumachook.consensus.views import NO_VIEW, Role, ViewId
from sumachook.host.effects import Effect, Send


class Candidate:
    """Asks the other voters beforehand, collects their promises, and hands over to the installer or to a better one."""

    __slots__ = (
        "state",
        "slow_members",
        "installer",
        "accepted",
        "starts",
        "token",
        "is_unanimous",
        "pre_votes_sent_at",
        "promises",
        "suspected",
        "released",
        "started_at",
        "majority_at",
        "sent_at",
    )

    def __init__(self, state: ReplicaState, slow_members: SlowMembers, installer: Installer, now: timedelta) -> None:
        self.state, self.slow_members, self.installer = state, slow_members, installer
        self.accepted: set[str] = set()
        self.starts: dict[str, int] = {}  # the runs of those that accepted, but may be bound from before their start
        self.token, self.is_unanimous = 0, False
        self.promises: dict[str, Promise] = {}
        self.suspected: set[str] = set()
        self.released: ViewId = NO_VIEW
        self.pre_votes_sent_at = self.started_at = self.sent_at = now
        self.majority_at: timedelta | None = None

    # asking beforehand

    def tick_idle(self, now: timedelta) -> list[Effect]:
        """A replica asks before it disturbs; those who hear a leader stay silent."""
        state = self.state
        if not state.hears_no_leader(now) or not state.is_voter:
            return []
        if state.role is Role.PRE_VOTING:
            return self._send_pre_votes(now) if now >= self.pre_votes_sent_at + PRE_VOTE_INTERVAL else []
        if now < state.retry_at or state.is_leaving:
            return []
        state.role, state.candidacy = Role.PRE_VOTING, state.next_view()
        self.accepted, self.starts, self.token = set(), {}, state.random.getrandbits(NONCE_BITS)
        self.suspected = {state.leader} - {None, state.name}  # type: ignore[assignment]
        for name in self.suspected:
            state.heard_at[name] = state.leader_heard_at
        return self._send_pre_votes(now)

    def _send_pre_votes(self, now: timedelta) -> list[Effect]:
        state, self.pre_votes_sent_at = self.state, now
        return state.send_to_voters(PreVote(state.candidacy, state.view, state.log.end, self.token))

    def on_pre_vote_granted(self, sender: str, message: PreVoteGranted, now: timedelta) -> list[Effect]:
        """Goes on to collect promises once a quorum has accepted and no lease binds this replica."""
        state = self.state
        if state.role is not Role.PRE_VOTING or message.view != state.candidacy or not state.hears_no_leader(now):
            return []
        if message.token != self.token:
            return []
        self.starts.pop(sender, None)
        if message.start:
            self.starts[sender] = message.start
        else:
            self.accepted.add(sender)
        if self._has_all(now):
            return self.start(now, self.suspected, is_unanimous=True)
        is_free = state.guard.permits(state.name, NO_VIEW, now)
        if not is_free or not state.voting_members.has_quorum({state.name, *self.accepted}):
            return []
        return self.start(now, self.suspected)

    def _has_all(self, now: timedelta) -> bool:
        """Whether every voter has accepted: none of them leads, so no lease from before a start stands."""
        guard = self.state.guard
        is_free = guard.permits(self.state.name, NO_VIEW, now, guard.run)
        return is_free and set(self.state.other_voters) <= self.accepted | set(self.starts)

    # collecting promises

    def start(
        self,
        now: timedelta,
        suspected: set[str],
        first_record: Record | None = None,
        released: ViewId = NO_VIEW,
        is_unanimous: bool = False,
    ) -> list[Effect]:
        """Draws a higher view number and promises it to itself first."""
        state = self.state
        state.role, self.started_at, self.majority_at, self.promises = Role.PREPARING, now, None, {}
        state.candidacy = state.promised = state.next_view()
        self.suspected, self.released, self.is_unanimous = set(suspected), released, is_unanimous
        records = ((first_record,) if first_record else ()) + (promise_record(state.candidacy),)
        return [state.store(records, CandidacySynced(state.candidacy))]

    def start_without(self, late: set[str], now: timedelta) -> list[Effect]:
        """Begins anew: these members made no progress with the view that was being installed."""
        for name in late:
            self.slow_members.add(name, now)
        return self.start(now, late)

    def on_candidacy_synced(self, event: CandidacySynced, now: timedelta) -> list[Effect]:
        """The own promise is durable: asks the others for theirs."""
        state, log = self.state, self.state.log
        if event.view != state.candidacy or state.role is not Role.PREPARING:
            return []
        digest = log.digest_at(log.end) or b""
        own = Promise(event.view, state.view, state.delivered, log.end, digest, log.base + 1)
        self.promises[state.name] = own
        return self._send_prepares(now)

    def _send_prepares(self, now: timedelta) -> list[Effect]:
        """To all that have not answered."""
        state, self.sent_at = self.state, now
        voters = tuple(state.voting_members.addresses)
        starts = self.starts if self.is_unanimous else {}
        return [
            Send(address, Prepare(state.candidacy, voters, self.released, starts.get(name, 0)))
            for name, address in state.other_voters.items()
            if name not in self.promises
        ]

    def on_promise(self, sender: str, message: Promise, now: timedelta) -> list[Effect]:
        """Notes the promise of another voter."""
        state = self.state
        if state.role is not Role.PREPARING or message.view != state.candidacy:
            return []
        self.promises[sender] = message
        return self._decide(now)

    def tick_preparing(self, now: timedelta) -> list[Effect]:
        """Decides, asks again, or gives up."""
        out = self._decide(now)
        if out or self.state.role is not Role.PREPARING:
            return out
        if now - self.started_at > PREPARE_TIMEOUT:
            self.state.back_off(now)
        elif self.promises and now - self.sent_at >= PREPARE_INTERVAL:
            return self._send_prepares(now)
        return []

    def _decide(self, now: timedelta) -> list[Effect]:
        """Goes on once all have promised who are not suspected, or the others have waited long enough for them."""
        state = self.state
        voting_members = state.voting_members
        if state.name not in self.promises or not voting_members.has_quorum(self.promises):
            return []
        if self.majority_at is None:
            self.majority_at = now
        is_full = set(voting_members.addresses) - self.suspected <= set(self.promises)
        if not is_full and now - self.majority_at < PROMISE_WAIT:
            return []
        best = self._best()
        if best != state.name:
            state.back_off(now)
            return [Send(voting_members.addresses[best], TakeOver(state.candidacy, self.released, {}))]
        return self._install(now)

    def _best(self) -> str:
        """The voter with the highest installed view and the longest log in it; this replica where it is no worse."""
        state = self.state
        voters = [name for name in self.promises if name in state.voting_members.addresses]
        return max(
            voters, key=lambda name: (self.promises[name].installed, self.promises[name].end, name == state.name)
        )

    def _install(self, now: timedelta) -> list[Effect]:
        members = self._choose_members(now)
        state = self.state
        is_founding = state.log.end == 1 and members != set(state.voting_members.addresses)  # founding needs all
        if not state.voting_members.has_quorum(members) or is_founding:
            state.back_off(now)
            return []
        for name in state.voting_members.addresses:
            if name not in self.promises and state.hears(name, now):
                self.slow_members.add(name, now)  # it beats but does not answer: its disk is slow
        return self.installer.start(tuple(sorted(members)), self.promises, now)

    def _choose_members(self, now: timedelta) -> set[str]:
        """Those who promised; without the leaving, lagging and slow ones where a majority can be made without them."""
        state = self.state
        members = {name for name in self.promises if name in state.voting_members.addresses}
        checks: tuple[Callable[[str], bool], ...] = (
            lambda name: state.knows_leaving(name, now),
            self._is_lagging,
            lambda name: self.slow_members.is_excluded(name, now),
        )
        for is_unwanted in checks:
            rest = {name for name in members if name == state.name or not is_unwanted(name)}
            if state.voting_members.has_quorum(rest):
                members = rest
        return members

    def _is_lagging(self, name: str) -> bool:
        """Whether more than one chunk is missing there."""
        log, promise = self.state.log, self.promises[name]
        known = promise.end if log.digest_at(promise.end) == promise.digest else promise.delivered
        return known < log.base or log.bytes_after(known) > CHUNK_BYTES
