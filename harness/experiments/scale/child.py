"""A child process of a run, controlled by JSON lines on its standard input and output."""

import json
import os
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parents[3]
TICKS, PAGE = os.sysconf("SC_CLK_TCK"), os.sysconf("SC_PAGE_SIZE")


class Child:
    """A child process: `tell` sends a command, `answer` reads the reply, `stop` ends the process.

    Commands can be sent to many children before the first reply is awaited.
    """

    __slots__ = ("process", "log")

    def __init__(self, module: str, *words: str, log: Path):
        self.log = open(log, "ab")
        self.process = subprocess.Popen(
            [sys.executable, "-m", module, *words],
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=self.log,
            text=True,
        )

    def tell(self, do: str, **words):
        self.process.stdin.write(json.dumps({"do": do, **words}) + "\n")
        self.process.stdin.flush()

    def answer(self) -> dict:
        line = self.process.stdout.readline()
        if not line:
            raise SystemExit(f"a child process exited before it replied; see {self.log.name}")
        return json.loads(line)

    def spent(self) -> dict:
        """Returns seconds of processor time and bytes of resident memory from /proc."""
        with open(f"/proc/{self.process.pid}/stat") as file:
            fields = file.read().rpartition(")")[2].split()
        return {"process": (int(fields[11]) + int(fields[12])) / TICKS, "resident": int(fields[21]) * PAGE}

    def stop(self) -> str:
        """Ends the process and returns its remaining output.

        Closes its input and waits 10 s, then sends SIGTERM and waits 5 s, then sends SIGKILL.
        """
        try:
            said, _ = self.process.communicate(timeout=10)
        except subprocess.TimeoutExpired:
            self.process.terminate()
            try:
                said, _ = self.process.communicate(timeout=5)
            except subprocess.TimeoutExpired:
                self.process.kill()
                said, _ = self.process.communicate()
        self.log.close()
        return said
