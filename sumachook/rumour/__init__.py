"""Membership: probes in turn, second opinions, suspicion before removal."""

from sumachook.rumour.rumour import Rumour

__all__ = ["Rumour"]
