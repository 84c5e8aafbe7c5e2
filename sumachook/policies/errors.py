"""Errors of compiling and running policies."""

from sumachook.exceptions import SumachookError


class PolicyError(SumachookError):
    """Base class of all policy errors."""


class InvalidPolicyError(PolicyError):
    """The text is not a valid policy; the message begins with line and column."""


class StepLimitError(PolicyError):
    """Running the policy exceeds the limit on steps."""


class EvaluationError(PolicyError):
    """The policy cannot be evaluated with the given values, as after a division by zero or a missing name."""
