"""python -m harness.breaches: takes one guard out at a time, in a scratch copy, and runs the stories that should see it."""

import argparse
import os
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

ROOT = Path(__file__).parent.parent
REQUESTS, PLACEMENT, LEDGER, CONTROL, DAYS, ACCORD = (f"tests/{name}_stories.py" for name in ("request", "placement", "ledger", "control", "day", "accord"))
SHARES, TOWNS = "tests/allowance_stories.py", "tests/allowance_city_stories.py"
TRANSIT, FORWARD, PROVISION, DUTY, CONFIGURE, LEAVING, DOOR = (
    f"tests/{name}_stories.py" for name in ("transit", "forward", "provision", "duty", "configure", "leaving", "door"))

# 0: the order of changes, 13: allowances (§15), a word: a rule of the platform's pages (§14)
# (rule, what is taken out, the guard's text, what stands in its place, where it should be seen, by name)
# the guard's text is to stand once in the product, or is (file, text) and stands once in that file
BREACHES = (
    (1, "an unsafe prompt is sent again after it was sent", "may_repeat = was_never_sent or row.is_safe", "may_repeat = True",
     REQUESTS, "unsafe_prompt_that_was_sent"),
    (1, "'not run' is told although it was sent", 'row.ran = "maybe" if row.kind == PROMPT else row.ran', "pass", REQUESTS, "unsafe_prompt_that_was_sent"),
    (1, "a key counts at one keeper only", "if answer == \"opened\" and first is not None and first != request:", "if False:",
     REQUESTS, "same_key_at_two_edges"),
    (2, "a resume is not checked for the next id", "if not event_id or next_id(row.resume_from) != event_id:", "if False:", REQUESTS, "does_not_continue"),
    (2, "a stream whose first token is out is sent again", "        if row.reached_caller:\n            return out + self._resume(row, fault, now)\n",
     "", REQUESTS, "never_stitched"),
    (3, "an end without a finish reason counts as the end", "if row.finish is None:", "if False:", REQUESTS, "unfinished_is_cut"),
    (3, "a cut stream is closed in good order", ("inference/settle.py", '("drop", row.cid)]'), '("chunk", row.cid, b"data: [DONE]\\n\\n"), ("end", row.cid)]',
     REQUESTS, "never_stitched"),
    (4, "leaving servers are drawn", ("inference/table.py", 'return not server["leaving"] and self.shunned.get(name, now) <= now and'), "return", PLACEMENT, "leaving_server"),
    (4, "only the leader reads the list", "if self.is_leading or was_seen:", "if self.is_leading:", PLACEMENT, "notice_while"),
    (4, "no word goes ahead of the order", 'out.append(("word", leaving))', "pass", PLACEMENT, "notice_while"),
    (4, "an old comparison may be ordered", "if basis != self.listed_at:", "if False:", "sumachook/catalog", "image_brings_back"),
    (5, "a follower stays with a silent core", "is_quiet = now - max(self.beat_at, self.asked_at) > self.SILENCE", "is_quiet = self.core is None",
     "sumachook/changefeed", "silent_core"),
    (5, "an older image is accepted", "        if body[1] <= self.number:\n            return []\n", "", "sumachook/changefeed", "never_goes_back"),
    (5, "the ack does not wait for the disks of all members", "reached = min(seat.acked.get(name, 0) for name in seat.members)",
     "reached = max(seat.acked.get(name, 0) for name in seat.members)", CONTROL, "dense_faults or power_loss or obeys_within"),
    (5, "an edge goes on by the catalogue that it read first", "if self.table.generation == self.table.state.generation and self.table.callers:", "if self.table.callers:",
     CONTROL, "probe_sees"),
    (6, "evacuated areas are drawn", ("inference/table.py", "self.state.is_open(server[\"area\"]) and is_near"), "is_near", PLACEMENT, "evacuated_area"),
    (6, "an edge in the area goes on admitting", "if not self.table.state.is_open(self.table.area):\n            return faults.EVACUATED", "if False:\n            return faults.EVACUATED",
     PLACEMENT, "evacuated_area"),
    (6, "what came in just after waking is not looked at again", "row.tag, row.is_unsure = tag, self.table.follower.trust(now) == WAITING",
     "row.tag = tag", PLACEMENT, "woken_edge"),
    (6, "a beat from a buffer is believed on waking", "if nonce != self.nonce or address != self.core:", "if address != self.core:",
     "sumachook/changefeed", "never_goes_back"),
    (7, "resends cost nothing", "        self.balance -= 1\n", "", REQUESTS, "do_not_follow_every_refusal"),
    (7, "credit is saved up without end", "self.balance = min(self.cap, self.balance + self.ratio)", "self.balance = self.balance + self.ratio", REQUESTS, "burst_of_faults"),
    (8, "no slow start of a model", "(item, is_warm, lane.by_item.get(item, 0))", "(item, False, 0)", PLACEMENT, "just_woke"),
    (8, "no slow start of a server", "(WHOLE, is_cold, lane.in_use)", "(WHOLE, False, 0)", PLACEMENT, "comes_up_cold"),
    (8, "a new edge takes itself for the only one", "            elif not self.table.knows_edges:\n                return False", "            elif False:\n                return False",
     "sumachook/nodes", "knows_no_other"),
    (9, "room is not counted", "        if room >= size:\n", "        if True:\n", "sumachook/placement", "memory_places_and_pace"),
    (9, "adapter places are not counted", 'if len(holds_now) + len(leaving) < servers[server]["places"]:', "if True:", PLACEMENT, "adapters_asked_for_all_together"),
    (9, "a duty is kept without a lease", "return fence if fence and leased_fence == fence and now < until and not self.quitting else 0", "return fence",
     CONTROL, "woken_duty_holder"),
    (10, "the store's pace is not kept", "if size > budget - begun:", "if False:", "sumachook/placement", "memory_places_and_pace"),
    (10, "several orders go to a server at once", "            if name in self.unanswered:\n                self.budget += size if verb == LOAD else 0.0\n                continue\n",
     "", PLACEMENT, "one_order_at_a_time"),
    (11, "heavy lines have no share", "share = max(1, int(limit * line.share)) if line else 1", "share = limit", REQUESTS, "behind_audits"),
    (11, "lookups stand in lines like prompts", "self.table.lookups.append(row)\n            return []", "self.table.lines.push(row.line, row)\n            return []",
     REQUESTS, "behind_audits"),
    (12, "open rows of a lost edge stay open", "        if not gone:\n            return []\n        for row in gone:", "        if True:\n            return []\n        for row in gone:",
     LEDGER, "killed_edge"),
    (12, "only closings are in the day's log", "            row = self.rows.get(record[\"request\"], record)\n",
     "            row = self.rows.get(record[\"request\"], record)\n            if row[\"state\"] == OPEN:\n                continue\n", LEDGER, "ends_without_calm"),
    (12, "refusals at admission are not recorded", "        self.table.early.append((now, record))\n", "", LEDGER, "total_loss"),
    (12, "nobody carries the records of an edge that is cut off", 'return [("tell", address, parcel) for address in carriers[:2]] if late else []',
     "return []", LEDGER, "carried"),
    (12, "each node believes its own wall clock", "            self.offset, self.is_agreed = median_low(largest), True",
     "            self.offset, self.is_agreed = self.wall() - ZERO - now, True", DAYS, "day"),
    (12, "a retry is sent for the keepers only once", "            if now - entry.asked_at > RESEND:", "            if False:", LEDGER, "half_a_second"),
    (0, "a promise to a higher ballot is not kept", "if tuple(ballot) != seat.view or seat.view != seat.promised or seat.role != \"member\":",
     "if tuple(ballot) != seat.view or seat.role not in (\"member\", \"idle\"):", "sumachook/accord", "higher_ballot"),
    (0, "the longest log counts, not the highest view's", "key=lambda name: (self.answers[name][0], self.answers[name][2], name))",
     "key=lambda name: (self.answers[name][2], name))", "sumachook/accord", "highest_view"),
    (0, "a member that doubted its leader stays out", 'seat.role in ("idle", "asking"):', 'seat.role == "nobody":', "sumachook/accord", "member_again"),
    (0, "the roster grows beyond what the view is a majority of", "if (is_askew or is_pair) and len(seat.members) >= most_of(size + 1 if is_askew else size + 2):",
     "if is_askew or is_pair:", ACCORD, "no_majority_of_it"),
    (0, "an empty disk at a seat's address proves nothing", "lost = [name for name in away if name in gone or away[name] > seat.away_for]",
     "lost = [name for name in away if away[name] > seat.away_for]", ACCORD, "old_address"),
    (0, "a removed seat does not stand again", "if now >= self.tell_at and self.seat.is_forlorn(now):", "if False:", ACCORD, "let_in_again"),
    (0, "a leader that steps back does not say so", 'words = [("tell", address, ("yield", self.seat.ballot)) for address in self.seat.others.values()]',
     "words = []", ACCORD, "stalled_disk"),
    (13, "a lease lasts from when its answer came", "quota.lots.append([requests, tokens, asked_at + LEASE])", "quota.lots.append([requests, tokens, now + LEASE])",
     SHARES, "lease_ends_by_the_clock"),
    (13, "an answer that is older than its lease counts", "is_lapsed = [], now - asked_at >= LEASE", "is_lapsed = [], False", SHARES, "lease_ends_by_the_clock"),
    (13, "an older lender is believed", "if fence < self.fence or number not in self.asks:", "if number not in self.asks:", SHARES, "older_lender"),
    (13, "a lender without its duty lends", "        if not fence:\n            return []\n        self._learn(now)", "        self._learn(now)", SHARES, "lender_that_stood_still"),
    (13, "what is lent is not counted", "        budget.ceiling.take_out(requests, tokens)\n", "", SHARES, "ten_times_its_share"),
    (13, "a new lender begins with all of the burst", "        self.ceiling.add(*terms.floor_burst)\n", "        self.ceiling.add(*terms.burst)\n", SHARES, "new_lender"),
    (13, "floors do not come first", "is_in_floor = budget.floor.covers(requests, tokens)", "is_in_floor = False", SHARES, "floors_come_first"),
    (13, "the capacity is not counted", "        self.pool.take_out(requests, tokens)\n", "", SHARES, "floors_come_first"),
    (13, "near the ceiling the first who asks has it", "if not (is_free or budget.is_inside or share.covers(requests, tokens)):", "if False:", SHARES, "fares_alike"),
    (13, "all that is there is lent ahead", "rooms = [min(max(own, PART * free), PART * level) / wanted", "rooms = [max(own, PART * free) / wanted", SHARES, "leaves_half_for_those"),
    (13, "while nobody lends each router has the whole floor", "        part = 1 / edges if edges else 0.0\n", "        part = 1.0\n", SHARES, "while_nobody_lends"),
    (13, "while nobody lends nothing is let in", "            if self.is_alone and self._spend_own(quota, tokens, now):", "            if False:", SHARES, "while_nobody_lends"),
    (13, "neighbours lend each other nothing", "        if now < quota.beg_at or not self.peers:", "        if True:", SHARES, "while_nobody_lends"),
    (13, "what is lent to a neighbour stays", "                quota.own.take_out(*spare)", "                ()", SHARES, "spend_the_neighbours"),
    (13, "a router that starts has a part at once", "edges = len(table.kin) if table.knows_edges else 0", "edges = len(table.kin)", TOWNS, "new_edge_has_no_part"),
    (13, "a core looks at its lease only with its pulse", '            return self.grantor.take(("asked", *message[1:], self.leases.holds("accountant", now)), now)',
     '            return self.grantor.take(("asked", *message[1:], self.grantor.fence), now)', TOWNS, "lender_that_stood_still"),
    (13, "each refusal is asked for", "if now < quota.dry_until or len(quota.held) >= MOST_HELD:", "if len(quota.held) >= MOST_HELD:", SHARES, "refusal_is_immediate"),
    (13, "charges are not set right", "            quota.give_back(requests, tokens)\n            if self.is_alone:", "            if self.is_alone:", SHARES, "set_right_by_what_came_out"),
    (13, "what lapsed is not given back", "            if now - until < stale:", "            if False:", SHARES, "lapsed_goes_back"),
    (13, "what did not run is charged", '        if row.ran == "no" and ending != "done":\n            return [("over", ("transit"', '        if False:\n            return [("over", ("transit"',
     SHARES, "charge_is_set_right"),
    (13, "a refusal bears a status that is none of a tenant's", "        if fault == faults.ALLOWANCE:\n            status = faults.STATUS[fault]\n", "", SHARES, "denied_row"),
    (13, "the day's log does not say whose allowance it was", 'timespec="milliseconds"), **row.note}', 'timespec="milliseconds")}', SHARES, "denied_row"),
    (13, "what yields takes all places", "            limit //= 2  # it runs where places are free (§15.2)\n        if lane.in_use >= limit or lane.is_down", "            pass\n        if lane.in_use >= limit or lane.is_down",
     SHARES, "what_yields_goes_last"),
    (13, "a row is sent before it has its leave", "        if route.name not in table.tenants:", "        if True:", SHARES, "waits_for_its_leave"),
    (13, "prompts that yield take all places", "            limit = max(1, limit // 2)  # it runs where places are free (§15.2)\n        if lane.in_use >= limit or lane.by_line",
     "            pass\n        if lane.in_use >= limit or lane.by_line", TOWNS, "leave_half"),
    (13, "prompts that yield keep their line's turn", "sorted(self.table.lines.turns(weights), key=lambda turn: turn[1].is_yielding)", "self.table.lines.turns(weights)",
     TOWNS, "whatever_their_line"),
    (13, "what yields keeps its turn", "key=lambda row: (row.is_yielding, row.route.priority, row.number)", "key=lambda row: (row.route.priority, row.number)",
     SHARES, "yields_goes_last"),
    (13, "prompts keep their charge", 'return [("over", ("ferry", row.request), row.tenant, 0, ', 'return [("under", ("ferry", row.request), row.tenant, 0, ', TOWNS, "charged_by_what"),
    (13, "one caller may be in two tenants", "elif name in owners:", "elif False:", "sumachook/catalog", "each_fault_between_tenants"),
    (13, "floors may be more than the capacity", "sum(floors) > capacity[figure]", "False", "sumachook/catalog", "each_fault_between_tenants"),
    ("MIXED", "an answer to another request is taken", "if answer.request_id and row.request.request_id and answer.request_id != row.request.request_id:", "if False:",
     TRANSIT, "bytes_that_are_not"),
    ("MIXED", "an answer without the seal is passed on", "if status < 300 and (not answer.is_sealed or names", "if status < 300 and (names", TRANSIT,
     "bytes_that_are_not"),
    ("MIXED", "an answer with an encoding is passed on", ' or names.get("content-encoding", "identity") != "identity")', ")", TRANSIT, "bytes_that_are_not"),
    ("MIXED", "an answer whose end cannot be told counts as whole", 'outcome = ("end",) if _has_end(answer) else ("fault", "reset")', 'outcome = ("end",)', FORWARD,
     "answer_that_is_not_whole"),
    ("MIXED", "bodies of servers are unpacked on their way", "auto_decompress=False, cookie_jar", "auto_decompress=True, cookie_jar", FORWARD, "packed_body"),
    ("MIXED", "an answer that came before its request is believed", "is_kept = row.may_repeat and row.method != \"GET\"", "is_kept = True", FORWARD,
     "closed or surplus or second_answer"),
    ("TWICE", "what may not run twice is sent again", "is_able = (was_not_run or row.may_repeat) and arrived", "is_able = arrived", TRANSIT, "never_sent_again"),
    ("TWICE", "what went out counts as not run", 'row.was_sent, row.ran = True, "maybe"', "row.was_sent = True", TRANSIT, "never_sent_again"),
    ("TWICE", "the client library sends again by itself", "session._retry_connection = False", "pass", FORWARD, "machine_did_not_send"),
    ("TWICE", "a refused connection takes an earlier send back", '("no", True) if not row.sent_to else (row.ran, row.may_repeat)', '("no", True)', TRANSIT,
     "refused_connection_after"),
    ("REFUSED", "a full server takes an earlier send back", "row.ran = row.ran_before", 'row.ran = "no"', TRANSIT, "refused_connection_after"),
    ("REFUSED", "503 is told of what may have run", 'status = 503 if row.ran == "no" else 504 if', "status = 503 if True else 504 if", TRANSIT, "never_gets_503"),
    ("REFUSED", "a server's 503 without its mark is passed on", "if status in PROMISES:", "if False:", TRANSIT, "never_sent_again"),
    ("REFUSED", "a running try is not called off by a refusal", '[("unfetch", row.tid)] if row.tid is not None and row.state in (TRYING, STREAMING) else []', "[]",
     TRANSIT, "at_once_and_final"),
    ("ROUTE", "a request does not say whom it is meant for", ", (self.INSTANCE, instance), ", ", ", TRANSIT, "pass_unchanged_but"),
    ("ROUTE", "a client's own word of whom it is meant for goes on", "own = {self.DEADLINE, self.INSTANCE, ", "own = {self.DEADLINE, ", TRANSIT,
     "pass_unchanged_but"),
    ("ROUTE", "servers of other services are asked", 'if server.get("service") == service and self.is_usable', "if self.is_usable", TRANSIT, "another_service"),
    ("ROUTE", "what came in just after waking goes by the old catalogue", "if row.is_unsure and not self._still_leads_there(row):", "if False:", TRANSIT,
     "newer_catalogue"),
    ("ROUTE", "a node that is not in touch says 404", "if trust != FRESH:  # just", "if False:  # just", TRANSIT, "not_found_is_said"),
    ("ROUTE", "bytes that would be sent in another form are passed", 'if "#" in request.raw_path or', "if False and", FORWARD, "cannot_go_through"),
    ("DRAIN", "leaving servers are asked", ("forwarding/table.py", 'return not server["leaving"] and'), "return", TRANSIT, "that_leave"),
    ("DRAIN", "word that servers leave does not count", ("forwarding/table.py", "self.shunned.get(name, now) <= now and "), "", TRANSIT, "that_leave"),
    ("DRAIN", "a holder orders loads at leaving servers", 'server.is_closed = bool(item["leaving"]) or', "server.is_closed =", PROVISION, "leaving_evacuated"),
    ("EVAC", "servers in a closed area are asked", ("forwarding/table.py", 'self.state.is_open(server["area"]) and '), "", TRANSIT, "closed_area"),
    ("EVAC", "a node that is cut off goes on in other areas", ("forwarding/table.py", 'is_near = trust != CUT or server["area"] == self.area'), "is_near = True", TRANSIT,
     "cut_off_stays"),
    ("EVAC", "a node that just woke goes on sending", ("forwarding/choose.py", "if trust in (EMPTY, NOT_SURE):"), "if trust == EMPTY:", TRANSIT, "cut_off_stays"),
    ("EVAC", "a holder orders loads in closed areas", ' or item["area"] in self.state.evacuated', "", PROVISION, "leaving_evacuated"),
    ("LOST", "a shut front lets in", "if table.is_shut:", "if False:", LEAVING, "once_the_front_is_shut"),
    ("LOST", "connections on which a request has begun meanwhile are closed",
     "            if transport in self.in_hand:\n                transport.resume_reading()\n            else:\n                transport.close()", "            transport.close()",
     LEAVING, "rest_of_its_body"),
    ("LOST", "a request that had begun is read no further", "                transport.resume_reading()", "                pass", LEAVING, "rest_of_its_body"),
    ("LOST", "a shut front goes on taking connections", "        self.listener.close()\n        idle", "        idle", LEAVING, "in_hand_when_the_front"),
    ("LOST", "idle connections stay when the front is shut", "self._close_idle(idle, TURNS)", "pass", LEAVING, "in_hand_when_the_front"),
    ("LOST", "idle connections are closed before what was read has begun", "self._close_idle(idle, TURNS)", "self._close_idle(idle, 0)", LEAVING, "closed_unread"),
    ("LOST", "a shut front goes on reading what it will not answer", "transport.pause_reading()  # what", "pass  # what", LEAVING, "after_the_front_was_shut"),
    ("LOST", "a leaving node's answers do not say that they are the last", 'return (*headers, ("Connection", "close")) if self.is_draining else headers',
     "return headers", TRANSIT, "leaving_node"),
    ("LOST", "the front is shut before anybody can have seen that it is not ready", "since >= LEAST_OPEN and (", "(", LEAVING, "nobody_comes"),
    ("LOST", "the front is shut while clients come", "(is_quiet or since >= MOST_OPEN", "(True or since >= MOST_OPEN", LEAVING, "clients_go_on or last_client"),
    ("LOST", "the front is never shut while clients come", "(is_quiet or since >= MOST_OPEN * timedelta(seconds=self.params.grace))", "is_quiet", LEAVING,
     "clients_go_on"),
    ("LOST", "no last words", 'out += path.take(("cut-short",), now)', "pass", LEAVING, "last_words"),
    ("LOST", "last words are spoken as soon as the front is shut", "        if now >= self.stop_by:\n            for path",
     "        if self.is_shut:\n            for path", LEAVING, "in_hand"),
    ("LOST", "the node leaves with requests in hand", "if is_done and self.is_shut and not self.transit.table.rows else out", "if self.is_shut else out", LEAVING,
     "in_hand_is_finished"),
    ("LOST", "a leaving node says that it is ready", 'and self.stop_by is None and is_open', "and is_open", LEAVING, "nobody_comes"),
    ("LOST", "the process ends before its last words are out", "await asyncio.sleep(LAST_WORDS.total_seconds())", "pass", LEAVING, "goes_out_before"),
    ("LOST", "half a head keeps its connection for ever", "            if now - since > IDLE.total_seconds():", "            if False:", DOOR, "whole_head"),
    ("LOST", "the sweep closes connections in use", "if transport is None or transport in self.in_hand:", "if transport is None:", DOOR, "in_use"),
    ("LOST", "idle time before an answer counts after it", "        self.idle_since.pop(transport, None)\n", "", DOOR, "in_use"),
    ("BUDGET", "resends cost nothing", "row.needs_credit = row.needs_credit or bool(row.sent_to)", "row.needs_credit = False", TRANSIT, "any_window"),
    ("BUDGET", "what all edges saved up is not bounded", "self.purse.cap = max(1.0, SLACK_PART * self.params.resend_slack / len(self.ferry.table.kin))", "pass",
     TRANSIT, "slack"),
    ("BUDGET", "a request goes to any number of servers", "if len(row.sent_to) >= row.route.tries:", "if False:", TRANSIT, "no_more_servers or tries_and_servers"),
    ("BUDGET", "a request goes round for ever", " and arrived < max(row.route.tries, MOST_TRIES)", "", TRANSIT, "tries"),
    ("ORDER", "a resume that does not go on is joined", "if row.reached_client and not _goes_on(row.last_event_id, events):", "if False:", TRANSIT, "never_joined"),
    ("ORDER", "a resume may repeat the last event", "return int(first) > int(last) if", "return int(first) >= int(last) if", TRANSIT, "never_joined"),
    ("ORDER", "a cut stream is closed in good order", '[*out, ("drop", row.cid)]', '[*out, ("end", row.cid)]', TRANSIT, "without_a_closing_mark"),
    ("ORDER", "the connection of a cut stream gets its closing chunk", "            else:\n                self._abort(request)",
     "            else:\n                await answer.write_eof()\n                return answer", FORWARD, "never_looks_whole"),
    ("ORDER", "an end within an event counts as the end", "if row.buffer or not row.reached_client:", "if False:", TRANSIT, "without_a_closing_mark"),
    ("ORDER", "a stream that may not be resumed is", "is_able = row.route.resumable and row.last_event_id", "is_able = row.last_event_id", TRANSIT,
     "without_a_closing_mark"),
    ("ORDER", "half an event is passed on", "end = max(row.buffer.rfind(mark) + len(mark) if mark in row.buffer else 0 for mark in EVENT_END)",
     "end = len(row.buffer)", TRANSIT, "only_whole"),
    ("ORDER", "a stream is taken up without end", "row.route.resumable and row.last_event_id and row.resumes < MOST_RESUMES",
     "row.route.resumable and row.last_event_id", TRANSIT, "resume_is_bounded"),
    ("ORDER", "a whole body is joined to a stream", "        if row.reached_client:\n            return self.resend.take(row, faults.CUT.because(\"no stream",
     "        if False:\n            return self.resend.take(row, faults.CUT.because(\"no stream", TRANSIT, "resume_that_is_turned_away"),
    ("ORDER", "a refused resume is joined to a stream", "if status >= 300 and row.reached_client:", "if False:", TRANSIT, "resume_that_is_refused"),
    ("FAILBACK", "cold servers are not bounded", "if self._is_cold(name, server, service, now) and not", "if False and not", TRANSIT, "cold"),
    ("FAILBACK", "each edge takes all that a cold server bears", "service.cold_per_s / table.edges, now)", "service.cold_per_s, now)", TRANSIT, "share_a_second"),
    ("FAILBACK", "what goes to a cold server is not counted", "            lane.enter_cold()", "            pass", TRANSIT, "share_a_second"),
    ("FAILBACK", "what a cold server bears is saved up", "self.tokens = min(1.0, self.tokens + per_second * (now - self.tokens_at).total_seconds())",
     "self.tokens += per_second * (now - self.tokens_at).total_seconds()", TRANSIT, "saved_up"),
    ("FAILBACK", "a server's word that it is cold does not count", "if answer.cold_ms:", "if False:", TRANSIT, "says_it_is_cold"),
    ("CONFIG", "a change on an older base is taken", "if if_version != self.version:", "if False:", CONFIGURE, "base_and_version"),
    ("CONFIG", "a version that does not rise is taken", "if version <= self.version:", "if False:", CONFIGURE, "base_and_version"),
    ("CONFIG", "a repeat is not known again", "if self.taken.get(version) == digest:", "if False:", CONFIGURE, "acknowledged_again"),
    ("CONFIG", "any content under a version taken is a repeat", "if self.taken.get(version) == digest:", "if version in self.taken:", CONFIGURE,
     "acknowledged_again"),
    ("CONFIG", "the order of fields makes other content", 'encode(content, order="deterministic")', "encode(content)", CONFIGURE, "acknowledged_again"),
    ("CONFIG", "a refused version is used up", '        if result[0] == "ok":\n            self.taken', "        if True:\n            self.taken", CONFIGURE,
     "again_unchanged"),
    ("LIMIT", "room is not counted", "left, size = self.room.left(server.models), ", "left, size = 1e9, ", PROVISION, "room_pace"),
    ("LIMIT", "adapters take no room", "item.size_mb + item.adapter_mb * len(adapters) if item", "item.size_mb if item", "sumachook/placement/room.py", "Room"),
    ("LIMIT", "several orders go to a server at once", "self.order is None and not self.asked", "not self.asked", PROVISION, "no_other_order"),
    ("LIMIT", "orders do not name the count of orders", "self.node, self.fence, server.sequence)", "self.node, self.fence, None)", PROVISION, "room_pace"),
    ("LIMIT", "a picture in doubt is not read again", "self.is_read, self.order, self.ask_at, self.intent = False, None",
     "self.is_read, self.order, self.ask_at, self.intent = True, None", PROVISION, "room_pace"),
    ("LIMIT", "a new holder orders what it has not read", "return self.is_open and self.is_read and", "return self.is_open and", PROVISION, "only_that_it_is_busy"),
    ("LIMIT", "adapter places are not counted", "taken < self.engine.adapter_places and ", "", PROVISION, "room_pace"),
    ("LIMIT", "an unknown model takes no room", 'if item else float("inf")', "if item else 0.0", "sumachook/placement/room.py", "Room"),
    ("LIMIT", "an order that a server carries out is counted again", "        if order.is_taken:  # the same order", "        if False:  # the same order", PROVISION,
     "not_counted"),
    ("CEILING", "a new holder begins with a full bucket", "self.tokens, self.at = 0.0, now", "self.tokens, self.at = self.BURST, now", PROVISION, "ceiling"),
    ("CEILING", "loads from the store are not counted", "        if is_stored:\n            self.pace.spend()", "        if False:\n            self.pace.spend()",
     PROVISION, "ceiling"),
    ("CEILING", "an empty bucket stops no load", "if not is_own and not may_store:", "if False:", PROVISION, "ceiling"),
    ("CEILING", "the bucket holds any number", "self.tokens = min(self.BURST, self.tokens + per_second", "self.tokens = (self.tokens + per_second", PROVISION,
     "long_calm"),
    ("CEILING", "a load that may have begun is given back", " and order.asks == 1 and is_unsent:", ":", PROVISION, "are_lost"),
    ("ONE", "orders go out after the lease", "if not self._is_holder(now) or (kind", "if not self.fence or (kind", PROVISION, "no_order_after"),
    ("ONE", "orders do not bear the holder's fence", "self.node, self.fence, server.sequence)", "self.node, 1, server.sequence)", PROVISION, "no_other_order"),
    ("ONE", "a holder that is outdone goes on", "            self.is_outdone = True", "            self.is_outdone = False", PROVISION, "outdone"),
    ("ONE", "news of an older holder is believed", "if fence < self.fence or (source", "if (source", PROVISION, "older_fences"),
    ("ONE", "a lease lasts from when its answer came", "until = timedelta(seconds=sent) + self.lease", "until = now + self.lease", DUTY, "renewal_was_sent"),
    ("ONE", "a seat votes while a lease that it prolonged may run", "return not self.is_fenced or now - self.answered_at.get(duty, self.started_at) > self.vacant_after",
     "return True", DUTY, "never_two"),
    ("ONE", "a duty given back is kept", "and now < until and not self.quitting else 0", "and now < until else 0", DUTY, "after_a_duty_was_given_back"),
    ("ONE", "a minority prolongs a lease", "if len(self.answers[(duty, fence, sent)]) >= self._most():", "if True:", DUTY, "never_two"),
    ("NEWS", "news does not bear the life of the holder's process", "        source = (fence, life)", "        source = (fence, 0)", PROVISION, "started_anew"),
    ("NEWS", "a gap in the news is not seen", "and number == self.number + (1 if servers else 0):", "and number > self.number:", "sumachook/placement/places.py",
     "Places"),
    ("NEWS", "a new edge is told nothing", "        return [(\"tell\", address, self._whole()) for address in edges if address not in known] if self.is_open else []",
     "        return []", PROVISION, "edge_that_comes"),
    ("PARKED", "any number of requests waits for a catalogue", " or len(self.table.parked) >= MOST_ROWS:", ":", TRANSIT, "bounded"),
    ("PARKED", "a request waits for a catalogue for ever", "if now - arrived_at >= min(PARK_MOST, patience * PARK_PART) or", "if", TRANSIT, "not_found_is_said"),
    ("PARKED", "what hung up while it waited is let in", "self.table.parked.pop(message[1], None)", "pass", TRANSIT, "before_the_catalogue"),
    ("PARKED", "any number of requests is in hand", "if len(table.rows) >= MOST_ROWS:", "if False:", TRANSIT, "bounded"),
)


def try_breach(breach) -> str:
    """'caught', 'not caught', or why it could not be tried."""
    _, _, guard, instead, where, stories = breach
    file, guard = guard if isinstance(guard, tuple) else ("", guard)
    with tempfile.TemporaryDirectory(prefix="breach-") as folder:
        copy = Path(folder) / "copy"
        shutil.copytree(ROOT, copy, ignore=shutil.ignore_patterns(".git", "__pycache__", ".pytest_cache"))
        found = [path for path in (copy / "sumachook").rglob("*.py") if str(path).endswith(file) and guard in path.read_text()]
        if len(found) != 1 or found[0].read_text().count(guard) != 1:
            return f"the guard's text stands {sum(path.read_text().count(guard) for path in found)} times, not once"
        found[0].write_text(found[0].read_text().replace(guard, instead))
        command = [sys.executable, "-m", "pytest", "-q", "-x", "-n", "0", "-p", "no:cacheprovider", where, "-k", stories]
        done = subprocess.run(command, cwd=copy, env={**os.environ, "PYTHONDONTWRITEBYTECODE": "1"}, capture_output=True, text=True, timeout=400)
        return {0: "not caught", 1: "caught"}.get(done.returncode, f"pytest ended with {done.returncode}")


def main():
    parser = argparse.ArgumentParser(prog="python -m harness.breaches", description=__doc__)
    parser.add_argument("--rule", help="only those of one rule (0: the order of changes; or a rule of the platform's pages, as MIXED)")
    parser.add_argument("--workers", type=int, default=8, help="how many are tried at once")
    given = parser.parse_args()
    chosen = [breach for breach in BREACHES if given.rule is None or str(breach[0]) == given.rule]
    print("| rule | taken out | stories | |\n|---|---|---|---|")
    with ThreadPoolExecutor(given.workers) as pool:
        results = list(pool.map(try_breach, chosen))
    for breach, result in zip(chosen, results):
        print(f"| {breach[0]} | {breach[1]} | `{breach[4]}` {breach[5]} | {result} |")
    missed = sum(result != "caught" for result in results)
    print(f"{len(chosen)} breaches, {missed} not caught")
    raise SystemExit(1 if missed else 0)


if __name__ == "__main__":
    main()
