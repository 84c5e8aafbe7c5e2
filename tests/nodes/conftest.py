"""What the tests of nodes share."""

import signal

import pytest


@pytest.fixture(autouse=True)
def signal_handlers():
    """A daemon that ran to its end ignores signals from then on; the process of the tests does not."""
    before = {number: signal.getsignal(number) for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)}
    yield
    for number, handler in before.items():
        signal.signal(number, handler)
