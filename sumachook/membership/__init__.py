"""Cluster membership and failure detection after SWIM: pings, indirect pings, and suspicion before removal."""

from sumachook.membership.membership import Membership

__all__ = ["Membership"]
