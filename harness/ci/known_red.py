"""Reads KNOWN-RED.txt at the root: the tests that may fail, one per line, as `test id | cause | issue`."""

import pytest

FILE = "KNOWN-RED.txt"


class KnownRed:
    """Judges a test run by the list of known failures; ignores blank lines and lines that begin with `#`."""

    __slots__ = ("listed",)

    def __init__(self, text: str):
        self.listed = {}
        for number, line in enumerate(text.splitlines(), 1):
            if not line.strip() or line.lstrip().startswith("#"):
                continue
            cells = [cell.strip() for cell in line.split("|")]
            if len(cells) != 3 or not all(cells) or cells[0] in self.listed:
                raise pytest.UsageError(f"{FILE}:{number}: expected 'test id | cause | issue', each test once: {line}")
            self.listed[cells[0]] = line.strip()

    def judge(self, passed: set, failed: set, broken: set):
        """Returns the lines to print, and whether any failure is not excused.

        `failed` are tests that failed in their own call, `broken` those that failed in any other way.
        """
        lines = []
        for test, line in self.listed.items():
            if test in broken:
                lines.append(f"not excused, it broke outside its own call: {line}")
            elif test in failed:
                lines.append(f"known red: {line}")
            elif test in passed:
                lines.append(f"passes, take it off the list: {line}")
            else:
                lines.append(f"was not run: {line}")
        return lines, bool(broken or failed - self.listed.keys())
