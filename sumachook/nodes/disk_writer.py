"""The task of a host that brings a machine's writes to the disk, whatever state that is in."""

import asyncio
import queue
import threading
from datetime import timedelta

from sumachook.storage.folder import DataFolder
from sumachook.storage.write_queue import WriteQueue, WriteStep

FIRST_PAUSE, LONGEST_PAUSE = timedelta(seconds=0.05), timedelta(seconds=0.5)


class DiskWriter:
    """Writes one step after the other, off the loop; the machine hears a followup only after its sync (§13.2, §13.4).

    A step that the disk refuses is tried again after a pause, for as long as it takes. `hear` gets the followups, and a
    `DiskState` whenever the disk stops or begins to take records.
    """

    __slots__ = ("folder", "hear", "log", "mono", "queue", "arrived")

    def __init__(self, folder: DataFolder, hear, log, mono, first_name: str = ""):
        self.folder, self.hear, self.log, self.mono = folder, hear, log, mono
        self.queue = WriteQueue(first_name)
        self.arrived = asyncio.Event()

    def put(self, verb: str, name: str, records, followup) -> None:
        """Takes a write; comes back at once."""
        self.queue.put(verb, name, records, followup, self.mono())
        self.arrived.set()

    def look(self) -> None:
        """Tells the machine of a change of the disk's state; called with each pulse, also while a write hangs."""
        change = self.queue.state_change(self.mono())
        if change is None:
            return
        if change.is_taking:
            self.log("info", "storage", "The disk takes records again.", {})
        else:
            self.log("warning", "storage", "The disk does not take records, standing aside.", {"reason": change.reason})
        self.hear(change)

    async def run(self) -> None:
        """Goes on until it is cancelled."""
        worker = _Worker()
        while True:
            step = self.queue.begin_step(self.mono())
            if step is None:
                self.arrived.clear()
                self.look()
                await self.arrived.wait()
                continue
            await self._write(worker, step)
            followups = self.queue.finish_step()
            self._tell_of_removed_logs()
            self.look()
            for followup in followups:
                self.hear(followup)

    async def _write(self, worker: "_Worker", step: WriteStep):
        pause = FIRST_PAUSE
        while True:
            try:
                return await worker.call(self.folder.write, step)
            except OSError as error:
                self.queue.fail_step(str(error))
                self.look()
            await asyncio.sleep(pause.total_seconds())
            pause = min(pause * 2, LONGEST_PAUSE)

    def _tell_of_removed_logs(self):
        removed, self.folder.day_logs.removed = self.folder.day_logs.removed, []
        if removed:
            self.log("warning", "storage", "The oldest day logs gave way to new ones.", {"files": removed})


class _Worker:
    """One thread that writes; a daemon thread, so that a process can end while its disk hangs."""

    __slots__ = ("jobs",)

    def __init__(self):
        self.jobs = queue.SimpleQueue()
        threading.Thread(target=self._run, name="disk", daemon=True).start()

    async def call(self, function, *arguments):
        loop = asyncio.get_running_loop()
        future = loop.create_future()
        self.jobs.put((loop, future, function, arguments))
        return await future

    def _run(self):
        while True:
            loop, future, function, arguments = self.jobs.get()
            try:
                answer = (future.set_result, function(*arguments))
            except Exception as error:
                answer = (future.set_exception, error)
            try:
                loop.call_soon_threadsafe(_settle, future, *answer)
            except RuntimeError:
                return  # the loop has ended


def _settle(future: asyncio.Future, settle, value):
    if not future.done():
        settle(value)
