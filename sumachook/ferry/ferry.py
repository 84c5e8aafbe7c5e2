"""The request table of an edge and the passes that run over it."""

from datetime import timedelta
from random import Random
from zlib import crc32

import msgspec
from assel import Event, send

from sumachook.creed.policy import compile_policy
from sumachook.feed.follower import CUT, EMPTY, WAITING
from sumachook.ferry import faults
from sumachook.ferry.lane import LONGEST_REST, LOOKUP_REST, PROBES_APART, WHOLE, Lane
from sumachook.ferry.lines import Lines
from sumachook.ferry.port import OpenPort
from sumachook.ferry.row import LINED, LOOKUP, PROMPT, RECORDING, SETTLED, STREAMING, TRYING, Row

JSON = {"Content-Type": "application/json"}
SSE = {"Content-Type": "text/event-stream", "Cache-Control": "no-store"}
MOST_TRIES = 4
MOST_RESUMES = 2
LONGEST_PAUSE = timedelta(seconds=30)
FIRST_PAUSE = timedelta(seconds=1)
CONNECT = timedelta(seconds=2)
LOOKUP_CONNECT = timedelta(seconds=0.7)
LOOKUP_TOTAL = timedelta(seconds=1.5)
HEADROOM = 1.5
CREDIT_WAIT = timedelta(seconds=3)
SHUN = timedelta(seconds=2)
EARLY = timedelta(seconds=30)
MOST_ROWS = 4000
MOST_ALERTS = 500


class Ferry:
    """Takes (message, now): admit, record, draw, deliver, stream, settle (§7.2).

    In: ("http", cid, method, path, headers, body), ("gone", cid), ("fetched", tid, ...), ("pulse",), ("drain",),
    ("recorded" | "unrecorded" | "duplicate", request, ...), ("leaving", servers).
    Out: ("reply" | "head" | "chunk" | "end" | "drop", cid, ...), ("fetch" | "unfetch", tid, ...), ("open" | "close", record, ...),
    ("log", ...).
    """

    __slots__ = ("node", "incarnation", "area", "state", "follower", "purse", "draw", "almanac", "port", "table", "byCid", "lines",
                 "lanes", "lookups", "counts", "demand", "isDraining", "number", "edges", "knowsEdges", "serviceTime", "callers", "generation",
                 "targets", "alerts", "shunned", "knowsTime", "early")

    def __init__(self, node, incarnation, area, state, follower, purse, draw: Random, almanac):
        self.node, self.incarnation, self.area, self.state = node, incarnation, area, state
        self.follower, self.purse, self.draw, self.almanac, self.port = follower, purse, draw, almanac, OpenPort()
        self.table, self.byCid, self.lines, self.lanes, self.lookups = {}, {}, Lines(), {}, []
        self.counts, self.demand, self.isDraining, self.number = {}, {}, False, 0
        self.knowsEdges = self.knowsTime = False  # until the first list of members, and of their clocks, has come
        self.early = []  # (when, record) of what was turned away before this node knew what day it is (§11.3)
        self.shunned = {}  # servers that a core says are leaving, before that is ordered (§9.1)
        self.edges, self.serviceTime, self.callers, self.generation, self.targets, self.alerts = (node,), {}, {}, -1, {}, {}

    def take(self, message: tuple, now) -> list:
        kind = message[0]
        if kind == "drain":
            self.isDraining = True
            return []
        if kind == "rejoined":
            for lane in self.lanes.values():
                lane.reopen(now)
            return self._draw_pass(now)
        out = getattr(self, "_" + kind)(message, now)
        return out + self._draw_pass(now)

    # admit ------------------------------------------------------------------------

    def _http(self, message, now):
        _, cid, method, path, headers, body = message
        self._index()
        tag = headers.get("x-request-id", "")[:100]
        row = self._admit(cid, method, path, headers, body, now)
        if not isinstance(row, Row):
            return self._turn_away(cid, row, path, tag, now) + self._alert(row, now)
        row.tag, row.isUnsure = tag, self.follower.trust(now) == WAITING
        self.table[row.request] = row
        self.byCid[cid] = row.request
        self.purse.earn()
        self._count("admitted", row.kind)
        if row.kind == PROMPT:
            for name in dict.fromkeys((row.name, row.model.name)):
                self.demand[name] = self.demand.get(name, 0) + 1
        return [("open", self._record(row), row.isSafe)]

    def _leaving(self, message, now):
        """A core's word, repeated until the ordered list says so or no longer needs to."""
        self.shunned |= {name: now + SHUN for name in message[1]}
        return []

    def _stamp(self, now) -> str:
        return self.almanac.time(now).isoformat()

    def _index(self):
        """What the catalogue gives for admission, worked out once a generation."""
        if self.generation == self.state.generation and self.callers:
            return
        catalogue, self.generation = self.state.catalogue, self.state.generation
        if catalogue is None:
            return
        self.callers = {caller.key: caller for caller in catalogue.callers}
        models = {model.name: model for model in catalogue.models}
        self.targets = {name: (model, "") for name, model in models.items()}
        self.targets |= {adapter.name: (models[adapter.model], adapter.name) for adapter in catalogue.adapters}
        self.targets |= {route.name: self.targets[route.target] for route in catalogue.routes}

    def _admit(self, cid, method, path, headers, body, now):
        """A Row, or the fault for which nothing is begun."""
        isPrompt, isLookup = path == "/v1/chat/completions", path.startswith("/records/")
        if not isPrompt and not isLookup:
            return faults.NOT_FOUND.because("POST /v1/chat/completions or GET /records/ID")
        if method != ("POST" if isPrompt else "GET"):
            return faults.MALFORMED.because(f"method {method}")
        if self.isDraining:
            return faults.DRAINING.because("this node is leaving")
        if self.follower.trust(now) == EMPTY or not self.knowsTime:
            return faults.NOT_READY.because("no catalogue yet")
        if not self.state.is_open(self.area):
            return faults.EVACUATED.because(f"area {self.area} is evacuated, use another area's node")
        scheme, _, key = headers.get("authorization", "").partition(" ")
        caller = self.callers.get(key.strip()) if scheme.lower() == "bearer" else None
        if caller is None:
            return faults.UNKNOWN_CALLER.because("Authorization: Bearer KEY")
        if len(self.table) >= MOST_ROWS:
            return faults.OVERLOAD.because("the table is full")
        self.number += 1
        request = f"{self.node}.{self.incarnation}.{self.number}"
        if isLookup:
            return self._admit_lookup(request, cid, caller, path, now)
        return self._admit_prompt(request, cid, caller, headers, body, now)

    def _admit_lookup(self, request, cid, caller, path, now):
        if not caller.lookups:
            return faults.FORBIDDEN.because("this caller may not look up")
        row = Row(request, cid, LOOKUP, caller, now, timedelta(seconds=caller.lookupPatience))
        row.path, row.generation, row.policies = path, self.state.generation, self.state.catalogue.policies
        row.openedAt = self._stamp(now)
        return row

    def _admit_prompt(self, request, cid, caller, headers, body, now):
        try:
            doc = msgspec.json.decode(body)
        except (msgspec.DecodeError, RecursionError):
            return faults.MALFORMED.because("the body is no JSON")
        reason = _prompt_fault(doc)
        if reason:
            return faults.MALFORMED.because(reason)
        target = self.targets.get(doc["model"])
        if target is None:
            return faults.NO_MODEL.because(f"no model, adapter or route {doc['model'][:80]!r}")
        row = Row(request, cid, PROMPT, caller, now, caller.wait)
        row.model, row.adapter = target
        wanted = doc.get("max_tokens", row.model.maxTokens)
        if wanted > row.model.maxTokens:
            return faults.MALFORMED.because(f"max_tokens: {wanted}, at most {row.model.maxTokens}")
        row.key = headers.get("idempotency-key", "")[:200]
        row.isSafe, row.isStream = caller.safe and not row.key, doc.get("stream", False)
        row.body = {**doc, "model": row.name, "max_tokens": wanted}
        row.generation, row.policies = self.state.generation, self.state.catalogue.policies
        row.wakeBy = now + timedelta(seconds=row.model.wake)
        row.openedAt = self._stamp(now)
        return row

    def _turn_away(self, cid, fault, path, tag, now):
        """Refused before a row was made. What the caller is not to blame for goes into the day's log all the same."""
        if fault not in faults.COME_BACK and fault != faults.NO_MODEL:
            return self._refuse(cid, fault)
        self.number += 1
        at = self._stamp(now)
        record = {"request": f"{self.node}.{self.incarnation}.{self.number}", "caller": "", "line": "", "asked": "", "key": "",
                  "kind": LOOKUP if path.startswith("/records/") else PROMPT, "edge": self.node, "incarnation": self.incarnation,
                  "state": "fault", "openedAt": at, "endedAt": at, "generation": self.state.generation, "tag": tag,
                  "class": fault.name, "status": faults.STATUS[fault], "run": "no", "tries": (), "attempt": 0, "firstToken": None,
                  "duration": 0.0, "tokens": 0, "late": False}
        out = self._refuse(cid, fault, record["request"])
        if self.almanac.isAgreed:
            return out + [("close", record)]
        self.early.append((now, record))
        return out

    def _stamp_early(self, now):
        """Once the cohort agrees on the time, or after a while without it."""
        isDue = self.early and (self.almanac.isAgreed or now - self.early[0][0] > EARLY or len(self.early) > MOST_ROWS)
        early, self.early = (self.early, []) if isDue else ([], self.early)
        return [("close", {**record, "openedAt": self._stamp(at), "endedAt": self._stamp(at)}) for at, record in early]

    def _refuse(self, cid, fault, request="", tries=0, run="no", retryAfter=None):
        self._count("refused", fault.name)
        headers, body = dict(JSON), {"class": fault.name, "reason": fault.reason, "tries": tries, "run": run, "request": request}
        if fault in faults.COME_BACK:
            pause = retryAfter if retryAfter is not None else 1 + self.draw.random() * 2
            body["retryAfterSeconds"] = round(pause, 2)
            headers["Retry-After"] = str(max(1, round(pause)))
        return [("reply", cid, faults.STATUS[fault], headers, msgspec.json.encode({"fault": body}))]

    def _alert(self, fault, now):
        """A model that is not configured is one mistake: one alert a minute, not a flood (§7.3)."""
        if fault != faults.NO_MODEL or now < self.alerts.get(fault.reason, now):
            return []
        if len(self.alerts) > MOST_ALERTS:
            self.alerts.clear()
        self.alerts[fault.reason] = now + timedelta(minutes=1)
        return [("log", "error", "ferry", "A model is asked for that is not configured.", {"reason": fault.reason})]

    # record -------------------------------------------------------------------------

    def _record(self, row):
        return {"request": row.request, "caller": row.caller.name, "line": row.line, "kind": row.kind, "asked": row.name,
                "key": row.key, "edge": self.node, "incarnation": self.incarnation, "state": "open", "openedAt": row.openedAt,
                "generation": row.generation, "tag": row.tag}

    def _recorded(self, message, now):
        row = self.table.get(message[1])
        if row is None or row.state != RECORDING:
            return []
        row.state = LINED
        if row.kind == LOOKUP:
            self.lookups.append(row)
            return []
        line = self._line(row)
        bound, waiting = line.bound if line else 1, self.lines.length(row.line)
        isHeld = compile_policy("hold", row.policies.hold)(
            {"line": row.line, "caller": row.caller.name, "model": row.model.name, "patience": row.caller.patience,
             "waiting": waiting, "bound": bound, "busy": sum(lane.inUse for lane in self.lanes.values())})
        if waiting >= bound or (waiting and not isHeld):
            return self._settle(row, faults.OVERLOAD.because(f"{waiting} wait in line {row.line}"), now)
        if self._expected_wait(row) > (row.cutoff - now).total_seconds():
            return self._settle(row, faults.OVERLOAD.because("the cutoff cannot be met"), now)
        self.lines.push(row.line, row)
        return []

    def _line(self, row):
        """The row's line as the catalogue has it now, or None if it was taken out."""
        return next((line for line in self.state.catalogue.lines if line.name == row.line), None)

    def _expected_wait(self, row) -> float:
        """Seconds, from those ahead in line for the same model and how long its line's answers took of late."""
        ahead = sum(other.model.name == row.model.name for other in self.lines.rows.get(row.line, ()))
        pair = [name for name in self.state.pairs.get(row.model.name, ()) if name in self.state.servers]
        places = sum(self._limit(self.state.servers[name]) for name in pair)
        return ahead * self.serviceTime.get(row.line, 0.0) / max(1, places)

    def _limit(self, server) -> int:
        """This edge's places at a server: half again its even share, so that an uneven crowd finds room (§7.5)."""
        return max(1, -(-3 * server["slots"] // (2 * len(self.edges))))

    def _unrecorded(self, message, now):
        row = self.table.get(message[1])
        if row is None or row.state != RECORDING:
            return []
        return self._settle(row, faults.UNRECORDED.because(message[2].reason or message[2].name), now)

    def _duplicate(self, message, now):
        row = self.table.get(message[1])
        if row is None or row.state != RECORDING:
            return []
        first = message[2]
        fault = faults.DUPLICATE.because(f"request {first['request']} is {first['state']}, run {first['run']}")
        return self._settle(row, fault, now)

    # draw and deliver -----------------------------------------------------------------

    def _draw_pass(self, now):
        out = []
        if not self.lookups and not any(self.lines.rows.values()):
            return out
        trust = self.follower.trust(now)
        if trust not in (EMPTY, WAITING):
            out += self._look_again(now)
        for row in list(self.lookups):
            if row.notBefore <= now:
                server = self._draw_records(row, now)
                if server and self._may_go(row):
                    self.lookups.remove(row)
                    out += self._deliver(row, server, now)
        catalogue = self.state.catalogue
        weights = {line.name: line.weight for line in catalogue.lines}
        for line, row in self.lines.turns(weights):
            if row.state != LINED or row.notBefore > now:
                continue
            server = self._draw_server(row, now)
            if isinstance(server, str):
                if self._may_go(row):
                    self.lines.remove(line, row)
                    self.lines.took(line, weights)
                    out += self._deliver(row, server, now)
            elif server is not None:
                self.lines.remove(line, row)
                out += self._settle(row, server, now)
        return out

    def _look_again(self, now):
        """What came in while this edge had just woken was let in unseen: the area may have been evacuated meanwhile (§8.3)."""
        out, isOpen = [], self.state.is_open(self.area)
        for row in [*self.lookups, *(row for rows in self.lines.rows.values() for row in rows)]:
            if row.isUnsure:
                row.isUnsure = False
                if not isOpen:
                    out += self._settle(row, faults.EVACUATED.because(f"area {self.area} is evacuated, use another area's node"), now)
        return out

    def _may_go(self, row):
        """A resend costs a credit; without one the row waits within its cutoff (§7.7)."""
        if row.needsCredit and not self.purse.spend():
            return False
        row.needsCredit = False
        return True

    def _is_usable(self, name, server, trust, now):
        isNear = trust != CUT or server["area"] == self.area
        return not server["leaving"] and self.shunned.get(name, now) <= now and self.state.is_open(server["area"]) and isNear

    def _lane(self, name):
        if name not in self.lanes:
            self.lanes[name] = Lane()
        return self.lanes[name]

    def _rank(self, salt):
        """(this edge's place, how many edges) in an order that differs from server to server."""
        order = sorted(self.edges, key=lambda edge: hash_of(edge, salt))
        return (order.index(self.node) if self.node in order else 0), max(1, len(order))

    def _draw_records(self, row, now):
        trust = self.follower.trust(now)
        if trust in (EMPTY, WAITING):
            return None
        open_ = [name for name, server in self.state.servers.items()
                 if server["kind"] == "records" and self._is_usable(name, server, trust, now) and not self._lane(name).is_shut(now)]
        return min(open_, default=None, key=lambda name: (
            _failed_at(row, name), self.state.servers[name]["area"] != self.area, self._lane(name).inUse, name))

    def _draw_server(self, row, now):
        """A server's name, None to wait on, or a fault (§7.4)."""
        trust = self.follower.trust(now)
        if trust in (EMPTY, WAITING):
            return None
        servers, ready, shut = self.state.servers, [], []
        for name in self.state.pairs.get(row.model.name, ()):
            server, items = servers.get(name), self.state.held.get(name, {})
            if server is None or not self._is_usable(name, server, trust, now):
                continue
            conditions = {items.get(row.model.name)} | ({items.get(row.adapter)} if row.adapter else set())
            if not conditions <= {"ready", "warm"}:
                continue
            (shut if self._lane(name).is_shut(now) else ready).append((name, server, "warm" in conditions))
        if not ready:
            if shut:
                soonest = min(self._lane(name).shutUntil for name, _, _ in shut)
                row.retryAfter = max(1.0, (soonest - now).total_seconds())
                return faults.UNREACHABLE.because("the breaker is open")
            return self._waking(row, now)
        ready.sort(key=lambda item: _failed_at(row, item[0]))
        for name, server, isWarm in ready:
            if self._has_room(row, name, server, isWarm, now):
                return name
        return None

    def _waking(self, row, now):
        """§7.3: a waking model is one that is placed but not held yet; one delayed resend, then the end."""
        if now < row.wakeBy:
            return None
        if row.wakes:
            return faults.WAKE_TIMEOUT.because(f"{row.name} was not ready in time")
        row.wakes = 1
        row.tries.append({"server": "", "class": faults.WAKE_TIMEOUT.name})
        row.notBefore = now + self._pause(row)
        row.wakeBy = now + timedelta(seconds=row.model.wake)
        return None

    def _has_room(self, row, name, server, isWarm, now):
        lane = self._lane(name)
        rank, count = self._rank(name)
        limit = self._limit(server)
        line = self._line(row)
        share = max(1, int(limit * line.share)) if line else 1
        if lane.inUse >= limit or lane.byLine.get(row.line, 0) >= share:
            return False
        item, isCold = row.model.name, "ready" not in self.state.held.get(name, {}).values()
        for what, isWarming, inHand in ((item, isWarm, lane.byItem.get(item, 0)), (WHOLE, isCold, lane.inUse)):
            if not isWarming:
                lane.warmSince.pop(what, None)
            elif not self.knowsEdges:
                return False  # it would take itself for the only one, and all of the share
            elif inHand >= lane.warm_share(what, server["slots"], rank, count, now):
                return False
        return True

    def _deliver(self, row, name, now):
        server, lane = self.state.servers[name], self._lane(name)
        row.attempt += 1
        row.state, row.server, row.tryAt = TRYING, name, now
        row.tid = (row.kind, row.request, row.attempt)
        row.wasSent = row.wasHeard = False
        lane.begin(row.name if row.kind == LOOKUP else row.model.name, row.line, now)
        left = row.cutoff - now
        if row.kind == LOOKUP:
            row.firstBy = row.totalBy = now + min(LOOKUP_TOTAL, left)
            url, connect = f"http://{server['address']}{row.path}", min(LOOKUP_CONNECT, left)
            return [("fetch", row.tid, "GET", url, {"X-Request-Id": row.request}, b"", connect, min(LOOKUP_TOTAL, left), "whole")]
        first = timedelta(seconds=row.model.firstToken)
        hasOther = row.isSafe and any(other != name for other in self.state.pairs.get(row.model.name, ()) if other)
        row.firstBy = now + min(first, left / 2 if hasOther and row.attempt == 1 else left)
        decode = timedelta(seconds=row.body["max_tokens"] / row.model.decodeRate * HEADROOM)
        row.totalBy = min(row.cutoff, row.firstBy + decode)
        method, path, headers, body = self.port.chat(row.request, row.body)
        return [("fetch", row.tid, method, f"http://{server['address']}{path}", headers, body, min(CONNECT, left), left, "events")]

    # stream -----------------------------------------------------------------------------

    def _fetched(self, message, now):
        _, tid, outcome, *rest = message
        row = self.table.get(tid[1])
        if row is None or row.tid != tid or row.state not in (TRYING, STREAMING):
            return []
        if outcome == "sent":
            row.wasSent = True
            row.ran = "maybe" if row.kind == PROMPT else row.ran
            return []
        if outcome == "head":
            return self._on_head(row, rest[0], rest[1], now)
        if outcome == "event":
            return self._on_event(row, rest[0], rest[1], now)
        if outcome == "done" and row.kind == PROMPT:
            return self._on_head(row, rest[0], rest[1], now)
        if outcome == "done":
            return self._on_whole(row, rest[0], rest[1], rest[2], now)
        if outcome == "end":
            return self._try_failed(row, faults.CUT.because("the stream ended early"), now)
        return self._on_fault(row, rest[0], now)

    def _on_fault(self, row, kind, now):
        if kind in ("refused", "connect-timeout") and not row.wasSent:
            return self._try_failed(row, faults.UNREACHABLE.because(kind), now)
        row.wasSent = True
        if kind == "timeout" and now >= row.cutoff:
            return self._stop_try(row, faults.CUTOFF, now)
        if kind == "timeout":
            return self._try_failed(row, faults.TOTAL_TIMEOUT if row.wasHeard else faults.FIRST_TOKEN_TIMEOUT, now)
        return self._try_failed(row, faults.CUT if row.firstAt and row.kind == PROMPT else faults.RESET, now)

    def _on_head(self, row, status, headers, now):
        row.wasSent = row.wasHeard = True
        if status == 200 and headers.get("content-type", "").startswith("text/event-stream"):
            return []
        if row.resumeFrom is not None:
            return self._try_failed(row, faults.CUT.because(f"no resume, status {status}"), now)
        return self._try_failed(row, _status_fault(status, headers, row), now)

    def _on_whole(self, row, status, headers, body, now):
        if status in (200, 404):
            self._end_try(row, None, now)
            row.ran = "yes"
            reply = ("reply", row.cid, status, {"Content-Type": headers.get("content-type", "application/json"), "X-Request-Id": row.request}, body)
            return [reply] + self._close(row, "done", status, "" if status == 200 else "unknown-record", now)
        return self._try_failed(row, _status_fault(status, headers, row), now)

    def _on_event(self, row, eventId, data, now):
        if data == "[DONE]":
            if row.finish is None:
                return self._try_failed(row, faults.CUT.because("ended without a finish reason"), now)
            return self._finish(row, now)
        read = self.port.read_event(data)
        if read is None:
            return self._try_failed(row, faults.CUT.because("an event that cannot be read"), now)
        text, finish, used = read
        if row.resumeFrom is not None:
            if not eventId or next_id(row.resumeFrom) != eventId:
                return self._try_failed(row, faults.CUT.because("the resume does not continue"), now)
            row.resumeFrom = None
        row.lastEventId = eventId or None
        row.tokens = used if used is not None else row.tokens + bool(text)
        row.finish = finish or row.finish
        row.firstAt = now if text else None
        if not row.isStream:
            row.texts.append(text)
            return []
        chunk = send(Event(data=data, id=eventId or None))
        if not row.reachedCaller:
            row.texts.append(chunk)  # what precedes the first token goes out with it
            return self._open_stream(row) if text else []
        return [("chunk", row.cid, chunk)]

    def _open_stream(self, row):
        row.reachedCaller, row.state = True, STREAMING
        out = [("head", row.cid, 200, {**SSE, "X-Request-Id": row.request})]
        out += [("chunk", row.cid, chunk) for chunk in row.texts]
        row.texts = []
        return out

    def _finish(self, row, now):
        self._end_try(row, None, now)
        row.ran = "yes"
        if row.isStream:
            out = [] if row.reachedCaller else self._open_stream(row)
            out += [("chunk", row.cid, send(Event(data="[DONE]"))), ("end", row.cid)]
        else:
            choice = {"index": 0, "message": {"role": "assistant", "content": "".join(row.texts)}, "finish_reason": row.finish}
            answer = {"id": row.request, "object": "chat.completion", "model": row.name, "choices": [choice],
                      "usage": {"completion_tokens": row.tokens}}
            out = [("reply", row.cid, 200, {**JSON, "X-Request-Id": row.request}, msgspec.json.encode(answer))]
        return out + self._close(row, "done", 200, "", now)

    # classify -----------------------------------------------------------------------------

    def _end_try(self, row, fault, now):
        """Gives the place back and notes the try; the fault's class is decided by now."""
        lane, item = self._lane(row.server), row.name if row.kind == LOOKUP else row.model.name
        lane.end(item, row.line)
        rank, count = self._rank(row.server)
        if fault is None or fault in (faults.REFUSED, faults.OVERLOAD, faults.HUNG_UP):
            lane.note(True, now, 0.0)
        else:
            lane.note(False, now, rank / count, LOOKUP_REST if row.kind == LOOKUP else max(LONGEST_REST, PROBES_APART * count))
            lane.fell_while_warm(item, now)
        duration = (now - row.tryAt).total_seconds()
        if fault is None and row.kind == PROMPT:
            self.serviceTime[row.line] = 0.9 * self.serviceTime.get(row.line, duration) + 0.1 * duration
        first = (row.firstAt - row.tryAt).total_seconds() if row.firstAt and row.firstAt >= row.tryAt else None
        row.tries.append({"server": row.server, "class": fault.name if fault is not None else "ok", "sent": row.wasSent,
                          "firstToken": first, "duration": round(duration, 4), "tokens": row.tokens, "attempt": row.attempt})
        row.tid = None

    def _try_failed(self, row, fault, now):
        """§7.3: classified here, before anything is sent again."""
        out = [("unfetch", row.tid)]
        server = row.server
        self._end_try(row, fault, now)
        row.lastFault = fault
        if row.reachedCaller:
            return out + self._resume(row, fault, now)
        if row.firstAt is not None:  # tokens came but none reached the caller: nothing of them is kept
            row.texts, row.tokens, row.finish, row.lastEventId = [], 0, None, None
            row._firstAt = None
        wasNeverSent = fault == faults.UNREACHABLE and not row.wasSent
        mayRepeat = wasNeverSent or row.isSafe
        isResendable = fault in faults.RESENDABLE or (fault == faults.CUT and row.isSafe)
        if wasNeverSent and not any(item.get("sent") for item in row.tries):
            row.ran = "no"
        if not mayRepeat or not isResendable or row.attempt >= MOST_TRIES:
            return out + self._settle(row, fault, now)
        allowed = compile_policy("retry", row.policies.retry)(
            {"fault": fault.name, "attempt": row.attempt, "line": row.line, "caller": row.caller.name, "model": row.name,
             "left": (row.cutoff - now).total_seconds(), "tokens": row.body.get("max_tokens", 0), "credit": self.purse.balance})
        pause = self._pause(row)
        if row.retryAfter is not None:
            pause, row.retryAfter = max(pause, timedelta(seconds=row.retryAfter)), None
        if not allowed or now + pause >= row.cutoff:
            return out + self._settle(row, fault, now)
        row.state, row.notBefore, row.needsCredit, row.creditBy = LINED, now + pause, True, now + pause + CREDIT_WAIT
        row.avoid = (*(name for name in row.avoid if name != server), server)
        if row.kind == LOOKUP:
            self.lookups.append(row)
        else:
            self.lines.push(row.line, row)
        return out

    def _pause(self, row):
        """Doubling, fully jittered; scaled down for little patience (§7.4)."""
        start = min(FIRST_PAUSE, (row.cutoff - row.arrivedAt) / 20)
        return min(LONGEST_PAUSE, start * 2 ** max(0, row.attempt - 1)) * self.draw.random()

    def _resume(self, row, fault, now):
        """After the first token: the same server, by event id, through a GET; or the end (§7.9)."""
        server = self.state.servers.get(row.server)
        canResume = fault in (faults.CUT, faults.RESET, faults.UNREACHABLE) and row.lastEventId and row.resumes < MOST_RESUMES
        mayEnter = server is not None and self._is_usable(row.server, server, self.follower.trust(now), now)
        if not canResume or not mayEnter or now >= row.totalBy:
            return self._settle(row, fault, now)
        row.resumes += 1
        row.attempt += 1
        row.resumeFrom, row.tryAt = row.lastEventId, now
        row.tid = (row.kind, row.request, row.attempt)
        self._lane(row.server).begin(row.model.name, row.line, now)
        method, path, headers, body = self.port.resume(row.request, row.lastEventId)
        left = row.totalBy - now
        return [("fetch", row.tid, method, f"http://{server['address']}{path}", headers, body, min(CONNECT, left), left, "events")]

    # settle ---------------------------------------------------------------------------------

    def _pulse(self, message, now):
        out = self._stamp_early(now)
        for row in list(self.table.values()):
            if row.state in (TRYING, STREAMING):
                if row.firstAt is None and now >= row.firstBy and row.totalBy > row.firstBy:
                    out += self._try_failed(row, faults.FIRST_TOKEN_TIMEOUT, now)
                elif now >= row.totalBy:
                    isCutoff = row.totalBy >= row.cutoff
                    out += self._stop_try(row, faults.CUTOFF if isCutoff else faults.TOTAL_TIMEOUT, now)
            elif row.needsCredit and now >= row.creditBy:
                out += self._settle(row, row.lastFault.because("no credit for a resend"), now)
            elif now >= row.cutoff:
                fault = faults.CUTOFF.because(f"nothing within {row.cutoff - row.arrivedAt}, last: {row.lastFault or 'waiting'}")
                out += self._settle(row, fault, now)
        return out

    def cut_short(self, row, now):
        """The node leaves: what is still in hand gets its final answer."""
        fault = faults.DRAINING.because("this node is leaving")
        return self._stop_try(row, fault, now) if row.tid is not None else self._settle(row, fault, now)

    def _stop_try(self, row, fault, now):
        out = [("unfetch", row.tid)]
        self._end_try(row, fault, now)
        return out + self._settle(row, fault, now)

    def _gone(self, message, now):
        """The caller hung up: its try is called off."""
        row = self.table.get(self.byCid.get(message[1]))
        if row is None:
            return []
        out = []
        if row.tid is not None and row.state in (TRYING, STREAMING):
            out.append(("unfetch", row.tid))
            self._end_try(row, faults.HUNG_UP, now)
        self._unline(row)
        return out + self._close(row, "fault", faults.STATUS[faults.HUNG_UP], faults.HUNG_UP.name, now)

    def _unline(self, row):
        if row.kind == PROMPT:
            self.lines.remove(row.line, row)
        elif row in self.lookups:
            self.lookups.remove(row)

    def _settle(self, row, fault, now):
        """The final answer, at once and honest about what may have run."""
        self._unline(row)
        status, tries = faults.STATUS[fault], len(row.tries)
        if row.reachedCaller:
            row.ran = "yes"
            body = {"class": fault.name, "reason": fault.reason, "tries": tries, "run": "yes", "request": row.request}
            event = send(Event(event="error", data=msgspec.json.encode({"fault": body}).decode()))
            out = [("chunk", row.cid, event), ("drop", row.cid)]
            self._count("refused", fault.name)
        else:
            out = self._refuse(row.cid, fault, row.request, tries, row.ran, row.retryAfter)
        return out + self._close(row, "fault", status, fault.name, now)

    def _close(self, row, state, status, name, now):
        row.state = SETTLED
        self.table.pop(row.request, None)
        self.byCid.pop(row.cid, None)
        self._count(state, row.kind)
        duration = (now - row.arrivedAt).total_seconds()
        first = (row.firstAt - row.arrivedAt).total_seconds() if row.firstAt else None
        record = {**self._record(row), "state": state, "class": name, "status": status, "run": row.ran, "tries": tuple(row.tries),
                  "attempt": row.attempt, "firstToken": first, "duration": round(duration, 4), "tokens": row.tokens,
                  "late": now > row.cutoff, "endedAt": self._stamp(now)}
        level = "info" if state == "done" else "warning"
        note = {field: record[field] for field in ("request", "status", "class", "attempt", "firstToken", "duration", "tokens", "run")}
        return [("close", record), ("log", level, "ferry", "Request settled.", note)]

    def _count(self, *what):
        self.counts[what] = self.counts.get(what, 0) + 1


def hash_of(*words) -> int:
    return crc32("|".join(words).encode())


def next_id(eventId: str):
    """The id that must follow, for ids that end in a number after a colon.

    >>> next_id("r1:41"), next_id("abc")
    ('r1:42', None)
    """
    stem, _, number = eventId.rpartition(":")
    return f"{stem}:{int(number) + 1}" if number.isdigit() else None


def _failed_at(row, name) -> int:
    """0 for a server that has not failed this request, else higher the later it did."""
    return row.avoid.index(name) + 1 if name in row.avoid else 0


def _status_fault(status, headers, row):
    if status in (429, 503):
        stated = headers.get("retry-after", "")
        row.retryAfter = min(60.0, float(stated)) if stated.isdigit() else None
        return faults.OVERLOAD.because(f"the server said {status}")
    if status >= 500 or status < 400 or status in (404, 408):
        return faults.UPSTREAM.because(f"the server said {status}")
    return faults.REFUSED.because(f"the server said {status}")


def _prompt_fault(doc):
    """What is wrong with a prompt's body, or None.

    >>> _prompt_fault({"model": "m", "messages": [{"role": "user", "content": "x"}]}), _prompt_fault({"model": 3})
    (None, 'model: a text is needed')
    """
    if not isinstance(doc, dict):
        return "the body is no object"
    if not isinstance(doc.get("model"), str) or not doc["model"]:
        return "model: a text is needed"
    messages = doc.get("messages")
    if not isinstance(messages, list) or not messages or not all(isinstance(item, dict) for item in messages):
        return "messages: a list of objects is needed"
    if not isinstance(doc.get("stream", False), bool):
        return "stream: true or false"
    wanted = doc.get("max_tokens", 1)
    if not isinstance(wanted, int) or isinstance(wanted, bool) or wanted < 1:
        return "max_tokens: a whole number above 0"
    return None
