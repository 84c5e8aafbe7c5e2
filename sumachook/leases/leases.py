"""One core's part in the duties."""

from dataclasses import dataclass, replace
from datetime import timedelta
from random import Random

ORDER_TIMEOUT = timedelta(seconds=2)
DRIFT = timedelta(seconds=0.5)
GIVEN_BACK = -1.0  # as the time at which a renewal was sent: there will be no more


@dataclass(frozen=True, slots=True)
class DutyTiming:
    """How long a lease lasts from its renewal's sending, how long after the last renewal nobody else may be voted for (the same span
    makes a duty vacant), and how often a holder renews and a candidate bids."""

    lease: timedelta
    vacant_after: timedelta
    renew: timedelta
    bid_pause: timedelta


FENCED = DutyTiming(timedelta(seconds=1), timedelta(seconds=1.1), timedelta(seconds=0.25), timedelta(seconds=0.2))
UNFENCED = DutyTiming(
    timedelta(seconds=2), timedelta(seconds=2) + ORDER_TIMEOUT + DRIFT, timedelta(seconds=0.4), timedelta(seconds=0.5)
)


def draw_timing(is_fenced: bool, turn_gap: timedelta) -> DutyTiming:
    """Servers that check fences refuse an old holder's orders themselves. Where they don't, the lease, an order under way and
    `turn_gap`, the least time between orders of two holders, pass before a successor is voted for.

    >>> draw_timing(False, timedelta(seconds=3)).vacant_after - draw_timing(False, timedelta(0)).vacant_after
    datetime.timedelta(seconds=3)
    >>> draw_timing(True, timedelta(seconds=3)) == FENCED
    True
    """
    return FENCED if is_fenced else replace(UNFENCED, vacant_after=UNFENCED.vacant_after + turn_gap)


class Leases:
    """Takes (message, now); reads the ordered duties of the state it is given (§6).

    In: ("pulse", isFresh, isLeading), ("heard", seat, address, message), ("quit",), ("resume",).
    Out: ("tell", address, message), ("propose", change), ("log", ...).
    `holds(duty, now)` is the fence while the lease runs, else 0.
    A seat votes for a successor only when the last renewal that it answered has run out, with all that may be under way. A lease
    needs a majority's answers and a successor a majority's votes, and any two majorities meet (§6.3). `isFenced`: servers refuse
    lower fences, so neither an order's timeout nor `turn_gap` has to pass.
    """

    __slots__ = (
        "seat",
        "state",
        "draw",
        "leases",
        "answers",
        "renewed_at",
        "votes",
        "bids",
        "next_renew",
        "is_fresh",
        "watched_since",
        "quitting",
        "given_back",
        "known",
        "last_sent",
        "timing",
        "is_fenced",
        "started_at",
        "answered_at",
    )

    def __init__(
        self, seat: str, state, draw: Random, now, is_fenced: bool = False, turn_gap: timedelta = timedelta(0)
    ):
        self.seat, self.state, self.draw, self.is_fenced = seat, state, draw, is_fenced
        self.timing = draw_timing(is_fenced, turn_gap)
        self.started_at, self.answered_at = now, {}  # what was answered before the start is not known
        self.leases, self.answers, self.renewed_at, self.votes, self.bids = {}, {}, {}, {}, {}
        self.next_renew, self.is_fresh, self.watched_since, self.quitting = now, False, now, False
        self.known, self.last_sent = {}, {}
        self.given_back = {}  # duty -> the fence under which this seat will never hold it again

    def holds(self, duty: str, now) -> int:
        fence = self.state.fence(duty, self.seat)
        leased_fence, until = self.leases.get(duty, (0, now))
        is_held = fence and leased_fence == fence and now < until and not self._has_given_back(duty, fence)
        return fence if is_held and not self.quitting else 0

    def take(self, message: tuple, now) -> list:
        kind = message[0]
        if kind == "pulse":
            return self._pulse(message[1], message[2], now)
        if kind == "quit":
            return self._quit()
        if kind == "resume":
            self.quitting = False
            return []
        return getattr(self, "_on_" + message[3][0])(message[1], message[2], message[3], now)

    def _most(self):
        return len(self.state.roster) // 2 + 1

    def _others(self):
        return [address for seat, address in self.state.roster.items() if seat != self.seat]

    def _pulse(self, is_fresh, is_leading, now):
        self.is_fresh = is_fresh
        out = []
        if not is_leading:
            self.watched_since = now
        if now >= self.next_renew:
            self.next_renew = now + self.timing.renew
            out += self._renew(now)
        for duty, (holder, fence) in self.state.duties.items():
            if self.known.get(duty) != (holder, fence):
                self.known[duty] = (holder, fence)
                self.renewed_at[duty] = now
            if not holder and is_fresh and not self.quitting and self.state.roster:
                out += self._bid(duty, fence + 1, now)
            elif holder == self.seat and is_fresh and self._has_given_back(duty, fence):
                out += self._give_back_again(duty, fence, now)
            elif holder and is_leading:
                out += self._judge(duty, holder, fence, now)
        return out

    # keeping a duty -------------------------------------------------------------

    def _renew(self, now):
        out = []
        for duty in self.state.duties:
            fence = self.state.fence(duty, self.seat)
            if fence and not self.quitting and not self._has_given_back(duty, fence):
                sent = now.total_seconds()
                self.answers[(duty, fence, sent)] = {self.seat} if self.is_fresh else set()
                out += [("tell", address, ("renew", duty, fence, sent)) for address in self._others()]
                self.renewed_at[duty] = self.answered_at[duty] = now
                self._count(duty, fence, sent, now)
        horizon = (now - self.timing.lease).total_seconds()
        self.answers = {key: seats for key, seats in self.answers.items() if key[2] > horizon}
        return out

    def _on_renew(self, seat, address, body, now):
        _, duty, fence, sent = body
        if sent == GIVEN_BACK:
            if self.state.duties[duty][1] == fence:
                self.answered_at[duty] = now - self._given_back_span()
            return []
        if not self.is_fresh or self.state.fence(duty, seat) != fence:
            return []  # §6.2: a seat outside a working view prolongs nothing
        self.renewed_at[duty] = self.answered_at[duty] = now
        return [("tell", address, ("renewed", duty, fence, sent))]

    def _on_renewed(self, seat, address, body, now):
        _, duty, fence, sent = body
        if (duty, fence, sent) in self.answers and seat in self.state.roster:
            self.answers[(duty, fence, sent)].add(seat)
            self._count(duty, fence, sent, now)
        return []

    def _count(self, duty, fence, sent, now):
        if len(self.answers[(duty, fence, sent)]) >= self._most():
            until = timedelta(seconds=sent) + self.timing.lease  # from when it was sent, on our own clock
            if self.leases.get(duty, (0, now))[0] != fence or self.leases[duty][1] < until:
                self.leases[duty] = (fence, until)

    def _judge(self, duty, holder, fence, now):
        """§6.3: the leader declares a vacancy only when no order of the old holder can be under way."""
        silent_since = max(self.renewed_at.get(duty, now), self.watched_since)
        if now - silent_since > self.timing.vacant_after and self._may_send(("vacate", duty), now):
            note = (
                "log",
                "warning",
                "leases",
                "A duty falls vacant.",
                {"duty": duty, "holder": holder, "fence": fence},
            )
            return [note, ("propose", ("duty-vacate", duty, fence))]
        return []

    def _quit(self):
        """On leaving, duties are given back at once; no order goes out after this, nor until `resume`."""
        self.quitting = True
        self.leases.clear()
        mine = [(duty, fence) for duty, (holder, fence) in self.state.duties.items() if holder == self.seat]
        self.given_back |= dict(mine)
        told = [
            ("tell", address, ("renew", duty, fence, GIVEN_BACK)) for duty, fence in mine for address in self._others()
        ]
        return told + [("propose", ("duty-vacate", duty, fence)) for duty, fence in mine]

    def _has_given_back(self, duty, fence) -> bool:
        """What was given back stays so after a `resume`: others may have stopped counting the old lease."""
        return fence <= self.given_back.get(duty, 0)

    def _give_back_again(self, duty, fence, now):
        """The first word may have been lost; nobody else could tell for a while."""
        if not self._may_send(("vacate", duty), now):
            return []
        return [("propose", ("duty-vacate", duty, fence))]

    def _may_vote(self, duty, now):
        """§6.3: not before every lease that this seat helped to prolong is over, and what was ordered under it has come or gone."""
        was_held = self.state.duties[duty][1] > 0
        return not was_held or now - self.answered_at.get(duty, self.started_at) > self.timing.vacant_after

    def _given_back_span(self):
        """How much of the wait a holder that gave its duty back has saved: its lease; where fences are checked, all of it."""
        return self.timing.vacant_after * 2 if self.is_fenced else self.timing.lease

    def _may_send(self, what, now):
        if now - self.last_sent.get(what, now - self.timing.bid_pause * 9) < self.timing.bid_pause:
            return False
        self.last_sent[what] = now
        return True

    # winning a duty -----------------------------------------------------------------

    def _bid(self, duty, fence, now):
        key = (duty, fence)
        current = self.bids.get(duty)
        if current is None or current[0] != fence:
            load = sum(holder == self.seat for holder, _ in self.state.duties.values())
            wait = timedelta(seconds=self.draw.uniform(0.05, 0.3) + 0.3 * load)  # spread the duties out
            self.bids[duty] = (fence, 0, now + wait, set())
            return []
        _, round_, at, votes = current
        if now < at or not self._may_vote(duty, now):
            return []
        round_ += 1
        if self.votes.get(key, (self.seat, 0))[0] != self.seat and self.votes[key][1] >= round_:
            round_ = self.votes[key][1] + 1
        self.votes[key] = (self.seat, round_)
        self.bids[duty] = (fence, round_, now + self.timing.bid_pause * self.draw.uniform(1, 2), {self.seat})
        return [("tell", address, ("bid", duty, fence, round_)) for address in self._others()]

    def _on_bid(self, seat, address, body, now):
        _, duty, fence, round_ = body
        holder, last = self.state.duties.get(duty, ("?", 0))
        if (
            holder
            or fence != last + 1
            or not self.is_fresh
            or seat not in self.state.roster
            or not self._may_vote(duty, now)
        ):
            return []
        voted = self.votes.get((duty, fence))
        if voted is None or round_ > voted[1] or (voted == (seat, round_)):
            self.votes = {key: vote for key, vote in self.votes.items() if key[0] != duty}
            self.votes[(duty, fence)] = (seat, round_)
            return [("tell", address, ("vote", duty, fence, round_))]
        return []

    def _on_vote(self, seat, address, body, now):
        _, duty, fence, round_ = body
        current = self.bids.get(duty)
        if (
            current is None
            or current[:2] != (fence, round_)
            or self.state.duties[duty][0]
            or seat not in self.state.roster
        ):
            return []
        current[3].add(seat)
        if len(current[3]) == self._most():
            return [("propose", ("duty-fill", duty, self.seat, fence))]
        return []
