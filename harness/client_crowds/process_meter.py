"""Measures what a process costs its machine: resident memory, bytes unread in its sockets, and open descriptors."""

import asyncio
import os
from dataclasses import dataclass
from pathlib import Path

SAMPLE_INTERVAL_S = 0.05
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
MEBIBYTE = 1 << 20
# columns of /proc/net/tcp
LOCAL_ADDRESS, QUEUES, INODE = 1, 4, 9


@dataclass(slots=True)
class Usage:
    """Bytes of memory, the unread bytes among them, and the number of open descriptors of a process."""

    memory_bytes: int = 0
    unread_bytes: int = 0
    descriptors: int = 0

    @property
    def memory_mb(self) -> float:
        """The memory in MiB, in which the settings of a machine state it."""
        return self.memory_bytes / MEBIBYTE

    def raise_to(self, other: "Usage") -> None:
        """Raises each figure to that of `other`, if that is higher."""
        self.memory_bytes = max(self.memory_bytes, other.memory_bytes)
        self.unread_bytes = max(self.unread_bytes, other.unread_bytes)
        self.descriptors = max(self.descriptors, other.descriptors)

    def __str__(self) -> str:
        unread_mb = self.unread_bytes / MEBIBYTE
        return f"{self.memory_mb:.0f} MB ({unread_mb:.0f} MB unread), {self.descriptors} descriptors"


class ProcessMeter:
    """Samples one process until it is closed; `peak` holds the highest figures, `rest` the first sample.

    Connections that the process has not accepted yet belong to it by their local address `ip`.
    """

    __slots__ = ("pid", "local_hex", "rest", "peak", "has_ended", "_task")

    def __init__(self, pid: int, ip: str):
        self.pid = pid
        self.local_hex = bytes(reversed([int(part) for part in ip.split(".")])).hex().upper()
        self.rest = self.sample()
        self.peak = Usage()
        self.has_ended = False
        self._task: asyncio.Task | None = None

    async def __aenter__(self):
        self._task = asyncio.get_running_loop().create_task(self._run())
        return self

    async def __aexit__(self, *_):
        self._task.cancel()

    async def _run(self):
        while not self.has_ended:
            try:
                self.peak.raise_to(self.sample())
            except (OSError, ValueError, IndexError):  # the process has just ended
                self.has_ended = True
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def sample(self) -> Usage:
        """Returns the present figures; raises OSError if the process has ended."""
        resident = int(Path(f"/proc/{self.pid}/statm").read_text().split()[1]) * PAGE_BYTES
        inodes, descriptors = self._sockets()
        unread = sum(
            int(cells[QUEUES].partition(":")[2], 16)
            for cells in _tcp_table()
            if cells[INODE] in inodes or (cells[INODE] == "0" and cells[LOCAL_ADDRESS].startswith(self.local_hex))
        )
        return Usage(resident + unread, unread, descriptors)

    def _sockets(self) -> tuple[set[str], int]:
        inodes, count = set(), 0
        for entry in os.scandir(f"/proc/{self.pid}/fd"):
            count += 1
            try:
                target = os.readlink(entry.path)
            except OSError:
                continue
            if target.startswith("socket:["):
                inodes.add(target[8:-1])
        return inodes, count


def peak_resident_mb(pid: int) -> float:
    """Returns the highest resident memory of a process so far, in MiB; 0 if it has ended."""
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return 0.0
    return next((int(line.split()[1]) / 1024 for line in lines if line.startswith("VmHWM:")), 0.0)


def _tcp_table() -> list[list[str]]:
    return [line.split() for line in Path("/proc/net/tcp").read_text().splitlines()[1:]]
