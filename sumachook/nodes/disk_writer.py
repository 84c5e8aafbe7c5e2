"""Writes a machine's records to disk in the background, retrying for as long as the disk fails."""

import asyncio
import queue
import threading
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from sumachook.storage.folder import DataFolder
from sumachook.storage.write_queue import Write, WriteQueue, WriteStep

FIRST_RETRY_DELAY = timedelta(seconds=0.05)  # short, since most errors are transient; doubled up to the maximum
MAX_RETRY_DELAY = timedelta(seconds=0.5)


class DiskWriter:
    """Executes queued write steps in order in a worker thread; emits a followup event only after its step is synced.

    A step that fails is retried with a delay, without a limit. `on_event` receives the followups, and a
    `DiskStateChanged` whenever the disk stops or resumes accepting writes.
    """

    __slots__ = ("folder", "on_event", "log", "mono", "queue", "write_arrived")

    def __init__(
        self,
        folder: DataFolder,
        on_event: Callable[[Any], None],
        log: Callable[..., None],
        mono: Callable[[], timedelta],
        first_file: str = "",
    ) -> None:
        self.folder = folder
        self.on_event = on_event
        self.log = log
        self.mono = mono
        self.queue = WriteQueue(first_file)
        self.write_arrived = asyncio.Event()

    def put(self, write: Write) -> None:
        """Queues a write; returns without waiting for the disk."""
        self.queue.put(write, self.mono())
        self.write_arrived.set()

    def check_state(self) -> None:
        """Reports a change of the disk's state to the machine; called at each tick, also while a write hangs."""
        change = self.queue.state_change(self.mono())
        if change is None:
            return
        if change.is_available:
            self.log("info", "storage", "The disk accepts writes again.", {})
        else:
            self.log(
                "warning", "storage", "The disk accepts no writes; pausing durable work.", {"reason": change.reason}
            )
        self.on_event(change)

    async def run(self) -> None:
        """Executes queued write steps until the task is cancelled."""
        worker = _Worker()
        while True:
            step = self.queue.begin_step(self.mono())
            if step is None:
                self.write_arrived.clear()
                self.check_state()
                await self.write_arrived.wait()
                continue
            await self._write(worker, step)
            followups = self.queue.finish_step()
            self._log_removed_segments()
            self.check_state()
            for followup in followups:
                self.on_event(followup)

    async def _write(self, worker: "_Worker", step: WriteStep) -> None:
        delay = FIRST_RETRY_DELAY
        while True:
            try:
                await worker.call(self.folder.write, step)
                return
            except OSError as error:
                self.queue.fail_step(str(error))
                self.check_state()
            await asyncio.sleep(delay.total_seconds())
            delay = min(delay * 2, MAX_RETRY_DELAY)

    def _log_removed_segments(self) -> None:
        removed = self.folder.day_logs.removed
        self.folder.day_logs.removed = []
        if removed:
            self.log("warning", "storage", "Removed the oldest day logs to make space.", {"files": removed})


class _Worker:
    """Runs writes in one thread; a daemon thread, so that the process can exit while its disk hangs."""

    __slots__ = ("jobs",)

    def __init__(self) -> None:
        self.jobs: queue.SimpleQueue[tuple[Any, ...]] = queue.SimpleQueue()
        threading.Thread(target=self._run, name="disk", daemon=True).start()

    async def call(self, function: Callable[..., Any], *arguments: Any) -> Any:
        """Runs `function` in the thread and returns its result or raises its exception."""
        loop = asyncio.get_running_loop()
        future = loop.create_future()
        self.jobs.put((loop, future, function, arguments))
        return await future

    def _run(self) -> None:
        while True:
            loop, future, function, arguments = self.jobs.get()
            try:
                answer = (future.set_result, function(*arguments))
            except Exception as error:
                answer = (future.set_exception, error)
            try:
                loop.call_soon_threadsafe(_settle, future, *answer)
            except RuntimeError:
                return  # the event loop is closed


def _settle(future: asyncio.Future[Any], settle: Callable[[Any], None], value: Any) -> None:
    if not future.done():
        settle(value)
