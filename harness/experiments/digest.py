"""python -m harness digest: hashes all effects of the nodes in four seeded fault injection runs.

A refactoring leaves the digests as they are; a change of behaviour changes them.
"""

from concurrent.futures import ProcessPoolExecutor
from enum import StrEnum
from hashlib import sha256

from msgspec.structs import astuple

from harness.experiments.storms import play
from sumachook.consensus.events import DiskSynced
from sumachook.consensus.views import ViewId
from sumachook.control_state.effects import ProposeChange
from sumachook.host import effects
from sumachook.ledger.events import RecordsSynced, RewriteSynced
from sumachook.nodes.core import IdentityStored
from sumachook.simulation.fleet import Fleet
from sumachook.transport.node_message import NodeMessage, kind_of

SEEDS = (41, 42, 43, 44)
# The tag of each effect type in the hashed data; a renamed type keeps its tag, so that digests stay comparable.
EFFECT_TAGS = {
    effects.Send: "tell",
    effects.SendDatagram: "cast",
    effects.Reply: "reply",
    effects.BeginResponse: "head",
    effects.SendChunk: "chunk",
    effects.EndResponse: "end",
    effects.AbortResponse: "drop",
    effects.Fetch: "fetch",
    effects.ForwardRequest: "forward",
    effects.CancelCall: "unfetch",
    effects.AppendRecords: "disk",
    effects.RewriteRecords: "rewrite",
    effects.AppendDayLog: "journal",
    effects.Log: "log",
    effects.ApplyClientLimits: "limits",
    effects.CloseProxyServer: "shut",
    effects.WakeAfter: "wake",
    effects.Exit: "leave",
    ProposeChange: "propose",
}


class EmptyDigestError(Exception):
    """A run without effects, whose digest would be the same whatever the nodes do."""

    def __init__(self, seed: int):
        super().__init__(f"the run of seed {seed} had no effects to digest")


def as_plain(effect):
    """Returns the effect as a tagged tuple of plain values, so that the digest does not depend on type names.

    >>> from sumachook.host.effects import SendDatagram
    >>> from sumachook.membership.messages import Join
    >>> as_plain(SendDatagram("127.0.0.1:1", Join(())))
    ('cast', '127.0.0.1:1', ('join', ()))
    """
    if type(effect) not in EFFECT_TAGS:
        return effect
    return (EFFECT_TAGS[type(effect)], *map(_plain_part, astuple(effect)))


def _plain_part(part):
    match part:
        case NodeMessage():
            return (kind_of(part), *map(_plain_field, part.values()))
        case RecordsSynced(acknowledgement):  # the acknowledgement that follows the disk sync
            return ("keeper-synced", as_plain(acknowledgement))
        case RewriteSynced():
            return ("keeper-synced", None)
        case DiskSynced():
            return ("consensus", part)
        case IdentityStored():
            return ("seat-ready",)
        case tuple():
            return tuple(part)
    return part


def _plain_field(value):
    if isinstance(value, dict):
        return {_plain_value(key): _plain_value(item) for key, item in value.items()}
    return _plain_value(value)


def _plain_value(value):
    if isinstance(value, StrEnum):
        return value.value
    if isinstance(value, ViewId):
        return value
    if isinstance(value, tuple):
        return tuple(map(_plain_value, value))
    if isinstance(value, list):
        return [_plain_value(item) for item in value]
    return value  # documents inside lists and tuples are hashed unchanged


def take(seed: int) -> str:
    """Returns the digest of the effects of one run; raises EmptyDigestError if there were none."""
    digest, carry_out, count = sha256(), Fleet._execute, 0

    def noted(fleet, box, effect):
        nonlocal count
        count += 1
        digest.update(repr((fleet.now, box.name, as_plain(effect))).encode())
        carry_out(fleet, box, effect)

    Fleet._execute = noted
    try:
        play(seed, 25.0)
    finally:
        Fleet._execute = carry_out
    if not count:
        raise EmptyDigestError(seed)
    return digest.hexdigest()[:16]


def main():
    with ProcessPoolExecutor(4) as pool:
        for seed, digest in zip(SEEDS, pool.map(take, SEEDS), strict=True):
            print(seed, digest)


if __name__ == "__main__":
    main()
