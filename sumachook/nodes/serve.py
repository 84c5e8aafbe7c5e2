"""Runs one node as a process, independently of the source of its settings."""

import asyncio
import os
import sys
import time
from collections.abc import Callable
from random import Random
from typing import Any, NamedTuple, NoReturn

from sumachook.configuration.node_settings import NodeSettings
from sumachook.host.machine import NodeMachine
from sumachook.nodes.daemon import Daemon
from sumachook.nodes.logs import Logs
from sumachook.nodes.machine_limits import MachineLimits
from sumachook.runtime.clock import Clock

# exit codes of all commands: refused by the cluster, wrong usage, no core reached
REFUSED, USAGE, UNREACHED = 1, 2, 4
MAX_OPERATOR_BODY_BYTES = 4 << 20


def fail(code: int, *lines: str) -> NoReturn:
    """Prints the lines to standard error and exits with this code."""
    for line in lines:
        print(line, file=sys.stderr)
    raise SystemExit(code)


def run_daemon(daemon: Daemon) -> NoReturn:
    """Serves until the daemon's machine returns `Exit`, then exits; exits with `USAGE` if a socket cannot be opened."""
    try:
        code = asyncio.run(daemon.run())
    except OSError as error:
        fail(USAGE, f"cannot start the servers: {error}")
    raise SystemExit(code)


class NodeStart(NamedTuple):
    """The arguments of a node's state machine, in the order of its parameters."""

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
    """Opens the data folder, creates the machine and serves until it exits (docs/design/processes.md).

    `started` is called just before serving starts.
    """
    logs = Logs(settings.node, settings.log_level)
    folder = None
    records: dict[str, Any] = {}
    if settings.data:
        # imported here: an edge without a data folder starts faster without this module
        from sumachook.nodes.data_folder import open_node_folder

        folder, records = open_node_folder(settings.data, settings.node, logs.log)
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
        MachineLimits(settings.memory_mb, settings.descriptors),
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
