"""Duties: won by ballots, kept by leases, fenced."""

from sumachook.leases.leases import Leases

__all__ = ["Leases"]
