"""Requests that are forwarded whole to services behind routes (§14.4)."""
