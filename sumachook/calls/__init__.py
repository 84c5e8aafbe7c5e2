"""Calls to servers: what requests, prompts and orders have in common."""
