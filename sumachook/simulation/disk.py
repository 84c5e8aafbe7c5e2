"""An in-memory disk that keeps only what was synced."""

from datetime import timedelta


class Disk:
    """Files of synced records; what is on its way is lost with the power (§12.1).

    >>> disk = Disk(); disk.begin("append", "log", (("a",),), "a is synced"); disk.finish()
    'a is synced'
    >>> disk.begin("append", "log", (("b",),), None); disk.lose_power(); disk.files
    {'log': [('a',)]}
    """

    __slots__ = ("files", "pending", "stalled_until", "delay", "opened")

    def __init__(self):
        self.files, self.pending, self.stalled_until, self.delay = {}, [], timedelta(0), timedelta(seconds=0.002)
        self.opened = set()  # tags whose record was ever synced in a ledger here, noted for the witness

    def begin(self, verb, name, records, followup):
        self.pending.append((verb, name, tuple(records), followup))

    def finish(self):
        """The oldest write is safe now; gives what its writer is to be told."""
        verb, name, records, followup = self.pending.pop(0)
        if verb == "rewrite":
            self.files[name] = list(records)
        else:
            self.files.setdefault(name, []).extend(records)
            if name == "ledger":
                self.opened.update(record[1]["tag"] for record in records)
        return followup

    def lose_power(self, writes_kept=0):
        """What was not synced is lost, but for so many of the oldest writes."""
        for _ in range(min(writes_kept, len(self.pending))):
            self.finish()
        self.pending.clear()

    def wipe(self):
        self.files.clear()
        self.pending.clear()
        self.opened.clear()
