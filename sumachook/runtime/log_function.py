"""The type of the function with which the components of a process write to its log."""

from collections.abc import Callable
from typing import Any

LogFunction = Callable[[str, str, str, dict[str, Any]], None]  # arguments: level, component, text, fields
