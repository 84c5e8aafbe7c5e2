"""A tree of tasks: what falls is started again, what keeps falling takes its parent along."""

import asyncio
from datetime import timedelta

CALM = timedelta(seconds=30)


class Supervisor:
    """Runs named children; `run` ends when one ends well or falls too often (§1.5)."""

    __slots__ = ("children", "note", "most_falls", "pause")

    def __init__(self, children, note, most_falls: int = 5, pause: timedelta = timedelta(seconds=0.2)):
        self.children, self.note = dict(children), note
        self.most_falls, self.pause = most_falls, pause

    async def run(self):
        tasks = [asyncio.create_task(self._keep(name, start)) for name, start in self.children.items()]
        try:
            done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                task.result()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _keep(self, name, start):
        falls, loop = 0, asyncio.get_running_loop()
        while True:
            started_at = loop.time()
            try:
                return await start()
            except asyncio.CancelledError:
                raise
            except Exception as error:
                if loop.time() - started_at > CALM.total_seconds():
                    falls = 0
                falls += 1
                self.note(name, falls, error)
                if falls > self.most_falls:
                    raise
                await asyncio.sleep(self.pause.total_seconds() * falls)


def test_child_is_started_again_then_gives_up():
    falls, starts = [], []

    async def faulty():
        starts.append(1)
        raise ValueError("down")

    async def story():
        tree = Supervisor({"faulty": faulty}, lambda *what: falls.append(what), 2, timedelta(0))
        try:
            await tree.run()
        except ValueError:
            return "escalated"

    assert asyncio.run(story()) == "escalated"
    assert len(starts) == 3 and [fall[1] for fall in falls] == [1, 2, 3]
