"""Simulated clients, servers and platform of the tests, and the in-memory fleet that runs them in virtual time."""
