"""Placement: pairs, and the loads that bring them about."""
