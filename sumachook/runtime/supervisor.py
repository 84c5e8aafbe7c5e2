"""Supervision of the tasks of a process: a failed task is restarted; one that keeps failing ends all others."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from datetime import timedelta
from typing import Any

MAX_FAILURES = 5  # consecutive failures of one task; after more, the whole process should be restarted
RESTART_DELAY = timedelta(seconds=0.2)  # delay before a restart, multiplied by the number of failures
FAILURE_RESET_AFTER = timedelta(seconds=30)  # run time without a failure that resets the failure count


class Supervisor:
    """Runs named tasks until one of them returns or fails too often.

    Parameters
    ----------
    children : mapping of a task's name to the function that starts it
    on_failure : called with the task's name, its number of consecutive failures and the exception
    max_failures : number of consecutive failures after which a task is still restarted
    restart_delay : delay before a restart, multiplied by the number of failures
    """

    __slots__ = ("_children", "_on_failure", "_max_failures", "_restart_delay")

    def __init__(
        self,
        children: Mapping[str, Callable[[], Awaitable[Any]]],
        on_failure: Callable[[str, int, Exception], Any],
        max_failures: int = MAX_FAILURES,
        restart_delay: timedelta = RESTART_DELAY,
    ):
        self._children = dict(children)
        self._on_failure = on_failure
        self._max_failures = max_failures
        self._restart_delay = restart_delay

    async def run(self) -> None:
        """Runs until one task ends, then cancels the others; raises the exception of a task that failed too often."""
        tasks = [asyncio.create_task(self._supervise(name, start)) for name, start in self._children.items()]
        try:
            ended, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in ended:
                task.result()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _supervise(self, name: str, start: Callable[[], Awaitable[Any]]) -> Any:
        loop = asyncio.get_running_loop()
        failures = 0
        while True:
            started_at = loop.time()
            try:
                return await start()
            except Exception as error:
                if loop.time() - started_at > FAILURE_RESET_AFTER.total_seconds():
                    failures = 0
                failures += 1
                self._on_failure(name, failures, error)
                if failures > self._max_failures:
                    raise
                await asyncio.sleep(self._restart_delay.total_seconds() * failures)
