"""Tests of the forwarding pipeline under random faults of servers and clients (docs/design/forwarding.md)."""

import heapq
import re
from datetime import timedelta
from random import Random

import msgspec
import pytest

from sumachook.changefeed.trust import Trust
from tests.forwarding.forwarding_fixtures import (
    CHAT,
    EVENTS,
    LOOSE,
    NOT_RUN,
    ONCE,
    PLAIN,
    SEAL,
    SERVERS,
    TICK,
    Scene,
    event,
)


class FaultInjection:
    """Runs a forwarding pipeline among faulty servers and clients that disconnect, and records what each side saw."""

    COUNT = 6  # events per stream

    def __init__(self, seed):
        self.random = Random(seed)
        self.scene = Scene(seed=seed, credit=0.0)
        self.scene.retry_budget.cap = 30.0
        self.heap, self.number = [], 0
        self.attempts = {}  # by attempt id: [is cancelled, was reported as sent]
        self.arrivals, self.runs, self.disconnected, self.submitted, self.processed = [], {}, set(), {}, 0
        self.fault_rate = 0.0

    def schedule(self, seconds, work, *given):
        self.number += 1
        heapq.heappush(self.heap, (self.scene.now + timedelta(seconds=seconds), self.number, work, given))

    def run_rounds(self, rounds):
        for number in range(rounds):
            self.fault_rate = self.random.choice((0.0, 0.2, 0.6, 0.9)) if number % 40 == 0 else self.fault_rate
            for _ in range(self.random.randrange(3)):
                self.ask()
            if self.random.random() < 0.05:
                self.change_cluster()
            self.step()
        self.fault_rate = 0.0
        for _ in range(200):
            self.step()
        return self

    def step(self):
        scene = self.scene
        until = scene.now + TICK
        while self.heap and self.heap[0][0] <= until:
            scene.now, _, work, given = heapq.heappop(self.heap)
            work(*given)
            self.process_effects()
        scene.now = until
        scene.take("pulse")
        self.process_effects()

    def ask(self):
        path = self.random.choice((PLAIN, ONCE, LOOSE, CHAT, CHAT))
        own = {"deadline": self.random.choice((300, 1000, 3000, 9000))}
        if path == CHAT:
            own |= {"model": self.random.choice(("m", "m", "m/a1", "n")), "tokens": "30,8", "parts": "5c:20,91:10"}
        cid = self.scene.ask(path, **own)
        self.submitted[cid] = path
        if self.random.random() < 0.08:
            self.schedule(self.random.random(), self.disconnect, cid)
        self.process_effects()

    def disconnect(self, cid):
        if not any(effect[0] in ("reply", "end", "drop") for effect in self.scene.client_effects(cid)):
            self.disconnected.add(cid)
        self.scene.take("gone", cid)

    def change_cluster(self):
        scene, random = self.scene, self.random
        name = random.choice(sorted(SERVERS))
        what = random.randrange(4)
        if what == 0:
            scene.place(
                {
                    server: {"m": ("a1",), "n": ()} if random.random() < 0.5 else {"m": ()}
                    for server in ("l1", "l2", "l3")
                    if random.random() < 0.7
                }
            )
        elif what == 1:
            scene.state.servers[name] = {
                **scene.state.servers.get(name, SERVERS[name]),
                "leaving": random.random() < 0.5,
            }
        elif what == 2:
            scene.state.servers.pop(name) if name in scene.state.servers else scene.state.servers.update(
                {name: SERVERS[name]}
            )
        else:
            scene.trust.level = random.choice((Trust.FRESH, Trust.FRESH, Trust.DISCONNECTED, Trust.UNPROVEN))
        self.process_effects()

    def process_effects(self):
        """Processes the effects of the pipeline since the last call."""
        while self.processed < len(self.scene.out):
            effect = self.scene.out[self.processed]
            self.processed += 1
            if effect[0] == "unfetch" and effect[1] in self.attempts:
                self.attempts[effect[1]][0] = True
            elif effect[0] == "forward":
                self.attempts[effect[1]] = [False, False]
                assert not self.scene.state.servers[dict(effect[4])["x-expect-instance"]]["leaving"]
                self.schedule(self.random.random() * 0.02, self.connect, effect)

    def deliver(self, tid, *what):
        if not self.attempts[tid][0]:
            self.scene.take("fetched", tid, *what)

    def connect(self, effect):
        tid = effect[1]
        if self.attempts[tid][0]:
            return  # cancelled before its connection was established: no byte was sent
        luck = self.random.random()
        if luck < self.fault_rate * 0.3:
            return (
                self.deliver(tid, "fault", "refused")
                if luck < self.fault_rate * 0.2
                else self.schedule(0.4, self.deliver, tid, "fault", "connect-timeout")
            )
        self.deliver(tid, "sent")
        self.schedule(self.random.random() * 0.1, self.arrive, effect)

    def arrive(self, effect):
        """Delivers the request to the server, whether or not the edge still waits for the response."""
        tid, headers = effect[1], dict(effect[4])
        cid, name, random = headers["X-Request-Id"], headers["x-expect-instance"], self.random
        self.arrivals.append((cid, name))
        has_fault = random.random() < self.fault_rate
        answer = (
            random.choice(("full", "moved", "reset", "silent", "half", "500", "bare503", "strange", "other", "slow"))
            if has_fault
            else "well"
        )
        own = (("X-Request-Id", cid), SEAL)
        if answer in ("full", "moved"):
            return self.deliver(tid, "head", 503 if answer == "full" else 421, (("X-Request-Id", cid), NOT_RUN))
        if random.random() < 0.3 and answer in ("reset", "silent"):
            return (
                self.deliver(tid, "fault", "reset") if answer == "reset" else None
            )  # the server received the request and never ran it
        self.runs[cid] = self.runs.get(cid, 0) + 1
        at = random.random() * 0.1
        if answer == "reset":
            self.schedule(at, self.deliver, tid, "fault", "reset")
        elif answer in ("500", "bare503"):
            self.schedule(at, self.deliver, tid, "head", 500 if answer == "500" else 503, own)
            self.schedule(at + 0.01, self.deliver, tid, "end")
        elif answer == "strange":
            self.schedule(at, self.deliver, tid, "head", 200, (("X-Request-Id", cid),))
            self.schedule(at + 0.01, self.deliver, tid, "chunk", b"strange")
            self.schedule(at + 0.02, self.deliver, tid, "end")
        elif answer == "other":
            self.schedule(
                at, self.deliver, tid, "head", random.choice((200, 503)), (("X-Request-Id", "zz"), SEAL, NOT_RUN)
            )
        elif answer != "silent":
            self.serve(tid, cid, own, headers, at + (1.5 if answer == "slow" else 0.0), answer == "half")

    def serve(self, tid, cid, own, headers, at, is_half):
        if self.submitted[cid] in (CHAT, LOOSE):
            first = int(headers.get("last-event-id", 0)) + 1
            raw = b"".join(event(number, 3) for number in range(first, self.COUNT + 1))
            own = (*own, EVENTS)
        else:
            raw = b"whole " + cid.encode()
        self.schedule(at, self.deliver, tid, "head", 200, own)
        place = 0
        stop = self.random.randrange(len(raw) + 1) if is_half else len(raw)
        while place < stop:
            size = min(self.random.randrange(1, 40), stop - place)
            at += self.random.random() * 0.05
            self.schedule(at, self.deliver, tid, "chunk", raw[place : place + size])
            place += size
        self.schedule(at + 0.01, self.deliver, tid, *(("fault", "reset") if is_half else ("end",)))


@pytest.mark.parametrize("seed", range(12))
def test_random_faults_break_no_guarantee(seed):
    """Given random server faults, placements, leaving servers and client disconnects, as seen from outside: no
    non-repeatable request runs twice, no request that ran is refused as not run, no event is lost, repeated or joined
    wrongly, no truncated response looks complete, and at the end nothing is in flight and the ledger has closed each
    request once."""
    fault_injection = FaultInjection(seed).run_rounds(300)
    scene, outcomes = fault_injection.scene, {}
    for cid, path in fault_injection.submitted.items():
        told, runs = scene.client_effects(cid), fault_injection.runs.get(cid, 0)
        assert path in (PLAIN, CHAT) or runs <= 1, (cid, path)
        servers = {name for asked, name in fault_injection.arrivals if asked == cid}
        assert len(servers) <= 3
        ends = [effect[0] for effect in told if effect[0] in ("reply", "end", "drop")]
        assert len(ends) == (0 if cid in fault_injection.disconnected else 1) and (
            not ends or told[-1][0] == ends[0]
        ), (
            cid,
            told,
        )
        if ends == ["reply"]:
            status, body = told[0][2], told[0][4]
            outcomes[status] = outcomes.get(status, 0) + 1
            if status == 200:
                assert body == b"whole " + cid.encode() and SEAL in told[0][3] and ("X-Request-Id", cid) in told[0][3]
            elif status == 503:
                assert (
                    runs == 0
                    and msgspec.json.decode(body)["fault"]["run"] == "no"
                    and "Retry-After" in dict(told[0][3])
                ), (cid, path)
            else:
                assert status in (500, 502, 504), told
        else:
            outcomes[(ends or ["gone"])[0]] = outcomes.get((ends or ["gone"])[0], 0) + 1
            numbers = [int(found) for found in re.findall(rb"id: (\d+)\n", scene.body(cid))]
            assert scene.body(cid) == b"".join(event(number, 3) for number in range(1, len(numbers) + 1)), (
                cid,
                numbers,
            )
            assert ends != ["end"] or len(numbers) == fault_injection.COUNT, (cid, numbers)
    assert scene.settled()
    closed, opened = (
        [record["tag"] for record in scene.records(True)],
        [record["tag"] for record in scene.records(False)],
    )
    assert (
        sorted(closed) == sorted(fault_injection.submitted)
        and len(set(opened)) == len(opened)
        and set(opened) <= set(closed)
    )
    for record in scene.records(True):
        assert record["run"] != "no" or fault_injection.runs.get(record["tag"], 0) == 0, record
    assert {200, 503, "end", "drop"} <= set(outcomes) and {502, 504} & set(outcomes), outcomes
