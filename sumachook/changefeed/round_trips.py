"""Which of an edge's own questions an answer belongs to, and what was so when the question was sent."""

from datetime import timedelta
from typing import NamedTuple

MOST_OPEN = 64


class Question(NamedTuple):
    """When it was sent, and the number of the last change that the sender held then."""

    sent_at: timedelta
    held: int


class RoundTrips:
    """Numbers questions; an answer proves something as of when its question was sent, never as of its arrival.

    >>> trips, second = RoundTrips(7), timedelta(seconds=1)
    >>> first = trips.ask(second, held=5)
    >>> trips.question(first), trips.question(first + 1)
    (Question(sent_at=datetime.timedelta(seconds=1), held=5), None)
    >>> trips.forget(); trips.question(first) is None, trips.ask(second, held=6) > first
    (True, True)
    """

    __slots__ = ("latest", "open")

    def __init__(self, first: int):
        self.latest = first
        self.open: dict[int, Question] = {}

    def ask(self, now: timedelta, held: int) -> int:
        """The number of a question that is sent now."""
        self.latest += 1
        self.open[self.latest] = Question(now, held)
        while len(self.open) > MOST_OPEN:
            del self.open[next(iter(self.open))]
        return self.latest

    def question(self, number: int) -> Question | None:
        """The question of that number; None for one that is no longer asked, or never was."""
        return self.open.get(number)

    def forget(self) -> None:
        """No answer to what was asked so far proves anything."""
        self.open.clear()
