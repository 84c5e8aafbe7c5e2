"""The interface between a state machine and its host: input events and output effects.

A node is a state machine without clock, socket or file access. Its host, a process (`nodes/daemon.py`) or the in-memory
simulation (`simulation/fleet.py`), passes events to it and executes the effects that it returns.
"""
