"""The result of applying a change, and its stored form."""

from collections.abc import Iterable, Sequence
from enum import StrEnum
from typing import Any, NamedTuple, Self

from sumachook.configuration.issue import ConfigurationIssue

MAX_STORED_ISSUES = 50  # issues per stored or proposed result; an operator does not fix more of them at once


class Outcome(StrEnum):
    """The outcome of a change; the values are stored and shown to operators."""

    ACCEPTED = "ok"
    REJECTED = "refused"
    STALE = "stale"  # the configuration that the change was made from is no longer in force
    UNKNOWN = "unclear"  # neither accepted nor rejected: it may be a delayed copy, or the data to decide it was evicted


class ChangeResult(NamedTuple):
    """The outcome of a change, with the revision in force after an operator's accepted change, or the issues found."""

    outcome: Outcome
    revision: int | None = None
    issues: tuple[ConfigurationIssue, ...] = ()

    def truncated(self) -> Self:
        """Returns a copy of the result with at most `MAX_STORED_ISSUES` issues."""
        return self._replace(issues=self.issues[:MAX_STORED_ISSUES])

    def stored(self) -> tuple[Any, ...]:
        """Returns the result as plain data for a snapshot.

        >>> accepted(3).stored(), rejected("area", "no area").stored(), accepted().stored()
        (('ok', 3), ('refused', (('area', 'no area'),)), ('ok',))
        """
        if self.outcome is not Outcome.ACCEPTED:
            return (self.outcome.value, tuple(tuple(issue) for issue in self.issues))
        return (self.outcome.value,) if self.revision is None else (self.outcome.value, self.revision)


def read_result(stored: Sequence[Any]) -> ChangeResult:
    """Decodes a result from its stored form.

    >>> read_result(["ok", 3]) == accepted(3)
    True
    >>> read_result(("refused", (("area", "no area"),))) == rejected("area", "no area")
    True
    """
    outcome = Outcome(stored[0])
    if outcome is Outcome.ACCEPTED:
        return ChangeResult(outcome, *stored[1:])
    return with_issues(outcome, stored[1])


def accepted(revision: int | None = None) -> ChangeResult:
    """Returns the result of an accepted change."""
    return ChangeResult(Outcome.ACCEPTED, revision)


def rejected(path: str, reason: str) -> ChangeResult:
    """Returns the result of a change that is rejected for one reason."""
    return with_issues(Outcome.REJECTED, ((path, reason),))


def stale(path: str, reason: str) -> ChangeResult:
    """Returns the result of a change whose base configuration is no longer in force."""
    return with_issues(Outcome.STALE, ((path, reason),))


def unknown(path: str, reason: str) -> ChangeResult:
    """Returns the result of a change that can be neither accepted nor rejected."""
    return with_issues(Outcome.UNKNOWN, ((path, reason),))


def with_issues(outcome: Outcome, issues: Iterable[Sequence[str]]) -> ChangeResult:
    """Returns a result with the given outcome and issues, which are pairs of a path and a reason."""
    return ChangeResult(outcome, None, tuple(ConfigurationIssue(*issue) for issue in issues))
