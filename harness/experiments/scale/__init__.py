"""Measures the cost of each role and mechanism against the fleet size, on nodes with fake traffic (docs/CAPACITY.md)."""
