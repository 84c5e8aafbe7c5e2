"""Reads the record that a fake model server keeps of its runs and orders and returns at `/proof`."""

from collections.abc import Iterable

import msgspec

PATH = "/proof"
OK = 200


class ServerRecordError(Exception):
    """A fake model server that should be running did not return its record."""

    def __init__(self, server: str, reason: str):
        super().__init__(f"{server} returned no record of its runs: {reason}")
        self.server, self.reason = server, reason


class ServerRecord(msgspec.Struct, rename="camel"):
    """The record of one model server; every field must be in the response.

    `runs` is {tag of a call: times run}; `broken` lists orders that break a rule, `stale` orders with an old fencing
    token.
    """

    runs: dict[str, int]
    broken: list[str]
    loads: list[list]
    warm_peak: dict[str, int]
    stale: list[list]
    floods: list[list]

    @property
    def prompts(self) -> int:
        """The number of prompt runs; a prompt that ran twice counts twice."""
        return sum(self.runs.values())


def read_server_record(server: str, answer: tuple[int, object] | None) -> ServerRecord:
    """Decodes the record from a response (status, document).

    Raises ServerRecordError if the response is None, has another status than 200 or holds no valid record.
    """
    if answer is None:
        raise ServerRecordError(server, "no answer")
    status, document = answer
    if status != OK:
        raise ServerRecordError(server, f"status {status}")
    try:
        return msgspec.convert(document, ServerRecord)
    except msgspec.ValidationError as error:
        raise ServerRecordError(server, str(error)) from error


def count_prompts(records: Iterable[ServerRecord]) -> int:
    """Returns the number of prompt runs on all servers."""
    return sum(record.prompts for record in records)
