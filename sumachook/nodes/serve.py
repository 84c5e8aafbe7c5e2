"""Runs one node as a process, wherever its settings come from."""

import asyncio
import os
import sys
import time
from collections.abc import Callable
from itertools import count
from pathlib import Path
from random import Random
from typing import Any, NamedTuple, NoReturn

from sumachook.configuration.node_settings import NodeSettings
from sumachook.host.machine import NodeMachine
from sumachook.nodes.daemon import Daemon, LogFunction
from sumachook.nodes.logs import Logs
from sumachook.runtime.clock import Clock
from sumachook.storage.file_system import RealFileSystem
from sumachook.storage.folder import DataFolder, Opened
from sumachook.storage.layout import EARLIER_LOG, FILES, IDENTITY_FILES, LOG

# exit codes of all commands
REFUSED, USAGE, UNREACHED = 1, 2, 4
MAX_OPERATOR_BODY_BYTES = 4 << 20
EARLIER_LOG_HELP = "the log of an earlier version cannot be taken over; see Upgrade in docs/operations.md"
REOPEN_DELAY_S = 0.25  # between two tries of a disk that refuses
TRIES_PER_LOG_LINE = 40
VOTER_RECORD = "seat"  # the kind of the record that names the voter a data folder belongs to


def fail(code: int, *lines: str) -> NoReturn:
    """Ends the command with this exit code, and these lines on standard error."""
    for line in lines:
        print(line, file=sys.stderr)
    raise SystemExit(code)


def run_daemon(daemon: Daemon) -> NoReturn:
    """Serves until the machine of the daemon asks to exit, and ends the process."""
    try:
        code = asyncio.run(daemon.run())
    except OSError as error:
        fail(USAGE, f"cannot serve: {error}")
    raise SystemExit(code)


def open_folder(folder: DataFolder, log: LogFunction) -> Opened:
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


def _open_when_possible(folder: DataFolder, log: LogFunction) -> Opened:
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


def _check_owner(records: dict[str, Any], settings: NodeSettings) -> None:
    voter = next((record[1] for record in records.get(LOG, ()) if record[0] == VOTER_RECORD), "")
    if voter and voter.rpartition("-")[0] != settings.node:
        fail(USAGE, f"{settings.data}: {LOG}: the folder is of seat {voter!r}, not of node {settings.node!r}")


class NodeStart(NamedTuple):
    """What the state machine of a node is made from, in the order of its parameters."""

    settings: NodeSettings
    records: dict[str, Any]
    restart_epoch: int
    clock: Clock
    random: Random


def serve(
    settings: NodeSettings,
    role: str,
    make: Callable[[NodeStart], NodeMachine],
    started: Callable[[], None] = lambda: None,
) -> NoReturn:
    """Loads the data folder, makes the machine and serves until it leaves (docs/design/processes.md).

    `started` is called ahead of serving.
    """
    logs = Logs(settings.node, settings.log_level)
    folder = None
    records: dict[str, Any] = {}
    if settings.data:
        folder = DataFolder(RealFileSystem(Path(settings.data)))
        records = open_folder(folder, logs.log).records
    _check_owner(records, settings)
    clock = Clock()
    restart_epoch = time.time_ns() // 1_000_000
    random = Random(int.from_bytes(os.urandom(8), "big"))
    daemon = Daemon(
        make(NodeStart(settings, records, restart_epoch, clock, random)),
        clock,
        logs.log,
        settings.http_address,
        settings.address,
        settings.cluster,
        folder,
        settings.front,
        MAX_OPERATOR_BODY_BYTES if role == "core" else None,
    )
    fields = {
        "address": settings.address,
        "door": settings.http_address,
        "area": settings.zone,
        "boot": restart_epoch,
    }
    logs.log("info", role, "Starting.", fields)
    started()
    run_daemon(daemon)
