"""The candidate role: pre-vote, collection of promises, and choice of the members of the next view."""

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
    """Runs an election: a pre-vote, then the collection of promises.

    Ends by installing the view, or by sending `TakeOver` to a voter with a better log.
    """

    __slots__ = (
        "state",
        "slow_members",
        "installer",
        "granted_by",
        "run_numbers",
        "token",
        "is_unanimous",
        "pre_votes_sent_at",
        "promises",
        "suspected",
        "released",
        "started_at",
        "majority_at",
        "prepares_sent_at",
    )

    def __init__(self, state: ReplicaState, slow_members: SlowMembers, installer: Installer, now: timedelta) -> None:
        self.state, self.slow_members, self.installer = state, slow_members, installer
        self.granted_by: set[str] = set()
        self.run_numbers: dict[str, int] = {}  # of restarted voters, by name: an older lease may still bind them
        self.token, self.is_unanimous = 0, False
        self.promises: dict[str, Promise] = {}
        self.suspected: set[str] = set()
        self.released: ViewId = NO_VIEW
        self.pre_votes_sent_at = self.started_at = self.prepares_sent_at = now
        self.majority_at: timedelta | None = None

    # pre-vote

    def tick_idle(self, now: timedelta) -> list[Effect]:
        """Starts or repeats the pre-vote once no leader has been heard within `SILENCE_TIMEOUT`."""
        state = self.state
        if not state.leader_timed_out(now) or not state.is_voter:
            return []
        if state.role is Role.PRE_VOTING:
            return self._send_pre_votes(now) if now >= self.pre_votes_sent_at + PRE_VOTE_INTERVAL else []
        if now < state.next_election_at or state.is_leaving:
            return []
        state.role, state.candidacy = Role.PRE_VOTING, state.next_view()
        self.granted_by, self.run_numbers, self.token = set(), {}, state.random.getrandbits(NONCE_BITS)
        self.suspected = {state.leader} - {None, state.name}  # type: ignore[assignment]
        for name in self.suspected:
            state.heard_at[name] = state.leader_heard_at
        return self._send_pre_votes(now)

    def _send_pre_votes(self, now: timedelta) -> list[Effect]:
        state, self.pre_votes_sent_at = self.state, now
        return state.send_to_voters(PreVote(state.candidacy, state.view, state.log.end, self.token))

    def on_pre_vote_granted(self, sender: str, message: PreVoteGranted, now: timedelta) -> list[Effect]:
        """Counts a pre-vote grant; starts the election once a quorum has granted and no lease binds this replica."""
        state = self.state
        if state.role is not Role.PRE_VOTING or message.view != state.candidacy or not state.leader_timed_out(now):
            return []
        if message.token != self.token:
            return []
        self.run_numbers.pop(sender, None)
        if message.start:
            self.run_numbers[sender] = message.start
        else:
            self.granted_by.add(sender)
        if self._all_voters_granted(now):
            return self.start(now, self.suspected, is_unanimous=True)
        is_unbound = state.guard.permits(state.name, NO_VIEW, now)
        if not is_unbound or not state.voting_members.has_quorum({state.name, *self.granted_by}):
            return []
        return self.start(now, self.suspected)

    def _all_voters_granted(self, now: timedelta) -> bool:
        """Whether all voters have granted the pre-vote, so none leads and no lease from before a restart is valid."""
        guard = self.state.guard
        is_unbound = guard.permits(self.state.name, NO_VIEW, now, guard.run_number)
        return is_unbound and set(self.state.other_voters) <= self.granted_by | set(self.run_numbers)

    # collection of promises

    def start(
        self,
        now: timedelta,
        suspected: set[str],
        first_record: Record | None = None,
        released: ViewId = NO_VIEW,
        is_unanimous: bool = False,
    ) -> list[Effect]:
        """Starts an election with a higher view number, and persists the candidate's own promise first."""
        state = self.state
        state.role, self.started_at, self.majority_at, self.promises = Role.PREPARING, now, None, {}
        state.candidacy = state.promised = state.next_view()
        self.suspected, self.released, self.is_unanimous = set(suspected), released, is_unanimous
        records = ((first_record,) if first_record else ()) + (promise_record(state.candidacy),)
        return [state.append_records(records, CandidacySynced(state.candidacy))]

    def start_without(self, late: set[str], now: timedelta) -> list[Effect]:
        """Restarts the election without the members that made no progress in installing the last view."""
        for name in late:
            self.slow_members.add(name, now)
        return self.start(now, late)

    def on_candidacy_synced(self, event: CandidacySynced, now: timedelta) -> list[Effect]:
        """Counts the candidate's own promise, now durable, and sends `Prepare` to the other voters."""
        state, log = self.state, self.state.log
        if event.view != state.candidacy or state.role is not Role.PREPARING:
            return []
        digest = log.digest_at(log.end) or b""
        own = Promise(event.view, state.view, state.delivered, log.end, digest, log.base + 1)
        self.promises[state.name] = own
        return self._send_prepares(now)

    def _send_prepares(self, now: timedelta) -> list[Effect]:
        """Sends `Prepare` to every voter that has not promised yet."""
        state, self.prepares_sent_at = self.state, now
        voters = tuple(state.voting_members.addresses)
        run_numbers = self.run_numbers if self.is_unanimous else {}
        return [
            Send(address, Prepare(state.candidacy, voters, self.released, run_numbers.get(name, 0)))
            for name, address in state.other_voters.items()
            if name not in self.promises
        ]

    def on_promise(self, sender: str, message: Promise, now: timedelta) -> list[Effect]:
        """Records a voter's promise for the candidate's current view."""
        state = self.state
        if state.role is not Role.PREPARING or message.view != state.candidacy:
            return []
        self.promises[sender] = message
        return self._decide(now)

    def tick_preparing(self, now: timedelta) -> list[Effect]:
        """Completes the election if possible, resends `Prepare`, or backs off after `PREPARE_TIMEOUT`."""
        out = self._decide(now)
        if out or self.state.role is not Role.PREPARING:
            return out
        if now - self.started_at > PREPARE_TIMEOUT:
            self.state.back_off(now)
        elif self.promises and now - self.prepares_sent_at >= PREPARE_INTERVAL:
            return self._send_prepares(now)
        return []

    def _decide(self, now: timedelta) -> list[Effect]:
        """Ends the promise phase once all unsuspected voters have promised, or `PROMISE_WAIT` after a quorum has."""
        state = self.state
        voting_members = state.voting_members
        if state.name not in self.promises or not voting_members.has_quorum(self.promises):
            return []
        if self.majority_at is None:
            self.majority_at = now
        is_full = set(voting_members.addresses) - self.suspected <= set(self.promises)
        if not is_full and now - self.majority_at < PROMISE_WAIT:
            return []
        best = self._best_voter()
        if best != state.name:
            state.back_off(now)
            return [Send(voting_members.addresses[best], TakeOver(state.candidacy, self.released, {}))]
        return self._install(now)

    def _best_voter(self) -> str:
        """Returns the voter with the highest installed view, then the longest log; ties go to this replica."""
        state = self.state
        voters = [name for name in self.promises if name in state.voting_members.addresses]
        return max(
            voters, key=lambda name: (self.promises[name].installed, self.promises[name].end, name == state.name)
        )

    def _install(self, now: timedelta) -> list[Effect]:
        members = self._choose_members(now)
        state = self.state
        # The first view of a new group must include every founder.
        is_founding = state.log.end == 1 and members != set(state.voting_members.addresses)
        if not state.voting_members.has_quorum(members) or is_founding:
            state.back_off(now)
            return []
        for name in state.voting_members.addresses:
            if name not in self.promises and state.has_heard(name, now):
                self.slow_members.add(name, now)  # the voter is reachable but has not promised, so its disk is slow
        return self.installer.start(tuple(sorted(members)), self.promises, now)

    def _choose_members(self, now: timedelta) -> set[str]:
        """Returns the voters that promised, without leaving, lagging and slow ones if the others form a quorum."""
        state = self.state
        members = {name for name in self.promises if name in state.voting_members.addresses}
        checks: tuple[Callable[[str], bool], ...] = (
            lambda name: state.is_known_leaving(name, now),
            self._is_lagging,
            lambda name: self.slow_members.is_excluded(name, now),
        )
        for is_unwanted in checks:
            remaining = {name for name in members if name == state.name or not is_unwanted(name)}
            if state.voting_members.has_quorum(remaining):
                members = remaining
        return members

    def _is_lagging(self, name: str) -> bool:
        """Whether the named voter's log lacks entries of more than `CHUNK_BYTES` in total."""
        log, promise = self.state.log, self.promises[name]
        known = promise.end if log.digest_at(promise.end) == promise.digest else promise.delivered
        return known < log.base or log.bytes_after(known) > CHUNK_BYTES
