"""The following end of the feed, in each edge."""

from datetime import timedelta
from random import Random

from sumachook.runtime.rising import Rising
from sumachook.transport.codec import read_entry

EMPTY, WAITING, FRESH, CUT = "empty", "waiting", "fresh", "cut"


class Follower:
    """Keeps a State up to date and knows how far to trust it (§8.2).

    In: ("pulse", cores, heardNumber), ("heard", node, address, message).
    Out: ("tell", address, message), ("changed",). `trust(now)` is one of empty, waiting, fresh, cut.
    """

    __slots__ = (
        "state",
        "draw",
        "core",
        "_number",
        "nonce",
        "beat_at",
        "asked_at",
        "last_pulse",
        "woke",
        "behind_since",
        "_heard",
    )

    number = Rising("_number")
    heard = Rising("_heard")
    SILENCE = timedelta(seconds=1)
    CUT_AFTER = timedelta(seconds=3)
    LATE_PULSE = timedelta(seconds=1)
    NEVER = timedelta(days=365)

    def __init__(self, state, draw: Random, now):
        self.state, self.draw, self.core, self.nonce = state, draw, None, draw.randrange(1, 1 << 30)
        self.number = state.number
        self.beat_at = now - self.NEVER
        self.asked_at = now - self.SILENCE * 2
        self.last_pulse, self.woke, self.behind_since = now, now, None

    def trust(self, now) -> str:
        if self.state.catalogue is None:
            return EMPTY
        if now - self.last_pulse > self.LATE_PULSE:
            return WAITING
        if now - self.beat_at < self.CUT_AFTER:
            return FRESH
        return WAITING if now - self.woke < self.CUT_AFTER else CUT

    def take(self, message: tuple, now) -> list:
        if message[0] == "pulse":
            return self._pulse(message[1], message[2], now)
        late = self._notice_late(now)
        return late + getattr(self, "_on_" + message[3][0])(message[1], message[2], message[3], now)

    def _notice_late(self, now):
        """§8.3: who froze believes no beat that may have lain in a buffer."""
        if now - self.last_pulse <= self.LATE_PULSE:
            return []
        self.woke, self.last_pulse = now, now
        self.beat_at = now - self.NEVER
        return self._follow(now)

    def _follow(self, now):
        self.nonce += 1
        self.asked_at = now
        return [("tell", self.core, ("follow", self.number, self.nonce))] if self.core else []

    def _pulse(self, cores, heard_number, now):
        out = self._notice_late(now)
        self.last_pulse = now
        self.heard = heard_number
        is_behind = self.heard > self.number
        self.behind_since = (self.behind_since or now) if is_behind else None
        is_quiet = now - max(self.beat_at, self.asked_at) > self.SILENCE
        is_stale = is_behind and now - self.behind_since > self.SILENCE and now - self.asked_at > self.SILENCE
        if (is_quiet or is_stale or self.core not in cores) and cores and now - self.asked_at > self.SILENCE / 2:
            others = [core for core in cores if core != self.core] or list(cores)
            self.core = self.draw.choice(others)
            out += self._follow(now)
        return out

    def _on_image(self, node, address, body, now):
        if body[1] <= self.number:
            return []
        self.state.restore(body[2])
        self.number = self.state.number
        return [("changed",), ("tell", address, ("confirm", self.number))]

    def _on_news(self, node, address, body, now):
        _, first, entries = body
        before = self.number
        for number, entry in enumerate(entries, first):
            if number == self.number + 1:
                self.state.apply(number, read_entry(entry))
                self.number = number
        if first > before + 1:
            return self._follow(now)
        return [("changed",), ("tell", address, ("confirm", self.number))] if self.number > before else []

    def _on_feed_beat(self, node, address, body, now):
        _, number, nonce, _ = body
        if nonce != self.nonce or address != self.core:
            return []
        if number > self.number and now - self.asked_at > self.SILENCE:
            return self._follow(now)
        if number < self.number:
            return []  # a core that lags cannot vouch for us
        if number == self.number:
            self.beat_at = now
        return [("tell", address, ("confirm", self.number))]


def _follower():
    from sumachook.catalog.state import State

    follower = Follower(State(), Random(1), timedelta(0))
    follower.state.catalogue = object()
    return follower


def test_follower_never_goes_back_and_distrusts_old_beats():
    follower, second = _follower(), timedelta(seconds=1)
    asked = follower.take(("pulse", ("core:1",), 0), second * 0.9)[-1]
    assert asked[1:] == ("core:1", ("follow", 0, follower.nonce))
    follower.take(("heard", "c", "core:1", ("news", 1, (b'["founded"]', b'["founded"]'))), second)
    follower.take(("heard", "c", "core:1", ("feed_beat", 2, follower.nonce, 0)), second)
    assert follower.number == 2 and follower.trust(second) == FRESH
    follower.take(("heard", "c", "core:1", ("news", 1, (b'["founded"]',))), second)
    follower.take(("heard", "c", "core:1", ("image", 1, {})), second)
    assert follower.number == 2
    old_nonce, woken = follower.nonce, second * 9
    assert follower.trust(woken) == WAITING
    follower.take(("heard", "c", "core:1", ("feed_beat", 2, old_nonce, 0)), woken)
    assert follower.trust(woken) == WAITING
    follower.take(("heard", "c", "core:1", ("feed_beat", 2, follower.nonce, 0)), woken)
    assert follower.trust(woken) == FRESH
    for step in range(1, 80):
        follower.take(("pulse", (), 0), woken + step * timedelta(seconds=0.05))
    assert follower.trust(woken + 80 * timedelta(seconds=0.05)) == CUT


def test_follower_leaves_a_silent_core():
    follower, step, cores = _follower(), timedelta(seconds=0.05), ("core:1", "core:2")
    asked = [
        effect for at in range(80) for effect in follower.take(("pulse", cores, 0), at * step) if effect[0] == "tell"
    ]
    assert {effect[1] for effect in asked} == set(cores) and 2 <= len(asked) <= 4
