"""Duties: won by ballots, kept by leases, fenced."""

from sumachook.rota.rota import Rota

__all__ = ["Rota"]
