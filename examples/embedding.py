"""Embeds the consensus module alone: three replicas agree on the order of changes.

`Replica` is a state machine without I/O: the embedding program supplies the clock, the network and the disk. Here each
of them takes a few lines; a real program would use sockets and a `storage.folder.DataFolder`.

>>> for number, texts in sorted(main().items()):
...     print(number, texts)
3 {'plums'}
4 {'pears'}
"""

from datetime import timedelta
from random import Random

from sumachook.consensus import Replica, effects, events
from sumachook.host.effects import AppendRecords, RewriteRecords, Send
from sumachook.host.events import MessageReceived
from sumachook.transport.codec import read_entry

ADDRESSES = ("a:1", "b:1", "c:1")
STEP = timedelta(seconds=0.05)


class Node:
    """One replica with a list as its disk, and the entries that it has delivered."""

    __slots__ = ("address", "replica", "disk", "delivered")

    def __init__(self, address):
        self.address, self.disk, self.delivered = address, [], {}
        snapshot = lambda: list(self.delivered.items())  # noqa: E731
        self.replica = Replica(f"node-{address[0]}", address, ADDRESSES, Random(address), snapshot)

    def handle(self, event, now):
        """Passes an event to the replica; returns the messages to send as (address, message)."""
        sent, work = [], [event]
        while work:
            for effect in self.replica.take(work.pop(0), now):
                match effect:
                    case Send(address, message):
                        sent.append((address, message))
                    case AppendRecords(_, records, done):
                        self.disk += records
                        work.append(done)  # the write has completed
                    case RewriteRecords(_, records, done):
                        self.disk = list(records)
                        work += [done] if done else []
                    case effects.Deliver(number, entry):
                        self.delivered[number] = read_entry(entry)
        return sent


def main():
    """Forms a cluster, commits one change from each of two nodes and returns {entry number: delivered texts}."""
    nodes, now = {address: Node(address) for address in ADDRESSES}, timedelta(0)
    wanted = [("a:1", "plums"), ("b:1", "pears")]
    for step in range(80):
        now += STEP
        mail = [(node, *sent) for node in nodes.values() for sent in node.handle(events.Tick(ADDRESSES), now)]
        if step % 20 == 19 and wanted:
            address, text = wanted.pop(0)
            proposal = events.ProposalMade(("note", text))
            mail += [(nodes[address], *sent) for sent in nodes[address].handle(proposal, now)]
        while mail:
            sender, address, message = mail.pop(0)
            received = MessageReceived(sender.replica.state.name, sender.address, message)
            mail += [(nodes[address], *sent) for sent in nodes[address].handle(received, now)]
    notes = {}
    for node in nodes.values():
        for number, change in node.delivered.items():
            if change[0] == "note":
                notes.setdefault(number, set()).add(change[1])
    assert all(len(node.delivered) == 4 for node in nodes.values())
    return notes


if __name__ == "__main__":
    print(main())
