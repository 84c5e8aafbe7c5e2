"""Requests: the table, the retry design, streams."""
