"""A validation issue in a configuration document."""

from typing import NamedTuple


class ConfigurationIssue(NamedTuple):
    """A path in the document ("callers[0].key", "$" for the root) and the reason why its value is invalid."""

    path: str
    reason: str
