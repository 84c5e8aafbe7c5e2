"""Fixtures shared by the tests of nodes."""

import signal

import pytest


@pytest.fixture(autouse=True)
def signal_handlers():
    """Restores the signal handlers after each test: a daemon that has exited leaves signals ignored."""
    before = {number: signal.getsignal(number) for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)}
    yield
    for number, handler in before.items():
        signal.signal(number, handler)
