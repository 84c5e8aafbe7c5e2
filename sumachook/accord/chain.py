"""The log of one seat: an image and the entries after it."""

from sumachook.transport.codec import read_entry


class Chain:
    """Entries numbered from `base + 1`; the roster is read off it (§4.4).

    >>> from sumachook.transport.codec import pack_entry
    >>> chain = Chain(0, {}, {})
    >>> chain.extend(1, [pack_entry(("found", {"a": "x:1", "b": "y:2"})), pack_entry(("seat-out", "b"))])
    >>> chain.end, chain.roster()
    (2, {'a': 'x:1'})
    >>> chain.cut(1); chain.roster()
    {'a': 'x:1', 'b': 'y:2'}
    """

    __slots__ = ("base", "image", "base_roster", "entries", "seat_changes")

    def __init__(self, base: int, image, base_roster: dict):
        self.base, self.image, self.base_roster = base, image, dict(base_roster)
        self.entries, self.seat_changes = [], []

    @property
    def end(self) -> int:
        return self.base + len(self.entries)

    def roster(self, up_to=None) -> dict:
        roster = dict(self.base_roster)
        for number, change in self.seat_changes:
            if up_to is not None and number > up_to:
                break
            if change[0] == "found":
                roster = dict(change[1])
            elif change[0] == "seat-in":
                roster[change[1]] = change[2]
            else:
                roster.pop(change[1], None)
        return roster

    def last_change(self) -> int:
        """The number of the last change of the roster after the image, or that of the image."""
        return self.seat_changes[-1][0] if self.seat_changes else self.base

    def extend(self, first: int, entries):
        """Appends what is new of the entries that start at `first`."""
        for number, entry in enumerate(entries, first):
            if number == self.end + 1:
                self.entries.append(entry)
                if entry.startswith((b'["found"', b'["seat-')):
                    self.seat_changes.append((number, read_entry(entry)))

    def cut(self, last: int):
        """Drops what comes after `last`."""
        if last < self.end:
            del self.entries[max(0, last - self.base) :]
            self.seat_changes = [item for item in self.seat_changes if item[0] <= last]

    def since(self, first: int) -> tuple:
        return tuple(self.entries[max(0, first - self.base - 1) :])

    def tail(self, delivered: int) -> tuple:
        """(first, entries, image) that bring a seat which has delivered so much to our end."""
        if delivered < self.base:
            return self.base + 1, self.since(self.base + 1), (self.base, self.image, self.base_roster)
        return delivered + 1, self.since(delivered + 1), None

    def shorten(self, last: int, image):
        """Puts an image in the place of everything up to `last`."""
        self.base_roster = self.roster(last)
        del self.entries[: last - self.base]
        self.seat_changes = [item for item in self.seat_changes if item[0] > last]
        self.base, self.image = last, image
