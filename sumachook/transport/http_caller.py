"""What the HTTP clients of a process share: sessions, the calls under way, and what each failure means."""

import asyncio
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

import aiohttp

from sumachook.calls.run_status import CallFailure
from sumachook.host.effects import ConnectionReuse
from sumachook.host.events import CallEvent, CallFailed, CallId, Event, RequestSent
from sumachook.transport.server_connector import CURRENT_CALL, DEFAULT_MAX_KEPT, ConnectingCall, ServerConnector


class HttpCaller:
    """Runs calls, each in its own task, and gives the `CallEvent`s of each.

    `RequestSent` comes ahead of the first byte; a failure before that byte is reported as such only if no byte went
    out: whoever gets `CallFailed` with "refused" or "connect-timeout" knows that the call did not run.
    """

    __slots__ = ("on_event", "tasks", "sent", "sessions")

    def __init__(self, on_event: Callable[[Event], None]) -> None:
        self.on_event = on_event
        self.tasks: dict[CallId, asyncio.Task[None]] = {}
        self.sent: set[CallId] = set()  # calls of which a byte may have gone out
        self.sessions: tuple[aiohttp.ClientSession, ...] = ()

    @property
    def is_open(self) -> bool:
        """Whether calls can be made."""
        return bool(self.sessions)

    async def run(self) -> None:
        """Keeps the sessions open until it is cancelled; calls that are under way then fail."""
        self.sessions = self._open_sessions()
        try:
            await asyncio.Event().wait()
        finally:
            sessions, self.sessions = self.sessions, ()
            for task in self.tasks.values():
                task.cancel()
            for session in sessions:
                await session.close()

    def cancel(self, call_id: CallId) -> None:
        """Calls a call off; nothing more is told of it."""
        task = self.tasks.pop(call_id, None)
        if task is not None:
            task.cancel()

    def _open_sessions(self) -> tuple[aiohttp.ClientSession, ...]:
        raise NotImplementedError

    def _session(self, connector: ServerConnector, **options: Any) -> aiohttp.ClientSession:
        session = aiohttp.ClientSession(
            connector=connector, auto_decompress=False, cookie_jar=aiohttp.DummyCookieJar(), **options
        )
        # aiohttp would send GET, PUT and their like a second time, unseen, also on a fresh connection
        session._retry_connection = False
        return session

    def _begin_connecting(
        self,
        call_id: CallId,
        reuse: ConnectionReuse = ConnectionReuse.ALWAYS,
        max_kept: int = DEFAULT_MAX_KEPT,
    ) -> ConnectingCall:
        """Tells the connector of the session about the call that this task is about to make."""
        call = ConnectingCall(partial(self._note_sent, call_id), reuse, max_kept)
        CURRENT_CALL.set(call)
        return call

    def _note_sent(self, call_id: CallId, is_reused: bool) -> None:
        """The connection stands: from here on the call may have run."""
        self.sent.add(call_id)
        self.on_event(RequestSent(call_id, is_reused))

    def _start(self, call_id: CallId, call: Callable[[], Awaitable[CallEvent]]) -> None:
        task = asyncio.get_running_loop().create_task(self._report_outcome(call_id, call))
        self.tasks[call_id] = task
        task.add_done_callback(partial(self._forget, call_id))

    def _forget(self, call_id: CallId, done: asyncio.Task[None]) -> None:
        if self.tasks.get(call_id) is done:
            del self.tasks[call_id]
        self.sent.discard(call_id)

    async def _report_outcome(self, call_id: CallId, call: Callable[[], Awaitable[CallEvent]]) -> None:
        """Gives one outcome for each call, whatever ends it; only one that was called off tells nothing."""
        try:
            outcome: CallEvent = await call()
        except asyncio.CancelledError:
            if call_id not in self.tasks:
                raise
            outcome = CallFailed(call_id, CallFailure.RESET)
        except Exception as error:
            outcome = CallFailed(call_id, self._failure(call_id, error))
        self.on_event(outcome)

    def _failure(self, call_id: CallId, error: Exception) -> CallFailure:
        """The kind of a failure; one after the first byte never passes for one before it."""
        if call_id not in self.sent:
            if isinstance(error, aiohttp.ConnectionTimeoutError):
                return CallFailure.CONNECT_TIMEOUT
            if isinstance(error, aiohttp.ClientConnectorError):
                return CallFailure.REFUSED
        return CallFailure.TIMEOUT if isinstance(error, TimeoutError) else CallFailure.RESET
