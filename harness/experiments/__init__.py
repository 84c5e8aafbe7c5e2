"""Fault injection and measurements, mostly over the in-memory deployment in virtual time."""
