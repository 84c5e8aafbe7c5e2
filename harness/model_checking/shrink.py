"""Minimizes a counter-example by delta debugging over its list of choices."""

import time

import msgspec

from harness.model_checking.story import Story, play

MOST_SECONDS = 60.0  # of real time


class Shrinker:
    """Removes choices from a schedule as long as it still breaks the same rule."""

    def __init__(self, story: Story, rule: str, most_seconds: float = MOST_SECONDS, ignored=()):
        self.story, self.rule = msgspec.structs.replace(story, rule=rule), rule
        self.ignored, self.ends_at = ignored, time.monotonic() + most_seconds

    @property
    def _has_time(self):
        return time.monotonic() < self.ends_at

    def run(self) -> Story:
        """Returns the smallest schedule found within the time limit."""
        self._cut_the_end()
        parts = 2
        while parts <= 2 * len(self.story.choices) and self._has_time:
            if self._take_out_one_of(parts):
                parts = max(2, parts - 1)
            elif parts >= len(self.story.choices):
                break
            else:
                parts = min(parts * 2, len(self.story.choices))
        self._cut_the_end()
        return self.story

    def _breaks(self, story) -> float | None:
        """Returns the second at which the schedule breaks the rule, or None if it does not."""
        outcome = play(story, self.ignored)
        return outcome.seconds if any(finding.rule == self.rule for finding in outcome.findings) else None

    def _cut_the_end(self):
        """Removes all choices after the violation and shortens the schedule to its time."""
        seconds = self._breaks(self.story)
        if seconds is not None:
            kept = tuple(choice for choice in self.story.choices if choice.at <= seconds)
            self.story = msgspec.structs.replace(self.story, choices=kept, seconds=round(seconds + 0.1, 3))

    def _take_out_one_of(self, parts) -> bool:
        """Removes the first of `parts` equal parts that the violation does not need; returns False if there is none."""
        choices = self.story.choices
        size = -(-len(choices) // parts)
        for first in range(0, len(choices), size):
            if not self._has_time:
                return False
            rest = choices[:first] + choices[first + size :]
            candidate = msgspec.structs.replace(self.story, choices=rest)
            if self._breaks(candidate) is not None:
                self.story = candidate
                return True
        return False
