"""Effects that membership returns to its node, besides the messages to send."""

from sumachook.host.effects import Effect
from sumachook.membership.member import MemberUpdate


class MemberChanged(Effect, frozen=True):
    """Another node has joined, or its status, address or incarnation has changed."""

    update: MemberUpdate


class IncarnationRaised(Effect, frozen=True):
    """This node has refuted a false update about itself by raising its incarnation to this number."""

    incarnation: int
