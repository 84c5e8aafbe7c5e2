"""The data folder of a node, as a start opens it."""

import time
from itertools import count
from pathlib import Path
from typing import Any

from sumachook.nodes.serve import USAGE, fail
from sumachook.runtime.log_function import LogFunction
from sumachook.storage.file_system import RealFileSystem
from sumachook.storage.folder import DataFolder, OpenResult
from sumachook.storage.layout import EARLIER_LOG, FILES, IDENTITY_FILES, LOG

EARLIER_LOG_HELP = "the log of an earlier version cannot be taken over; see Upgrade in docs/operations.md"
REOPEN_DELAY_S = 0.25  # between two tries of a disk that refuses
TRIES_PER_LOG_LINE = 40
VOTER_RECORD = "seat"  # the kind of the record that names the voter a data folder belongs to


def open_node_folder(path: str, node: str, log: LogFunction) -> tuple[DataFolder, dict[str, Any]]:
    """The folder and its records; ends the command where it is another node's."""
    folder = DataFolder(RealFileSystem(Path(path)))
    records: dict[str, Any] = open_folder(folder, log).records
    voter = next((record[1] for record in records.get(LOG, ()) if record[0] == VOTER_RECORD), "")
    if voter and voter.rpartition("-")[0] != node:
        fail(USAGE, f"{path}: {LOG}: the folder is of seat {voter!r}, not of node {node!r}")
    return folder, records


def open_folder(folder: DataFolder, log: LogFunction) -> OpenResult:
    """What the data folder holds.

    Waits for as long as the disk refuses, since nothing may be done on what could be lost again.
    """
    path = folder.file_system.location
    opened = _open_when_possible(folder, log)
    if LOG not in opened.records and EARLIER_LOG in folder.file_system.names():
        fail(USAGE, f"{path}: {EARLIER_LOG}: {EARLIER_LOG_HELP}")
    for damage in opened.damages:
        fields = {"file": damage.name, "reason": damage.reason, "kept": damage.kept_as}
        log("error", "storage", "A file is damaged and was set aside.", fields)
    if any(damage.name in IDENTITY_FILES for damage in opened.damages):
        log("error", "storage", "This core gives its identity up and starts as a blank one.", {})
    return opened


def _open_when_possible(folder: DataFolder, log: LogFunction) -> OpenResult:
    for tries in count():
        try:
            return folder.open(FILES, IDENTITY_FILES)
        except (NotADirectoryError, FileExistsError) as error:
            fail(USAGE, f"{folder.file_system.location}: {error.strerror}")
        except OSError as error:
            if tries % TRIES_PER_LOG_LINE == 0:
                log("warning", "storage", "The data folder cannot be opened, trying again.", {"error": str(error)})
            time.sleep(REOPEN_DELAY_S)
    raise AssertionError("unreachable")
