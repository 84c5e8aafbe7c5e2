"""Shutdown of an edge: when it stops accepting connections and when it exits (docs/design/forwarding.md)."""

from datetime import timedelta
from typing import Any

from sumachook.forwarding.pipeline import ProxyPipeline
from sumachook.host.effects import CloseProxyServer, Exit
from sumachook.inference.pipeline import InferencePipeline
from sumachook.ledger.writer import LedgerWriter
from sumachook.requests.events import DrainEnded, ProxyServerClosed

FINAL_ANSWERS_BEFORE_END = timedelta(seconds=0.8)  # open requests are answered this long before the grace period ends
# Minimum time after the stop signal for accepting requests, until load balancers see that the edge is not ready.
MIN_OPEN_TIME = timedelta(seconds=2.5)
# Fraction of the grace period in which requests are accepted: the response to a later one might be cut off at its end.
MAX_OPEN_FRACTION = 0.36
QUIET_TIME = timedelta(seconds=1)  # time without a request that shows that load balancers send no more clients
INFERENCE_GRACE_STEP = timedelta(seconds=1)  # interval between rounds of final answers to inference requests


class EdgeShutdown:
    """Tracks the time since the stop signal and the last request; `step`, called at each tick, returns what is due."""

    __slots__ = ("grace", "stop_by", "stopped_at", "quiet_since", "is_proxy_server_closed")

    def __init__(self, grace: timedelta, now: timedelta) -> None:
        self.grace = grace
        self.stopped_at = now
        self.quiet_since = now
        self.stop_by: timedelta | None = None
        self.is_proxy_server_closed = False

    @property
    def has_begun(self) -> bool:
        """Whether the stop signal was received."""
        return self.stop_by is not None

    def begin(self, now: timedelta) -> None:
        """Sets the deadline of requests in flight; called at the stop signal."""
        self.stop_by = now + self.grace - FINAL_ANSWERS_BEFORE_END
        self.stopped_at = now
        self.quiet_since = now

    def note_request(self, now: timedelta) -> None:
        """Records the time of a client's proxy request; the proxy server closes only after `QUIET_TIME` without one."""
        self.quiet_since = now

    def step(
        self,
        inference_pipeline: InferencePipeline,
        proxy_pipeline: ProxyPipeline | None,
        ledger_writer: LedgerWriter,
        now: timedelta,
    ) -> list[Any]:
        """Returns the effects due now, `Exit` at the end; returns nothing before the stop signal."""
        if self.stop_by is None:
            return []
        table = inference_pipeline.table
        is_done = not table.requests and not ledger_writer.pending and not table.unstamped_records
        if proxy_pipeline is not None:
            return self._step_forwarding(inference_pipeline, proxy_pipeline, is_done, now)
        if not is_done and now < self.stop_by:
            return []
        if now >= self.stop_by and table.requests:
            self.stop_by = now + INFERENCE_GRACE_STEP
            return inference_pipeline.take(DrainEnded(), now)
        return [self._exit(now)]

    def _step_forwarding(
        self, inference_pipeline: InferencePipeline, proxy_pipeline: ProxyPipeline, is_done: bool, now: timedelta
    ) -> list[Any]:
        """Accepts clients until load balancers have seen that this edge is not ready; then finishes requests in flight.

        Requests still in flight shortly before the end of the grace period get a final answer.
        """
        effects: list[Any] = []
        if self._may_close_proxy_server(now):
            self.is_proxy_server_closed = True
            effects += [CloseProxyServer(), *proxy_pipeline.take(ProxyServerClosed(), now)]
        if self.stop_by is not None and now >= self.stop_by:
            for pipeline in (inference_pipeline, proxy_pipeline):
                effects += pipeline.take(DrainEnded(), now)
            is_done = is_done or now >= self.stop_by + FINAL_ANSWERS_BEFORE_END / 3
        has_requests = proxy_pipeline.table.requests or proxy_pipeline.table.parked_requests
        may_exit = is_done and self.is_proxy_server_closed and not has_requests
        return [*effects, self._exit(now)] if may_exit else effects

    def _exit(self, now: timedelta) -> Exit:
        """Returns `Exit`; slow readers have until shortly before the end of the grace period."""
        if self.stop_by is None:
            return Exit(0)
        return Exit(0, max(timedelta(0), self.stop_by + FINAL_ANSWERS_BEFORE_END / 2 - now))

    def _may_close_proxy_server(self, now: timedelta) -> bool:
        open_for = now - self.stopped_at
        if self.is_proxy_server_closed or open_for < MIN_OPEN_TIME:
            return False
        return now - self.quiet_since > QUIET_TIME or open_for >= MAX_OPEN_FRACTION * self.grace
