"""Runs a node's state machine in a real process, with the system clock, sockets and files."""

import asyncio
import signal
from collections.abc import Callable, Sequence
from datetime import timedelta
from typing import TYPE_CHECKING, Any, cast

from sumachook.host import effects, events
from sumachook.host.machine import NodeMachine, StateMachine
from sumachook.memory.budget import budget_for
from sumachook.nodes.component_guard import error_replies, event_name
from sumachook.nodes.inbox import Inbox
from sumachook.nodes.machine_limits import MachineLimits
from sumachook.nodes.memory_reporter import MemoryReporter
from sumachook.nodes.tick_intervals import TICK
from sumachook.requests.call_ids import FORWARDING
from sumachook.runtime.clock import NodeClock
from sumachook.runtime.log_function import LogFunction
from sumachook.runtime.supervisor import Supervisor
from sumachook.transport.codec import Codec
from sumachook.transport.connection_slots import ConnectionSlots, share_descriptors
from sumachook.transport.exchange import ResponseEffect
from sumachook.transport.http_client import HttpClient
from sumachook.transport.http_server import HttpServer
from sumachook.transport.node_messenger import NodeMessenger
from sumachook.transport.node_transport import NodeTransport
from sumachook.transport.proxy_server import ProxyServer
from sumachook.transport.streaming_client import StreamingClient

if TYPE_CHECKING:
    from sumachook.nodes.disk_writer import DiskWriter
    from sumachook.storage.folder import DataFolder

FINAL_SEND_DELAY = timedelta(seconds=0.2)  # from the decision to exit to the exit, so that the last messages are sent
UNSENT_CHECK_INTERVAL = timedelta(seconds=0.02)
MIN_LOGGED_STALL = timedelta(seconds=0.5)  # a tick later than this means that the process or its machine was stalled
SIGNAL_EVENTS: dict[signal.Signals, events.Event] = {
    signal.SIGTERM: events.StopRequested(),
    signal.SIGINT: events.StopRequested(),
    signal.SIGHUP: events.SettingsReloadRequested(),
}
RESPONSE_EFFECTS = (
    effects.ReadBody,
    effects.Reply,
    effects.BeginResponse,
    effects.SendChunk,
    effects.EndResponse,
    effects.AbortResponse,
)
DEFAULT_LIMITS = MachineLimits()
WRITE_EFFECTS = (effects.AppendRecords, effects.RewriteRecords, effects.AppendDayLog)


class Daemon:
    """Passes events to one state machine and executes the effects that it returns.

    `http_address` serves operators and health checks; `address`, if given, receives messages of other nodes and needs a
    `NodeMachine`; `proxy_address`, if given, accepts client requests to forward; `folder`, if given, stores the node's
    records. `limits` are those of the machine: what all peers together may hold in memory and in open connections.
    """

    def __init__(
        self,
        machine: StateMachine,
        clock: NodeClock,
        log: LogFunction,
        http_address: str,
        address: str | None = None,
        cluster: str = "",
        folder: "DataFolder | None" = None,
        proxy_address: str | None = None,
        max_body_bytes: int | None = None,
        limits: MachineLimits = DEFAULT_LIMITS,
    ) -> None:
        self.machine = machine
        self.clock = clock
        self.log = log
        self.exit_code = 0
        self.inbox: Inbox[Any, effects.Effect] = Inbox(self._process_event, self._execute_effect)
        self.budget = budget_for(limits.memory_mb)
        self.memory_reporter = MemoryReporter(self.budget, self._put_event, log)
        shares = share_descriptors(limits.descriptors)
        http_slots, node_slots = ConnectionSlots(shares.http), ConnectionSlots(shares.nodes)
        self.http_server = HttpServer(http_address, self._put_event, max_body_bytes, log, self.budget, http_slots)
        self.http_client = HttpClient(self._put_event, self.budget)
        self.proxy_server: ProxyServer | None = None
        self.streaming_client: StreamingClient | None = None
        if proxy_address:
            self._create_proxy(proxy_address, shares.clients)
        self.node_transport: NodeTransport | None = None
        if address:
            self.node_transport = NodeTransport(address, cluster, self._put_event, self.budget, node_slots)
        self.disk = self._disk_writer(folder) if folder else None
        self.effect_handlers = self._effect_handlers(cluster)
        self.exiting = asyncio.Event()
        self.write_deadline = 0.0  # the loop's time until which an exiting process waits for slow readers
        self.tick_requested = asyncio.Event()  # set while the machine needs a tick at the shortest interval

    def _create_proxy(self, address: str, max_connections: int) -> None:
        slots = ConnectionSlots(max_connections)
        server = ProxyServer(address, self._put_event, log=self.log, budget=self.budget, slots=slots)
        self.proxy_server = server
        self.streaming_client = StreamingClient(self._put_event, self.budget, server.writable_of)

    def _disk_writer(self, folder: "DataFolder") -> "DiskWriter":
        # imported here: an edge without a data folder starts faster without these modules
        from sumachook.nodes.disk_writer import DiskWriter
        from sumachook.storage.layout import LOG

        return DiskWriter(folder, self._put_event, self.log, self.clock.mono, LOG)

    async def run(self) -> int:
        """Serves until the machine returns `Exit`; returns the exit code for the process."""
        loop = asyncio.get_running_loop()
        for signal_number, event in SIGNAL_EVENTS.items():
            loop.add_signal_handler(signal_number, self._put_event, event)
        await Supervisor(self._tasks(), self._log_failed_task).run()
        self._log_connection_ends()
        self._ignore_signals()
        return self.exit_code

    @staticmethod
    def _ignore_signals() -> None:
        """Ignores further signals, so that none changes the exit code of a process that is exiting.

        As it closes, the loop would restore the default signal handlers, some tens of ms before the process exits.
        """
        loop = asyncio.get_running_loop()
        signal.pthread_sigmask(signal.SIG_BLOCK, SIGNAL_EVENTS)
        for signal_number in SIGNAL_EVENTS:
            loop.remove_signal_handler(signal_number)
            signal.signal(signal_number, signal.SIG_IGN)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNAL_EVENTS)

    def _log_connection_ends(self) -> None:
        """Logs how many client connections ended, by cause; the last log line of a process with a proxy server."""
        if self.proxy_server is not None:
            ends = {str(ended_by): count for ended_by, count in self.proxy_server.end_counts.items()}
            self.log("info", "daemon", "Client connections have ended.", {"ends": ends})

    def _tasks(self) -> dict[str, Callable[[], Any]]:
        tasks = {
            "http client": self.http_client.run,
            "http server": self.http_server.run,
            "http sweep": self.http_server.sweep,
            "ticks": self._run_ticks,
            "exit": self._wait_for_exit,
        }
        if self.proxy_server and self.streaming_client:
            tasks["proxy server"] = self.proxy_server.run
            tasks["proxy sweep"] = self.proxy_server.sweep
            tasks["streaming client"] = self.streaming_client.run
        if self.node_transport:
            tasks["node port"] = self.node_transport.run
        if self.disk:
            tasks["disk"] = self.disk.run
        return tasks

    async def _wait_for_exit(self) -> None:
        """Waits for the machine's `Exit`, then until messages and responses are sent or `write_deadline` passes."""
        await self.exiting.wait()
        await asyncio.sleep(FINAL_SEND_DELAY.total_seconds())
        servers = [server for server in (self.http_server, self.proxy_server) if server is not None]
        loop = asyncio.get_running_loop()
        while loop.time() < self.write_deadline and any(server.has_unsent_bytes for server in servers):
            await asyncio.sleep(UNSENT_CHECK_INTERVAL.total_seconds())

    def _log_failed_task(self, name: str, failures: int, error: Exception) -> None:
        fields = {"task": name, "failures": failures, "error": repr(error)}
        self.log("error", "daemon", "A task failed and is restarted.", fields)

    # ticks ------------------------------------------------------------------------------

    @property
    def _tick_interval(self) -> timedelta:
        """The machine's tick interval, or the shortest for a machine that defines none, such as a stand-in server."""
        return getattr(self.machine, "tick_interval", TICK)

    async def _run_ticks(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            begun_at = loop.time()
            if self.disk:
                self.disk.check_state()
            self._put_event(events.Tick())
            self.memory_reporter.report(loop.time())
            longest = max(self._tick_interval, TICK)
            await self._wait_for_next_tick()
            self._log_stall(timedelta(seconds=loop.time() - begun_at) - longest)

    def _log_stall(self, lateness: timedelta) -> None:
        """Logs a tick so late that this process was stalled: the likely cause of timeouts and cut responses then."""
        if lateness >= MIN_LOGGED_STALL:
            self.log("warning", "daemon", "This process was stalled.", {"seconds": round(lateness.total_seconds(), 3)})

    async def _wait_for_next_tick(self) -> None:
        """Waits for the machine's tick interval, or the shortest one after an event that makes the machine need it."""
        loop = asyncio.get_running_loop()
        shortest = TICK.total_seconds()
        begun_at = loop.time()
        longest = self._tick_interval.total_seconds()
        if longest > shortest:
            self.tick_requested.clear()
            try:
                async with asyncio.timeout(longest):
                    await self.tick_requested.wait()
            except TimeoutError:
                return
        await asyncio.sleep(max(0.0, shortest - (loop.time() - begun_at)))

    # events -----------------------------------------------------------------------------

    def _put_event(self, event: Any) -> None:
        """Queues an event for the machine, also one caused by an effect; shortens the tick interval if needed."""
        self.inbox.put(event)
        if not self.tick_requested.is_set() and self._tick_interval <= TICK:
            self.tick_requested.set()

    def _process_event(self, event: Any) -> Sequence[effects.Effect]:
        """Passes an event to the machine; an exception is logged, an HTTP request is answered with 500."""
        try:
            return self.machine.take(event, self.clock.mono())
        except Exception as error:
            fields = {"kind": event_name(event), "error": repr(error)}
            self.log("error", "daemon", "The state machine failed to process an event.", fields)
            return error_replies(event)

    # effects ----------------------------------------------------------------------------

    def _effect_handlers(self, cluster: str) -> dict[type, Callable[[Any], None]]:
        """Returns the handler of each class of effects; without a socket or folder, its effects have none."""
        handlers: dict[type, Callable[[Any], None]] = {
            effects.Fetch: self.http_client.fetch,
            effects.CancelCall: self._cancel_call,
            effects.Log: self._write_log,
            effects.WakeAfter: self._wake_after,
            effects.Exit: self._exit,
            **dict.fromkeys(RESPONSE_EFFECTS, self._answer),
        }
        if self.node_transport is not None:
            handlers |= self._message_handlers(cast(NodeMachine, self.machine), self.node_transport, cluster)
        if self.proxy_server is not None and self.streaming_client is not None:
            handlers |= self._proxy_handlers(self.proxy_server, self.streaming_client)
        if self.disk is not None:
            handlers |= dict.fromkeys(WRITE_EFFECTS, self.disk.put)
        return handlers

    @staticmethod
    def _message_handlers(
        machine: NodeMachine, transport: NodeTransport, cluster: str
    ) -> dict[type, Callable[[Any], None]]:
        codec = Codec(cluster, machine.node, transport.address, machine.restart_epoch)
        messenger = NodeMessenger(transport, codec)
        return {effects.Send: messenger.send, effects.SendDatagram: messenger.send_datagram}

    @staticmethod
    def _proxy_handlers(
        proxy_server: ProxyServer, streaming_client: StreamingClient
    ) -> dict[type, Callable[[Any], None]]:
        return {
            effects.ForwardRequest: streaming_client.forward,
            effects.ApplyClientLimits: lambda effect: proxy_server.apply_limits(effect.limits),
            effects.CloseProxyServer: lambda effect: proxy_server.stop_accepting(),
        }

    def _execute_effect(self, effect: effects.Effect) -> None:
        """Executes an effect; a failure is logged and does not fail the current event, which may be unrelated."""
        try:
            self.effect_handlers[type(effect)](effect)
        except Exception as error:
            fields = {"kind": type(effect).__name__, "error": repr(error)}
            self.log("error", "daemon", "Failed to execute an effect.", fields)

    def _answer(self, effect: ResponseEffect) -> None:
        """Passes a response to its server: call ids of the proxy server are tuples, others are numbers."""
        if self.proxy_server is not None and isinstance(effect.call_id, tuple):
            self.proxy_server.answer(effect)
        else:
            self.http_server.answer(effect)

    def _cancel_call(self, effect: effects.CancelCall) -> None:
        if self.streaming_client is not None and effect.call_id[0] == FORWARDING:
            self.streaming_client.cancel(effect.call_id)
        else:
            self.http_client.cancel(effect.call_id)

    def _write_log(self, effect: effects.Log) -> None:
        self.log(effect.level, effect.component, effect.text, effect.fields)

    def _wake_after(self, effect: effects.WakeAfter) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(effect.delay.total_seconds(), self._put_event, events.DelayElapsed())

    def _exit(self, effect: effects.Exit) -> None:
        self.exit_code = effect.code
        if not self.exiting.is_set():
            self.write_deadline = asyncio.get_running_loop().time() + effect.write_within.total_seconds()
        self.exiting.set()
