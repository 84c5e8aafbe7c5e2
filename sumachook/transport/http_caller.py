"""Common base of the HTTP clients of a process: sessions, running calls, and the classification of failures."""

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from functools import partial
from typing import Any

import aiohttp

from sumachook.calls.run_status import CallFailure
from sumachook.host.effects import ConnectionReuse
from sumachook.host.events import CallEvent, CallFailed, CallId, Event, RequestSent
from sumachook.memory.account import Account, Purpose
from sumachook.memory.budget import DEFAULT_MEMORY_MB, MemoryBudget, budget_for
from sumachook.transport.answer_reader import READ_BUFFER_BYTES
from sumachook.transport.server_connector import CURRENT_CALL, DEFAULT_MAX_KEPT, ConnectingCall, ServerConnector

CALL_BYTES = 24 << 10  # memory of a call whose answer is being read: its task, connection and parser


class HttpCaller:
    """Runs each HTTP call in its own task and emits its `CallEvent`s.

    `RequestSent` is emitted before the first byte is written. `CallFailed` with "refused" or "connect-timeout" is
    reported only if no byte was sent, so that its receiver can rely on the call not having run.
    """

    __slots__ = ("on_event", "tasks", "sent", "sessions", "budget", "accounts")

    def __init__(self, on_event: Callable[[Event], None], budget: MemoryBudget | None = None) -> None:
        self.on_event = on_event
        self.budget = budget or budget_for(DEFAULT_MEMORY_MB)
        self.tasks: dict[CallId, asyncio.Task[None]] = {}
        self.sent: set[CallId] = set()  # calls that may have sent a byte
        self.sessions: tuple[aiohttp.ClientSession, ...] = ()
        self.accounts: dict[CallId, Account] = {}  # of calls whose answer is being gathered

    @property
    def is_open(self) -> bool:
        """Whether the sessions are open, so that calls can be started."""
        return bool(self.sessions)

    async def run(self) -> None:
        """Keeps the sessions open until cancelled; calls still running then fail."""
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
        """Cancels a call; it emits no further events."""
        task = self.tasks.pop(call_id, None)
        if task is not None:
            task.cancel()

    def _open_sessions(self) -> tuple[aiohttp.ClientSession, ...]:
        raise NotImplementedError

    def _session(self, connector: ServerConnector, **options: Any) -> aiohttp.ClientSession:
        session = aiohttp.ClientSession(
            connector=connector,
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            read_bufsize=READ_BUFFER_BYTES,
            **options,
        )
        # otherwise aiohttp silently retries idempotent methods such as GET and PUT, even on a new connection
        session._retry_connection = False
        return session

    def _begin_connecting(
        self,
        call_id: CallId,
        reuse: ConnectionReuse = ConnectionReuse.ALWAYS,
        max_kept: int = DEFAULT_MAX_KEPT,
    ) -> ConnectingCall:
        """Sets the context variable from which the session's connector learns which connections this call may use."""
        call = ConnectingCall(partial(self._record_sent, call_id), reuse, max_kept)
        CURRENT_CALL.set(call)
        return call

    def _record_sent(self, call_id: CallId, is_reused: bool) -> None:
        """Records that the call has a connection: from now on the server may have run it."""
        self.sent.add(call_id)
        self.on_event(RequestSent(call_id, is_reused))

    @contextmanager
    def _account(self, call_id: CallId) -> Iterator[Account]:
        """Opens the account of a call; under pressure, a call whose answer has stalled ends as if it were reset."""
        account = self.accounts[call_id] = self.budget.open("answer of a server", partial(self._evict, call_id))
        account.hold(CALL_BYTES, Purpose.SMALL)
        try:
            yield account
        finally:
            del self.accounts[call_id]
            account.close()

    def _evict(self, call_id: CallId) -> int:
        task, account = self.tasks.get(call_id), self.accounts.get(call_id)
        if task is None or account is None:
            return 0
        task.cancel()
        return account.held_bytes

    def _start(self, call_id: CallId, call: Callable[[], Awaitable[CallEvent]]) -> None:
        task = asyncio.get_running_loop().create_task(self._report_outcome(call_id, call))
        self.tasks[call_id] = task
        task.add_done_callback(partial(self._forget, call_id))

    def _forget(self, call_id: CallId, done: asyncio.Task[None]) -> None:
        if self.tasks.get(call_id) is done:
            del self.tasks[call_id]
        self.sent.discard(call_id)

    async def _report_outcome(self, call_id: CallId, call: Callable[[], Awaitable[CallEvent]]) -> None:
        """Runs a call and emits exactly one outcome for it, unless it was cancelled by `cancel`."""
        try:
            outcome: CallEvent = await call()
        except asyncio.CancelledError:
            if call_id not in self.tasks:
                raise
            outcome = CallFailed(call_id, CallFailure.RESET)
        except Exception as error:
            outcome = CallFailed(call_id, self._classify_failure(call_id, error))
        self.on_event(outcome)

    def _classify_failure(self, call_id: CallId, error: Exception) -> CallFailure:
        """Classifies an error; one that occurred after the first byte is never reported as a connection failure."""
        if call_id not in self.sent:
            if isinstance(error, aiohttp.ConnectionTimeoutError):
                return CallFailure.CONNECT_TIMEOUT
            if isinstance(error, aiohttp.ClientConnectorError):
                return CallFailure.REFUSED
        return CallFailure.TIMEOUT if isinstance(error, TimeoutError) else CallFailure.RESET
