"""Reading the files that a command names."""

from pathlib import Path
from typing import Any

import msgspec

from sumachook.nodes.serve import USAGE, fail


def read_json(file: str) -> Any:
    """The JSON document in `file`; ends the command with USAGE if it cannot be read."""
    try:
        return msgspec.json.decode(Path(file).read_bytes())
    except OSError as error:
        fail(USAGE, f"{file}: {error.strerror}")
    except msgspec.DecodeError as error:
        fail(USAGE, f"{file}: not JSON: {error}")
