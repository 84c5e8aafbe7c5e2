"""The numbered feed of delivered changes, and those who follow it."""

from sumachook.changefeed.follower import Follower
from sumachook.changefeed.source import Source

__all__ = ["Follower", "Source"]
