"""Structured logging: JSON lines with a short sentence, prefixed with the component's name."""

import logging
import sys
from typing import Any, TextIO

from pythonjsonlogger.json import JsonFormatter


class Logs:
    """Writes log lines to a stream, by default standard error (docs/design/processes.md)."""

    __slots__ = ("logger", "node")

    def __init__(self, node: str, level: str, stream: TextIO | None = None) -> None:
        self.node = node
        self.logger = logging.getLogger(f"sumachook.{node}")
        self.logger.setLevel(level.upper())
        self.logger.propagate = False
        handler = logging.StreamHandler(stream or sys.stderr)
        handler.setFormatter(
            JsonFormatter(
                "{asctime}{levelname}{message}", style="{", rename_fields={"asctime": "time", "levelname": "level"}
            )
        )
        self.logger.handlers = [handler]

    def log(self, level: str, component: str, text: str, fields: dict[str, Any]) -> None:
        """Writes one line; `level` is "debug", "info", "warning" or "error". The field "name" is written as "call"."""
        own = {("call" if name == "name" else name): value for name, value in fields.items()}
        self.logger.log(getattr(logging, level.upper()), f"{component}: {text}", extra={"node": self.node, **own})
