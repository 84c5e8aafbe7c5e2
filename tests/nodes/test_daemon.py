"""The daemon that runs a node: failing effects, and responses still unwritten at the exit (docs/design/processes.md)."""

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

LONG_ANSWER = b"x" * (24 << 20)  # more than the buffers of a connection can store
READ_DELAY_S = 1.2  # seconds after the decision to exit; longer than `FINAL_SEND_DELAY` and the proxy server's own wait
REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"


class Machine:
    """A state machine that returns the effects that `effects_for` creates from a request's call id."""

    node, restart_epoch = "n", 1

    def __init__(self, effects_for):
        self.effects_for = effects_for

    def take(self, event, now):
        return self.effects_for(event.call_id) if isinstance(event, HttpRequestReceived) else []


class Process:
    """A running daemon and its log lines; `ask` sends a request on a new connection."""

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
        writer.write(REQUEST)
        return reader, writer


def play(scenario, effects_for):
    async def run():
        async with Process(effects_for) as process:
            return await scenario(process)

    return asyncio.run(asyncio.wait_for(run(), BOUND))


def test_a_failing_effect_does_not_prevent_the_others():
    """A message to an invalid address and a reply are effects of one event: the client gets its reply, and the log
    names the failed effect."""

    async def scenario(process):
        reader, writer = await process.ask()
        answer = await reader.readuntil(b"whole")
        writer.close()
        return answer, process.lines

    def effects_for(call_id):
        return [SendDatagram("nowhere", Follow(7, 1)), Reply(call_id, 200, {}, b"whole")]

    answer, lines = play(scenario, effects_for)
    assert answer.startswith(b"HTTP/1.1 200 ")
    ((level, text, fields),) = [line for line in lines if line[0] == "error"]
    assert text == "Failed to execute an effect." and fields["kind"] == "SendDatagram"


def test_process_exits_only_after_its_responses_are_written():
    """A client that starts reading its long response only after the edge decided to exit receives all of it: bytes that
    an exiting process has not written are lost."""

    async def scenario(process):
        loop = asyncio.get_running_loop()
        reader, writer = await process.ask()
        writer.transport.pause_reading()
        await process.daemon.exiting.wait()
        (connection,) = process.daemon.http_server.server.open_connections()
        transport = connection.transport
        loop.call_later(READ_DELAY_S, writer.transport.resume_reading)
        await process.task
        transport.abort()  # as the exit of the process does
        answer = parse_response(await reader.read())
        writer.close()
        return answer

    def effects_for(call_id):
        return [Reply(call_id, 200, {}, LONG_ANSWER), Exit(0)]

    status, _, body, is_whole = play(scenario, effects_for)
    assert (status, len(body), is_whole) == (200, len(LONG_ANSWER), True)


def test_signals_during_exit_are_ignored():
    """Signals that arrive while the interpreter of an exiting process shuts down are ignored, and it exits with its
    machine's code."""
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


def test_failing_connection_sweep_ends_no_request():
    """A request in flight is answered although the sweep of connections fails; the log reports the failed task."""
    call_ids = []

    async def scenario(process):
        def fail(now):
            raise RuntimeError("a sweep")

        reader, writer = await process.ask()
        while not call_ids:
            await asyncio.sleep(0)
        process.daemon.http_server.__class__ = type(
            "Failing", (HttpServer,), {"__slots__": (), "_sweep": lambda self, now: fail(now)}
        )
        while not any(text == "A task failed and is restarted." for _, text, _ in process.lines):
            await asyncio.sleep(0)
        process.daemon.http_server.answer(Reply(call_ids[0], 200, {}, b"whole"))
        answer = await reader.read(1000)
        writer.close()
        return answer

    def effects_for(call_id):
        call_ids.append(call_id)
        return []

    assert play(scenario, effects_for).endswith(b"whole")


class JumpingClockLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock can jump ahead, past the deadlines of its callbacks."""

    ahead = 0.0

    def time(self):
        return super().time() + self.ahead


@pytest.mark.parametrize(("stall_s", "is_logged"), [(0.3, False), (2.0, True)])
def test_stall_of_the_process_is_logged_with_its_duration(stall_s, is_logged):
    """If the clock advances between two ticks while nothing is processed, as on a frozen machine or without processor
    time, a warning contains the duration; a slightly late tick is not logged."""
    loop = JumpingClockLoop()

    async def scenario():
        async with Process(lambda call_id: []) as process:
            loop.ahead += stall_s
            await asyncio.wait_for(next_tick(process), BOUND)
            return process.lines

    lines = loop.run_until_complete(scenario())
    loop.close()
    logged = [fields["seconds"] for level, text, fields in lines if text == "This process was stalled."]
    assert len(logged) == is_logged and all(abs(seconds - stall_s) < 0.3 for seconds in logged)


async def next_tick(process):
    """Returns once another tick was processed and its lateness checked."""
    came = asyncio.Event()
    log_stall = process.daemon._log_stall

    def log_and_notify(lateness):
        log_stall(lateness)
        came.set()

    process.daemon._log_stall = log_and_notify
    await came.wait()
