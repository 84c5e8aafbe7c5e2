"""Tests for which claims and at which times a voter votes."""

from datetime import timedelta

from sumachook.control_state.state import State
from sumachook.host.effects import Send
from sumachook.leases.messages import ClaimLease, ClaimVote
from sumachook.leases.timing import FENCED
from sumachook.leases.voters import Voters
from sumachook.leases.voting import Voting

NOW = timedelta(seconds=10)


def _voting(is_fresh: bool = True) -> Voting:
    state = State()
    state.apply(1, ("found", {"a": "a:1", "b": "b:1", "c": "c:1"}))
    voters = Voters("a", state)
    voters.is_fresh = is_fresh
    return Voting(voters, FENCED, True, timedelta(0))


def test_voter_votes_once_per_round_and_again_in_a_higher_round():
    """After a vote for one claim, another claimant gets a vote only in a higher round; a repeated claim is answered again."""
    voting = _voting()
    vote = [Send("b:1", ClaimVote("placer", 1, 1))]
    assert voting.on_claim("b", "b:1", ClaimLease("placer", 1, 1), NOW) == vote
    assert voting.on_claim("c", "c:1", ClaimLease("placer", 1, 1), NOW) == []
    assert voting.on_claim("b", "b:1", ClaimLease("placer", 1, 1), NOW) == vote
    assert voting.on_claim("c", "c:1", ClaimLease("placer", 1, 2), NOW) == [Send("c:1", ClaimVote("placer", 1, 2))]
    assert voting.vote_for_self("placer", 1, 1) == 3


def test_invalid_claims_and_voters_outside_a_view_give_no_vote():
    """There is no vote if the voter is not fresh, the fencing token is wrong, or the role or the claimant is unknown."""
    claim = ClaimLease("placer", 1, 1)
    assert _voting(is_fresh=False).on_claim("b", "b:1", claim, NOW) == []
    assert _voting().on_claim("x", "x:1", claim, NOW) == []
    assert _voting().on_claim("b", "b:1", ClaimLease("placer", 2, 1), NOW) == []
    assert _voting().on_claim("b", "b:1", ClaimLease("none", 1, 1), NOW) == []


def test_no_vote_while_an_acknowledged_lease_may_be_valid():
    """A voter that acknowledged a renewal must not vote until the lease and its margin have expired or it is released."""
    voting = _voting()
    state = voting.voters.state
    state.apply(2, ("duty-fill", "placer", "b", 1))
    voting.note_renewal("placer", NOW)
    state.apply(3, ("duty-vacate", "placer", 1))
    assert not voting.may_vote("placer", NOW + FENCED.vacant_after)
    assert voting.may_vote("placer", NOW + FENCED.vacant_after * 1.01)
    voting.note_release("placer", NOW)
    assert voting.may_vote("placer", NOW)
