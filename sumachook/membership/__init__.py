"""Membership: probes in turn, second opinions, suspicion before removal."""

from sumachook.membership.membership import Membership

__all__ = ["Membership"]
