"""The supervision of the tasks of a process."""

import asyncio
from datetime import timedelta

from sumachook.runtime.supervisor import Supervisor


def test_failing_task_is_restarted_until_it_exceeds_the_failure_limit():
    """A task that fails every time is restarted up to the limit and each failure is reported; then its exception is raised."""
    failures, starts = [], []

    async def fail():
        starts.append(1)
        raise ValueError("down")

    async def run():
        supervisor = Supervisor({"failing": fail}, lambda *failure: failures.append(failure), 2, timedelta(0))
        try:
            await supervisor.run()
        except ValueError:
            return "escalated"

    assert asyncio.run(run()) == "escalated"
    assert len(starts) == 3 and [failure[1] for failure in failures] == [1, 2, 3]
