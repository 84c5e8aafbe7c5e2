"""Judges the calls of a run by the model servers' records: calls run twice, and calls reported as not run that ran."""

import json
from collections import Counter
from collections.abc import Collection, Sequence
from dataclasses import dataclass
from pathlib import Path

from harness.local_cluster.server_record import ServerRecord, count_prompts


@dataclass(frozen=True, slots=True)
class RunVerdict:
    """The verdict on a run: tags of wrongly executed calls, and the servers' lines about orders beyond their memory.

    The verdict is based on `answered` calls and `prompts` run; a run without either proves nothing.
    """

    answered: int
    prompts: int
    run_twice: Sequence[str]
    run_despite_promise: Sequence[str]
    beyond_memory: Sequence[str]

    @property
    def has_judged(self) -> bool:
        return self.answered > 0 and self.prompts > 0

    @property
    def is_good(self) -> bool:
        return self.has_judged and not (self.run_twice or self.run_despite_promise or self.beyond_memory)

    def describe(self) -> str:
        """Returns the verdict as one line of a report."""
        line = (
            f"model servers ran {self.prompts} prompts for {self.answered} calls answered: "
            f"{len(self.run_twice)} non-idempotent calls run twice, "
            f"{len(self.run_despite_promise)} calls run but reported as not run, "
            f"{len(self.beyond_memory)} orders beyond memory"
        )
        return line if self.has_judged else line + "; NOTHING WAS JUDGED"


def judge_runs(calls: Sequence[dict], records: Collection[ServerRecord]) -> RunVerdict:
    """Judges the calls of a call log by the records of all model servers."""
    runs: Counter[str] = Counter()
    for record in records:
        runs.update(record.runs)
    return RunVerdict(
        answered=sum(call["outcome"] == "ok" for call in calls),
        prompts=count_prompts(records),
        run_twice=[call["tag"] for call in calls if not call["safe"] and runs[call["tag"]] > 1],
        run_despite_promise=[call["tag"] for call in calls if call["run"] == "no" and runs[call["tag"]]],
        beyond_memory=[line for record in records for line in record.broken],
    )


def read_calls(log: Path) -> list[dict]:
    """Reads the calls from a log with one JSON document per line."""
    return [json.loads(line) for line in log.read_text().splitlines()]
