"""Minimizes a counter-example by delta debugging over its list of choices."""

import time

import msgspec

from harness.model_checking.schedule import Schedule, play

MAX_SECONDS = 60.0  # limit of real time for shrinking one counter-example


class Shrinker:
    """Removes choices from a schedule as long as it still breaks the same rule."""

    def __init__(self, schedule: Schedule, rule: str, max_seconds: float = MAX_SECONDS, ignored=()):
        self.schedule, self.rule = msgspec.structs.replace(schedule, rule=rule), rule
        self.ignored, self.ends_at = ignored, time.monotonic() + max_seconds

    @property
    def _has_time(self):
        return time.monotonic() < self.ends_at

    def run(self) -> Schedule:
        """Returns the smallest schedule found within the time limit."""
        self._truncate()
        parts = 2
        while parts <= 2 * len(self.schedule.choices) and self._has_time:
            if self._remove_one_part(parts):
                parts = max(2, parts - 1)
            elif parts >= len(self.schedule.choices):
                break
            else:
                parts = min(parts * 2, len(self.schedule.choices))
        self._truncate()
        return self.schedule

    def _violation_time(self, schedule) -> float | None:
        """Returns the second at which the schedule breaks the rule, or None if it does not."""
        outcome = play(schedule, self.ignored)
        return outcome.seconds if any(finding.rule == self.rule for finding in outcome.findings) else None

    def _truncate(self):
        """Removes all choices after the violation and shortens the schedule to its time."""
        seconds = self._violation_time(self.schedule)
        if seconds is not None:
            kept = tuple(choice for choice in self.schedule.choices if choice.at <= seconds)
            self.schedule = msgspec.structs.replace(self.schedule, choices=kept, seconds=round(seconds + 0.1, 3))

    def _remove_one_part(self, parts) -> bool:
        """Removes the first of `parts` equal parts that the violation does not need; returns False if there is none."""
        choices = self.schedule.choices
        size = -(-len(choices) // parts)
        for first in range(0, len(choices), size):
            if not self._has_time:
                return False
            rest = choices[:first] + choices[first + size :]
            candidate = msgspec.structs.replace(self.schedule, choices=rest)
            if self._violation_time(candidate) is not None:
                self.schedule = candidate
                return True
        return False
