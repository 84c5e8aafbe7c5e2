"""What can be wrong with a policy."""

from sumachook.exceptions import SumachookError


class PolicyError(SumachookError):
    """Base of what can be wrong with a policy."""


class InvalidPolicyError(PolicyError):
    """The text is no policy; the message begins with line and column."""


class StepLimitError(PolicyError):
    """The policy takes more steps than are allowed."""


class EvaluationError(PolicyError):
    """The policy has no value for these names."""
