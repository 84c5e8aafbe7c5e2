"""One mutation of `harness breaches`: a guard of the product that is removed and the tests that must then fail."""

import os
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).parents[2]
TEST_TIMEOUT = 400  # timeout of the test run of one mutation in seconds
CAUGHT, NOT_CAUGHT = "caught", "not caught"
VERDICTS = {0: NOT_CAUGHT, 1: CAUGHT}  # by the exit code of pytest


class GuardNotFoundError(Exception):
    """Raised when the text of a guard does not occur exactly once in the product, so that no test was run."""

    def __init__(self, mutation: "Mutation", times: int):
        super().__init__(f"the text of the guard occurs {times} times instead of once")
        self.mutation, self.times = mutation, times


class Mutation(NamedTuple):
    """A replacement of one piece of source text and the tests that must detect it.

    `rule` is the number of a rule of the brief or the word for a rule of the platform, and `fault` describes the fault
    that the mutation causes. `guard` is a text that occurs exactly once in the product, or once in `file` if that is
    set, and `replacement` is the text that replaces it. `test_path` is the path of the tests and `test_expression` the
    pytest `-k` expression that selects them.
    """

    rule: int | str
    fault: str
    guard: str
    replacement: str
    test_path: str
    test_expression: str
    file: str = ""

    def verdict(self) -> str:
        """Applies the mutation to a temporary copy and runs its tests: 'caught', 'not caught', or why they could not run."""
        with tempfile.TemporaryDirectory(prefix="mutation-") as folder:
            copy = Path(folder) / "copy"
            shutil.copytree(ROOT, copy, ignore=shutil.ignore_patterns(".git", "__pycache__", ".pytest_cache", "target"))
            try:
                path = self.find_guard(copy)
            except GuardNotFoundError as error:
                return str(error)
            path.write_text(path.read_text().replace(self.guard, self.replacement))
            return self._run_tests(copy)

    def find_guard(self, root: Path) -> Path:
        """Returns the product file under `root` that contains the guard; raises GuardNotFoundError unless it occurs exactly
        once.
        """
        times = {path: path.read_text().count(self.guard) for path in self._files(root)}
        if sum(times.values()) != 1:
            raise GuardNotFoundError(self, sum(times.values()))
        return next(path for path, count in times.items() if count)

    def _files(self, root):
        return [path for path in (root / "sumachook").rglob("*.py") if str(path).endswith(self.file)]

    def _run_tests(self, copy):
        options = ["-q", "-x", "-n", "0", "-p", "no:cacheprovider"]
        done = subprocess.run(
            [sys.executable, "-m", "pytest", *options, self.test_path, "-k", self.test_expression],
            cwd=copy,
            env={**os.environ, "PYTHONDONTWRITEBYTECODE": "1"},
            capture_output=True,
            text=True,
            timeout=TEST_TIMEOUT,
        )
        return VERDICTS.get(done.returncode, f"pytest exited with code {done.returncode}")
