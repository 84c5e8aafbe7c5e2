"""Ordered changes among the seats of a roster, view by view."""

from sumachook.accord.accord import Accord

__all__ = ["Accord"]
