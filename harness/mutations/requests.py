"""Guards of requests of the brief: attempts, streams, warming up, queues and the ledger, one at a time, for `python -m harness breaches`."""

from harness.mutations.mutation import Mutation

REQUESTS = "tests/inference/test_requests.py"
PLACEMENT = "tests/placement/test_placement.py"
LEDGER = "tests/ledger/test_ledger.py"
DAYS = "tests/ledger/test_day_logs.py"

REQUESTS_MUTATIONS = (
    Mutation(
        1,
        "an unsafe prompt is sent again after it was sent",
        "may_repeat = request.run_history.may_send_again(request.is_safe)",
        "may_repeat = True",
        REQUESTS,
        "sent_non_idempotent_prompt",
    ),
    Mutation(
        1,
        "'not run' is told although it was sent",
        "def _handle_sent(self, request: InferenceRequest, event: Any, now: timedelta) -> list[Any]:\n        request.run_history.note_first_byte()\n",
        "def _handle_sent(self, request: InferenceRequest, event: Any, now: timedelta) -> list[Any]:\n",
        REQUESTS,
        "unresponsive_server",
        file="inference/response_relay.py",
    ),
    Mutation(
        1,
        "a key counts at one keeper only",
        "if isinstance(message, OpenRecords) and first is not None and first != request:",
        "if False:",
        REQUESTS,
        "one_idempotency_key",
    ),
    Mutation(
        2,
        "a resume is not checked for the next id",
        "if not event.event_id or next_id(request.resume_from) != event.event_id:",
        "if False:",
        REQUESTS,
        "skips_an_event",
    ),
    Mutation(
        2,
        "a stream whose first token is out is sent again",
        "        if request.reached_client:\n            return effects + self._resume(request, failure, now)\n",
        "",
        REQUESTS,
        "not_continued_elsewhere",
    ),
    Mutation(
        3,
        "an end without a finish reason counts as the end",
        "if request.finish_reason is None:",
        "if False:",
        REQUESTS,
        "without_a_finish_reason",
    ),
    Mutation(
        3,
        "an interrupted stream is ended as if complete",
        "AbortResponse(request.call_id)]",
        'SendChunk(request.call_id, b"data: [DONE]\\n\\n")]',
        REQUESTS,
        "not_continued_elsewhere",
        file="inference/settle.py",
    ),
    Mutation(7, "resends cost nothing", "        bucket.balance -= 1\n", "", REQUESTS, "all_servers_are_busy"),
    Mutation(
        7,
        "credit is saved up without end",
        (
            "        if bucket.balance < self.cap:\n"
            "            bucket.balance = min(self.cap, bucket.balance + self.ratio)\n"
        ),
        "        bucket.balance, bucket.borrowed_until = bucket.balance + self.ratio, timedelta.max\n",
        REQUESTS,
        "burst_of_failures",
    ),
    Mutation(
        8,
        "no slow start of a model",
        "self._allows_slow_start(name, item, is_warming, in_use.get(item, 0), now) and ",
        "",
        PLACEMENT,
        "just_loaded",
    ),
    Mutation(
        8,
        "no slow start of a server",
        "name, WHOLE_SERVER, is_cold, server_window.in_use, now",
        "name, WHOLE_SERVER, False, 0, now",
        PLACEMENT,
        "restarted_empty",
    ),
    Mutation(
        8,
        "a new edge takes itself for the only one",
        "        if not self.table.knows_edges:\n            return False",
        "        if False:\n            return False",
        "tests/nodes/test_edge_alone.py",
        "knows_no_other",
    ),
    Mutation(
        11,
        "heavy lines have no share",
        "queue_limit = max(1, int(limit * queue.share)) if queue else 1",
        "queue_limit = limit",
        REQUESTS,
        "flood_of_slow_prompts",
    ),
    Mutation(
        11,
        "lookups stand in lines like prompts",
        "        if request.kind == LOOKUP:\n            self.table.add_to_queue(request)\n            return []",
        "        if request.kind == LOOKUP:\n            self.table.queues.push(request.queue, request)\n            return []",
        REQUESTS,
        "flood_of_slow_prompts",
    ),
    Mutation(
        12,
        "open records of a lost edge stay open",
        "        if not lost:\n            return []\n        ended_at = ",
        "        if True:\n            return []\n        ended_at = ",
        LEDGER,
        "killed_edge",
    ),
    Mutation(
        12,
        "only closing records are written to the day log",
        '            record = self.find(copy.record["request"]) or copy.record\n',
        '            record = self.find(copy.record["request"]) or copy.record\n            if record["state"] == OPEN:\n                continue\n',
        LEDGER,
        "permanent_loss",
    ),
    Mutation(
        12,
        "refusals at admission are not recorded",
        "        self.table.unstamped_records.append((now, record))\n",
        "",
        LEDGER,
        "total_loss",
    ),
    Mutation(
        12,
        "records of a partitioned edge are not relayed",
        "return [Send(address, message) for address in relays[:RELAY_COUNT]] if overdue else []",
        "return []",
        LEDGER,
        "relayed_by_other_edges",
    ),
    Mutation(
        12,
        "each node uses its own wall clock as the cluster time",
        "            self.offset = median_low(agreeing)",
        "            self.offset = self._wall() - UNIX_EPOCH - now",
        DAYS,
        "day",
    ),
    Mutation(
        12,
        "an unacknowledged record is not resent to its replicas",
        "        if now - pending.sent_at > RESEND_AFTER:",
        "        if False:",
        LEDGER,
        "half_a_second",
    ),
)
