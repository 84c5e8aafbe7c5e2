"""The numbered feed of delivered changes, and those who follow it."""

from sumachook.feed.follower import Follower
from sumachook.feed.source import Source

__all__ = ["Follower", "Source"]
