"""Checks and measurements of the product that are not part of it: local clusters, fault injection, model checking,
fuzzing, mutation tests.

`python -m harness` lists the commands (harness/__main__.py). Folders: `local_cluster` starts real processes on
loopback, `fakes` simulates the users' platform, `experiments` measures and injects faults in virtual time,
`model_checking`, `fuzzing` and `mutations` contain the three checkers, `ci` a pytest plugin for CI, `commands` the
older names of the commands.
"""

from pathlib import Path

# Commands in their older form, such as `python -m harness.storms`, are found in harness/commands.
__path__.append(str(Path(__file__).parent / "commands"))
