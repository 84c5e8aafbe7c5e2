"""Runs one node as a process, however its params were come by."""

import asyncio
import os
import sys
import time
from pathlib import Path
from random import Random

from sumachook.fault import Fault
from sumachook.nodes.daemon import Daemon
from sumachook.nodes.logs import Logs
from sumachook.runtime.clock import Clock
from sumachook.storage.folder import Folder

REFUSED, USAGE, DAMAGED, UNREACHED = 1, 2, 3, 4
MOST_OPERATOR_BODY = 8 << 20
FILES = ("consensus", "ledger", "image", "spool")


def fail(code: int, *lines: str):
    for line in lines:
        print(line, file=sys.stderr)
    raise SystemExit(code)


def run_daemon(daemon):
    try:
        code = asyncio.run(daemon.run())
    except OSError as error:
        fail(USAGE, f"cannot serve: {error}")
    raise SystemExit(code)


def serve(params, role: str, make):
    """Loads the data folder, makes the machine with `make(params, records, boot, clock, draw)` and serves until it leaves (§1.3)."""
    logs = Logs(params.node, params.log_level)
    folder = Folder(Path(params.data)) if params.data else None
    records = {}
    for name in FILES if folder else ():
        records[name] = folder.load(name)
        if isinstance(records[name], Fault):
            logs.log("error", "vault", "A file is damaged, not starting.", {"reason": str(records[name])})
            fail(DAMAGED, f"{params.data}: {records[name]}")
    seat = next((record[1] for record in records.get("consensus", ()) if record[0] == "seat"), "")
    if seat and seat.rpartition("-")[0] != params.node:
        fail(USAGE, f"{params.data}: consensus: the folder is of seat {seat!r}, not of node {params.node!r}")
    clock, boot = Clock(), time.time_ns() // 1_000_000
    machine = make(params, records, boot, clock, Random(int.from_bytes(os.urandom(8), "big")))
    daemon = Daemon(
        machine,
        clock,
        logs.log,
        params.door,
        params.address,
        params.cluster,
        folder,
        params.front,
        MOST_OPERATOR_BODY if role == "core" else None,
    )
    logs.log(
        "info", role, "Starting.", {"address": params.address, "door": params.door, "area": params.area, "boot": boot}
    )
    run_daemon(daemon)
