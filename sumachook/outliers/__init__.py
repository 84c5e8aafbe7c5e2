"""Servers that fail while they look well: what all edges see of them, put together (§7.5)."""
