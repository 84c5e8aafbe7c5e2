"""Starts real processes of the product on loopback, sends them traffic, and checks the results."""
