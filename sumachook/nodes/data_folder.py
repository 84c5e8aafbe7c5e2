"""Opens a node's data folder at the start of the process."""

import time
from itertools import count
from pathlib import Path
from typing import Any

from sumachook.nodes.serve import USAGE, fail
from sumachook.runtime.log_function import LogFunction
from sumachook.storage.file_system import RealFileSystem
from sumachook.storage.folder import DataFolder, OpenResult
from sumachook.storage.layout import EARLIER_LOG, FILES, IDENTITY_FILES, LOG

EARLIER_LOG_HELP = "the log of an earlier version cannot be migrated; see Upgrade in docs/operations.md"
REOPEN_DELAY_S = 0.25  # seconds between two attempts to open the folder on a failing disk
TRIES_PER_LOG_LINE = 40
VOTER_RECORD = "seat"  # kind of the log record that names the voter a data folder belongs to


def open_node_folder(path: str, node: str, log: LogFunction) -> tuple[DataFolder, dict[str, Any]]:
    """Opens the folder and returns it with its records; exits with `USAGE` if it belongs to another node."""
    folder = DataFolder(RealFileSystem(Path(path)))
    records: dict[str, Any] = open_folder(folder, log).records
    voter = next((record[1] for record in records.get(LOG, ()) if record[0] == VOTER_RECORD), "")
    if voter and voter.rpartition("-")[0] != node:
        fail(USAGE, f"{path}: {LOG}: the folder belongs to voter {voter!r}, not to node {node!r}")
    return folder, records


def open_folder(folder: DataFolder, log: LogFunction) -> OpenResult:
    """Reads the data folder and logs damaged files; exits with `USAGE` if it contains the log of an earlier version.

    Retries for as long as the disk fails: a node must not act on data that could be lost again.
    """
    path = folder.file_system.location
    opened = _open_when_possible(folder, log)
    if LOG not in opened.records and EARLIER_LOG in folder.file_system.names():
        fail(USAGE, f"{path}: {EARLIER_LOG}: {EARLIER_LOG_HELP}")
    for damage in opened.damages:
        fields = {"file": damage.name, "reason": damage.reason, "kept": damage.kept_as}
        log("error", "storage", "Found a damaged file and renamed it.", fields)
    if any(damage.name in IDENTITY_FILES for damage in opened.damages):
        log("error", "storage", "Identity lost to a damaged file: this core starts as a new voter.", {})
    return opened


def _open_when_possible(folder: DataFolder, log: LogFunction) -> OpenResult:
    for tries in count():
        try:
            return folder.open(FILES, IDENTITY_FILES)
        except (NotADirectoryError, FileExistsError) as error:
            fail(USAGE, f"{folder.file_system.location}: {error.strerror}")
        except OSError as error:
            if tries % TRIES_PER_LOG_LINE == 0:
                log("warning", "storage", "Cannot open the data folder, retrying.", {"error": str(error)})
            time.sleep(REOPEN_DELAY_S)
    raise AssertionError("unreachable")
