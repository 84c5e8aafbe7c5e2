"""Tests of the users' platform's adapters; their folder is at the end of the path, as when a node is run."""

import sys
from pathlib import Path

FOLDER = Path(__file__).parent.parent.parent / "platform"
sys.path.append(str(FOLDER))
