"""The change feed, by which cores send committed, numbered changes to edges."""

from sumachook.changefeed.follower import Follower
from sumachook.changefeed.source import Source
from sumachook.changefeed.trust import Trust

__all__ = ["Follower", "Source", "Trust"]
