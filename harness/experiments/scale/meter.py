"""Measures the messages sent and received and the processor time of this process, by mechanism."""

import os
import time
from collections import Counter

import sumachook.transport.node_transport as node_transport
from harness.experiments.scale.mechanism import (
    ALLOWANCES,
    CREDIT,
    DUTIES,
    FEED,
    LEDGER,
    LIST,
    MEMBERSHIP,
    NODE,
    ORDERED,
    PAIRS,
    PLACES,
    REPORTS,
    REQUESTS,
    USAGE,
    mechanism_of,
)
from sumachook.changefeed import Follower, Source
from sumachook.consensus import Replica
from sumachook.control_state.state import State
from sumachook.forwarding.pipeline import ProxyPipeline
from sumachook.host.events import MessageReceived, ResponseReceived
from sumachook.inference.pipeline import InferencePipeline
from sumachook.leases import Leases
from sumachook.ledger.replica_store import ReplicaStore
from sumachook.ledger.writer import LedgerWriter
from sumachook.membership import Membership
from sumachook.nodes.control_api import ControlApi
from sumachook.nodes.core import Core
from sumachook.nodes.edge import Edge
from sumachook.placement.call_ids import INVENTORY_READER
from sumachook.placement.inventory_reader import InventoryReader
from sumachook.placement.placer import Placer
from sumachook.placement.places import PlacementView
from sumachook.placement.provisioner import Provisioner
from sumachook.placement.publisher import PlacementPublisher
from sumachook.quotas.lease_issuer import QuotaLeaseIssuer
from sumachook.quotas.rate_limiter import RateLimiter
from sumachook.quotas.usage import QuotaUsage
from sumachook.retry_budget.broker import RetryBudgetBroker
from sumachook.retry_budget.budget import RetryBudget
from sumachook.runtime.cluster_clock import ClusterClock
from sumachook.transport.codec import Codec
from sumachook.transport.http_client import HttpClient
from sumachook.transport.node_message import wire_kind

PARTS = (
    (Membership, "take", MEMBERSHIP),
    (ClusterClock, "record_vote", MEMBERSHIP),
    (ClusterClock, "on_tick", MEMBERSHIP),
    (Follower, "take", FEED),
    (Source, "take", FEED),
    (Replica, "take", ORDERED),
    (State, "apply", ORDERED),
    (State, "restore", ORDERED),
    (ControlApi, "http", ORDERED),
    (ControlApi, "tick", ORDERED),
    (Leases, "take", DUTIES),
    (ReplicaStore, "take", LEDGER),
    (LedgerWriter, "take", LEDGER),
    (RetryBudget, "take", CREDIT),
    (RetryBudgetBroker, "take", CREDIT),
    (RateLimiter, "take", ALLOWANCES),
    (QuotaLeaseIssuer, "take", ALLOWANCES),
    (QuotaUsage, "take", ALLOWANCES),
    (Placer, "take", PAIRS),
    (InventoryReader, "take", LIST),
    (PlacementPublisher, "publish", PLACES),
    (PlacementPublisher, "open", PLACES),
    (PlacementPublisher, "update_edges", PLACES),
    (PlacementView, "take", PLACES),
    (ProxyPipeline, "take", REQUESTS),
    (InferencePipeline, "take", REQUESTS),
    (Core, "take", NODE),
    (Edge, "take", NODE),
)
PAGE = os.sysconf("SC_PAGE_SIZE")
RESPONSE_LINE_BYTES = 60
REQUEST_LINE_BYTES = 90  # approximate size of a request without its method, URL, header values and body


class Meter:
    """Wraps methods of the node components in this process; `snapshot()` returns the counts since the start.

    The processor time of a component excludes that of components it calls; encoding and decoding a message count to the
    mechanism of the message.
    """

    __slots__ = ("sent", "received", "seconds", "nested")

    def __init__(self):
        self.sent, self.received, self.seconds, self.nested = Counter(), Counter(), Counter(), []
        for kind, method, mechanism in PARTS:
            setattr(kind, method, self._timed(getattr(kind, method), lambda words, mechanism=mechanism: mechanism))
        Provisioner.take = self._timed(
            Provisioner.take, lambda words: USAGE if isinstance(words[1], MessageReceived) else REPORTS
        )
        pack, read, fetch, take = Codec.pack, node_transport.read_frame, HttpClient.fetch, Core.take

        def counted_pack(codec, message):
            raw = pack(codec, message)
            self._count(self.sent, wire_kind(message), len(raw))
            return raw

        def counted_read(cluster, raw):
            frame = read(cluster, raw)
            self._count(self.received, wire_kind(frame.message), len(raw))
            return frame

        def counted_fetch(http_client, effect):
            size = len(effect.method) + len(effect.url) + len(effect.body) + sum(map(len, effect.headers.values()))
            self._count(
                self.sent, LIST if effect.call_id[0] == INVENTORY_READER else REPORTS, size + REQUEST_LINE_BYTES
            )
            fetch(http_client, effect)

        def counted_take(core, event, now):
            if isinstance(event, ResponseReceived):
                mechanism = LIST if event.call_id[0] == INVENTORY_READER else REPORTS
                size = len(event.body) + sum(map(len, event.headers.values())) + RESPONSE_LINE_BYTES
                self._count(self.received, mechanism, size)
            return take(core, event, now)

        Codec.pack = self._timed(counted_pack, lambda words: mechanism_of(wire_kind(words[1])))
        node_transport.read_frame = self._timed(
            counted_read, lambda words: NODE, lambda frame: mechanism_of(wire_kind(frame.message))
        )
        HttpClient.fetch, Core.take = counted_fetch, counted_take

    def _count(self, counts, kind, size):
        counts[kind, "messages"] += 1
        counts[kind, "bytes"] += size

    def _timed(self, call, mechanism_before, mechanism_after=None):
        nested, seconds, clock = self.nested, self.seconds, time.thread_time

        def timed(*words, **more):
            begun = clock()
            nested.append(0.0)
            name = mechanism_before(words)
            try:
                found = call(*words, **more)
                name = mechanism_after(found) if mechanism_after else name
                return found
            finally:
                span = clock() - begun
                seconds[name] += span - nested.pop()
                if nested:
                    nested[-1] += span

        return timed

    def snapshot(self) -> dict:
        with open("/proc/self/statm") as file:
            resident = int(file.read().split()[1]) * PAGE
        return {
            "at": time.monotonic(),
            "process": time.process_time(),
            "resident": resident,
            "seconds": dict(self.seconds),
            **{
                what: {f"{kind} {unit}": count for (kind, unit), count in counts.items()}
                for what, counts in (("sent", self.sent), ("heard", self.received))
            },
        }
