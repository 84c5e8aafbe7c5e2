"""Tests of the platform adapters; appends the `platform` folder to sys.path so that its modules can be imported."""

import sys
from pathlib import Path

FOLDER = Path(__file__).parent.parent.parent / "platform"
sys.path.append(str(FOLDER))
