"""The lease protocol of the singleton roles, as run by one core."""

from datetime import timedelta
from random import Random

from sumachook.host.effects import Effect, Send
from sumachook.host.events import Event, MessageReceived
from sumachook.leases.claims import Claims
from sumachook.leases.events import Quit, Resume, Tick
from sumachook.leases.messages import RELEASED, ClaimLease, ClaimVote, LeaseRenewed, RenewLease
from sumachook.leases.renewal import HeldLeases
from sumachook.leases.timing import choose_timing
from sumachook.leases.vacancies import Vacancies
from sumachook.leases.voters import ControlState, Voters
from sumachook.leases.voting import Voting


class Leases:
    """Runs the lease protocol as a state machine: `take` maps an event and the time to effects.

    It reads the role holders from the control state. With `is_fenced`, servers refuse load orders with lower fencing
    tokens, so a successor need not wait for the timeout of an order or for `turn_gap`, the minimum time between the
    orders of two holders.
    """

    __slots__ = ("voters", "held", "voting", "claims", "vacancies")

    def __init__(
        self,
        voter: str,
        state: ControlState,
        random: Random,
        now: timedelta,
        is_fenced: bool = False,
        turn_gap: timedelta = timedelta(0),
    ) -> None:
        timing = choose_timing(is_fenced, turn_gap)
        self.voters = Voters(voter, state)
        self.held = HeldLeases(self.voters, timing, now)
        self.voting = Voting(self.voters, timing, is_fenced, now)
        self.claims = Claims(self.voters, self.voting, random, timing)
        self.vacancies = Vacancies(state, timing, now)

    @property
    def is_quitting(self) -> bool:
        """Whether this core neither holds nor claims roles until it resumes."""
        return self.held.is_quitting

    def holds(self, role: str, now: timedelta) -> int:
        """Returns the fencing token of a role while this core has an unexpired lease of it, else 0."""
        return self.held.fence(role, now)

    def take(self, event: Event, now: timedelta) -> list[Effect]:
        """Handles an event; returns messages to send and changes to propose. Raises TypeError for an unknown event."""
        match event:
            case Tick(is_fresh, is_leading):
                return self._handle_tick(is_fresh, is_leading, now)
            case MessageReceived(sender, address, message):
                return self._handle_message(sender, address, message, now)
            case Quit():
                return self.held.release_all()
            case Resume():
                self.held.is_quitting = False
                return []
        raise TypeError(f"unexpected event for leases: {event!r}")

    def _handle_tick(self, is_fresh: bool, is_leading: bool, now: timedelta) -> list[Effect]:
        self.voters.is_fresh = is_fresh
        if not is_leading:
            self.vacancies.leading_since = now
        renewed_roles, effects = self.held.renew(now)
        for role in renewed_roles:
            self._note_renewal(role, now)
        for role, (holder, fence) in self.voters.state.role_holders.items():
            self.vacancies.note_holder(role, holder, fence, now)
            effects += self._check_role(role, holder, fence, is_leading, now)
        return effects

    def _check_role(self, role: str, holder: str, fence: int, is_leading: bool, now: timedelta) -> list[Effect]:
        """Claims a vacant role, proposes the vacancy of a released one, or as leader checks that the holder renews."""
        is_fresh = self.voters.is_fresh
        if not holder and is_fresh and not self.is_quitting and self.voters.state.voting_members:
            return self.claims.claim(role, fence + 1, now)
        if holder == self.voters.name and is_fresh and self.held.is_released(role, fence):
            return self.vacancies.propose(role, fence, now)
        if holder and is_leading:
            return self.vacancies.check_holder(role, holder, fence, now)
        return []

    def _note_renewal(self, role: str, now: timedelta) -> None:
        self.vacancies.note_renewal(role, now)
        self.voting.note_renewal(role, now)

    def _handle_message(self, sender: str, address: str, message: object, now: timedelta) -> list[Effect]:
        match message:
            case RenewLease():
                return self._on_renew(sender, address, message, now)
            case LeaseRenewed():
                self.held.on_renewed(sender, message)
                return []
            case ClaimLease():
                return self.voting.on_claim(sender, address, message, now)
            case ClaimVote():
                return self.claims.on_vote(sender, message)
        raise TypeError(f"unexpected message for leases: {message!r}")

    def _on_renew(self, sender: str, address: str, message: RenewLease, now: timedelta) -> list[Effect]:
        """Records a release by the holder, or acknowledges its renewal if this voter is in a working view."""
        if message.sent == RELEASED:
            _, fence = self.voters.state.role_holders[message.role]
            if fence == message.fence:
                self.voting.note_release(message.role, now)
            return []
        if not self.voters.is_fresh or self.voters.state.fence(message.role, sender) != message.fence:
            return []
        self._note_renewal(message.role, now)
        return [Send(address, LeaseRenewed(message.role, message.fence, message.sent))]
