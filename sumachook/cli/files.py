"""Reads the JSON files that are passed to a command."""

from pathlib import Path
from typing import Any

import msgspec

from sumachook.nodes.serve import USAGE, fail


def read_json(file: str) -> Any:
    """Returns the JSON document in `file`; ends the command with USAGE if it is unreadable or not JSON."""
    try:
        return msgspec.json.decode(Path(file).read_bytes())
    except OSError as error:
        fail(USAGE, f"{file}: {error.strerror}")
    except msgspec.DecodeError as error:
        fail(USAGE, f"{file}: not JSON: {error}")
