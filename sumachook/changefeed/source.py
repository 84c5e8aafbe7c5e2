"""The giving end of the feed, in each core."""

from collections import deque
from datetime import timedelta

MOST_KEPT = 600
MOST_KEPT_BYTES = 8 << 20
MOST_A_PARCEL = 64
MOST_PARCEL_BYTES = 1 << 20
BEAT = timedelta(seconds=0.25)
FORGET = timedelta(seconds=3)


class Source:
    """Takes (message, now) (§8.1).

    In: ("pulse",), ("delivered", number, entry), ("serve",), ("restored", number), ("heard", node, address, message).
    Out: ("tell", address, message). Only a core in a working view serves: one that just came back may hold an older state.
    """

    __slots__ = (
        "state",
        "entries",
        "first",
        "followers",
        "confirmed",
        "next_beat",
        "core_addresses",
        "almanac",
        "is_fresh",
        "size",
    )

    def __init__(self, state, core_addresses, now, almanac, is_fresh):
        self.state, self.core_addresses, self.almanac, self.is_fresh = state, core_addresses, almanac, is_fresh
        self.entries, self.first, self.size = deque(), state.number + 1, 0
        self.followers, self.confirmed, self.next_beat = {}, {}, now

    def take(self, message: tuple, now) -> list:
        kind = message[0]
        if kind == "delivered":
            self.entries.append(message[2])
            self.size += len(message[2])
            while len(self.entries) > MOST_KEPT or (self.size > MOST_KEPT_BYTES and len(self.entries) > 1):
                self.size -= len(self.entries.popleft())
                self.first += 1
            return []
        if kind == "restored":
            self.entries.clear()
            self.first, self.size = message[1] + 1, 0
            return []
        if kind == "serve":
            return [effect for node in self.followers for effect in self._serve(node, now)]
        if kind == "pulse":
            return self._pulse(now)
        return getattr(self, "_on_" + message[3][0])(message[1], message[2], message[3], now)

    def _pulse(self, now):
        out = []
        for node, follower in list(self.followers.items()):
            if now - follower[2] > FORGET:
                del self.followers[node]
            else:
                out += self._serve(node, now)
        if now >= self.next_beat:
            self.next_beat = now + BEAT
            if self.is_fresh(now):
                out += [
                    ("tell", item[0], ("feed_beat", self.state.number, item[3], self.almanac.vote))
                    for item in self.followers.values()
                ]
        return out

    def _serve(self, node, now):
        """What comes next for this follower: entries, or an image where the entries are gone."""
        address, sent, heard_at, nonce = self.followers[node]
        number = self.state.number
        if sent >= number or not self.is_fresh(now):
            return []
        if sent + 1 < self.first:
            self.followers[node] = (address, number, heard_at, nonce)
            return [("tell", address, ("image", number, self.state.image()))]
        batch = self._batch(sent + 1)
        self.followers[node] = (address, sent + len(batch), heard_at, nonce)
        return [("tell", address, ("news", sent + 1, batch))]

    def _batch(self, first):
        """Entries from `first` on, as many as one parcel takes, one at least."""
        batch, size = [], 0
        for number in range(first, min(self.state.number, first + MOST_A_PARCEL - 1) + 1):
            entry = self.entries[number - self.first]
            size += len(entry)
            if batch and size > MOST_PARCEL_BYTES:
                break
            batch.append(entry)
        return tuple(batch)

    def _on_follow(self, node, address, body, now):
        self.followers[node] = (address, body[1], now, body[2])
        return self._serve(node, now)

    def _on_confirm(self, node, address, body, now):
        if node in self.followers:
            held = self.followers[node]
            self.followers[node] = (held[0], held[1], now, held[3])
        if self.confirmed.get(node) == body[1]:
            return []
        self.confirmed[node] = body[1]
        return [("tell", core, ("confirmed", node, body[1])) for core in self.core_addresses()]

    def _on_confirmed(self, node, address, body, now):
        self.confirmed[body[1]] = max(self.confirmed.get(body[1], 0), body[2])
        return []
