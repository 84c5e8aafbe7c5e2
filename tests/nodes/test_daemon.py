"""The host of a node in a process: effects that fail, and what is still to be written when the process ends (docs/design/processes.md)."""

import asyncio
import signal

import pytest

from harness.local_cluster.loopback import free_address, wait_until_serving
from sumachook.changefeed.messages import Follow
from sumachook.host.effects import Exit, Reply, SendDatagram
from sumachook.host.events import HttpRequestReceived
from sumachook.nodes.daemon import Daemon
from sumachook.runtime.clock import Clock
from sumachook.transport.addresses import split_address
from sumachook.transport.http_server import HttpServer
from tests.transport.proxy_fixtures import BOUND, parse_response

LONG_ANSWER = b"x" * (24 << 20)  # more than the buffers of a connection take
READS_AFTER = 1.2  # seconds from the decision to end, more than `LAST_MESSAGES` and what the server of requests waits
ASKED = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"


class Machine:
    """Gives the same effects for each request; `effects_for` makes them from the call's id."""

    node, restart_epoch = "n", 1

    def __init__(self, effects_for):
        self.effects_for = effects_for

    def take(self, event, now):
        return self.effects_for(event.call_id) if isinstance(event, HttpRequestReceived) else []


class Process:
    """A daemon with its lines of the log; `ask` writes a request on a connection of its own."""

    def __init__(self, effects_for):
        self.lines = []
        self.daemon = Daemon(
            Machine(effects_for),
            Clock(),
            lambda level, component, text, fields: self.lines.append((level, text, fields)),
            free_address(),
            free_address(),
            "c",
        )
        self.task = None

    async def __aenter__(self):
        self.task = asyncio.get_running_loop().create_task(self.daemon.run())
        await wait_until_serving(lambda: self.daemon.http_server.listener is not None, self.task)
        return self

    async def __aexit__(self, *what):
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)

    async def ask(self):
        reader, writer = await asyncio.open_connection(
            *split_address(self.daemon.http_server.address), limit=2 * len(LONG_ANSWER)
        )
        writer.write(ASKED)
        return reader, writer


def play(story, effects_for):
    async def run():
        async with Process(effects_for) as process:
            return await story(process)

    return asyncio.run(asyncio.wait_for(run(), BOUND))


def test_an_effect_that_cannot_be_carried_out_takes_no_other_with_it():
    """Given a message to an address that is none, and an answer in the same effects, the client gets its answer, and the log says which
    effect failed."""

    async def story(process):
        reader, writer = await process.ask()
        answer = await reader.readuntil(b"whole")
        writer.close()
        return answer, process.lines

    def effects_for(call_id):
        return [SendDatagram("nowhere", Follow(7, 1)), Reply(call_id, 200, {}, b"whole")]

    answer, lines = play(story, effects_for)
    assert answer.startswith(b"HTTP/1.1 200 ")
    ((level, text, fields),) = [line for line in lines if line[0] == "error"]
    assert text == "An effect could not be carried out." and fields["kind"] == "SendDatagram"


def test_a_process_that_leaves_ends_only_when_its_answers_have_left_it():
    """Given a client that begins to read its long answer only after its edge has decided to end, the answer reaches it whole: what an
    ending process has not yet written is lost."""

    async def story(process):
        loop = asyncio.get_running_loop()
        reader, writer = await process.ask()
        writer.transport.pause_reading()
        await process.daemon.exiting.wait()
        (connection,) = process.daemon.http_server.server.open_connections()
        transport = connection.transport
        loop.call_later(READS_AFTER, writer.transport.resume_reading)
        await process.task
        transport.abort()  # as the end of the process does
        answer = parse_response(await reader.read())
        writer.close()
        return answer

    def effects_for(call_id):
        return [Reply(call_id, 200, {}, LONG_ANSWER), Exit(0)]

    status, _, body, is_whole = play(story, effects_for)
    assert (status, len(body), is_whole) == (200, len(LONG_ANSWER), True)


def test_signals_in_the_last_moments_of_a_process_change_nothing():
    """Given a process whose machine has decided to end, and signals while its interpreter is being taken down, they are ignored: it ends
    with the code that its machine gave."""
    numbers = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)

    async def run():
        process = Process(lambda call_id: [Reply(call_id, 200, {}, b"whole"), Exit(0)])
        async with process:
            _, writer = await process.ask()
            code = await process.task
            writer.close()
        return code

    code = asyncio.run(asyncio.wait_for(run(), BOUND))
    after = [signal.getsignal(number) for number in numbers]
    assert code == 0 and after == [signal.SIG_IGN] * len(numbers)


def test_a_sweep_that_fails_ends_no_request():
    """Given a request in hand, and a sweep of connections that fails, the request is answered; the log says that a task has failed."""
    call_ids = []

    async def story(process):
        def fail(now):
            raise RuntimeError("a sweep")

        reader, writer = await process.ask()
        while not call_ids:
            await asyncio.sleep(0)
        process.daemon.http_server.__class__ = type(
            "Failing", (HttpServer,), {"__slots__": (), "_sweep": lambda self, now: fail(now)}
        )
        while not any(text == "A task failed and is started again." for _, text, _ in process.lines):
            await asyncio.sleep(0)
        process.daemon.http_server.answer(Reply(call_ids[0], 200, {}, b"whole"))
        answer = await reader.read(1000)
        writer.close()
        return answer

    def effects_for(call_id):
        call_ids.append(call_id)
        return []

    assert play(story, effects_for).endswith(b"whole")


class JumpingClockLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock jumps ahead of the time that its callbacks wait for."""

    ahead = 0.0

    def time(self):
        return super().time() + self.ahead


@pytest.mark.parametrize(("stood_still", "is_told"), [(0.3, False), (2.0, True)])
def test_a_process_that_stood_still_says_for_how_long(stood_still, is_told):
    """Given a clock that runs on between two ticks while nothing is handled, as when the machine is frozen or its processors are taken,
    a warning says for how long; a tick that is a little late is not worth one."""
    loop = JumpingClockLoop()

    async def story():
        async with Process(lambda call_id: []) as process:
            loop.ahead += stood_still
            await asyncio.wait_for(next_tick(process), BOUND)
            return process.lines

    lines = loop.run_until_complete(story())
    loop.close()
    told = [fields["seconds"] for level, text, fields in lines if text == "This process stood still."]
    assert len(told) == is_told and all(abs(seconds - stood_still) < 0.3 for seconds in told)


async def next_tick(process):
    """Returns when one more tick has come and its lateness is noted."""
    came = asyncio.Event()
    note = process.daemon._note_lateness

    def noted(late):
        note(late)
        came.set()

    process.daemon._note_lateness = noted
    await came.wait()
