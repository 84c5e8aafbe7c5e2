"""A simulated cluster that starts from the committed data folders of an earlier version."""

import json
from pathlib import Path

import msgspec

from sumachook.control_state.state import State
from sumachook.simulation.deployment import Deployment, DeploymentSpec
from sumachook.transport.codec import read_entry
from tests.deployment_fixtures import spec

STORED = Path(__file__).parent.parent / "fixtures" / "stored"
RECORD_FILES = {"core": ("consensus", "ledger"), "edge": ("image", "spool")}
NODES = ("core-1", "core-2", "core-3", "edge-1")


MODELS = ("refund-01", "refund-02", "refund-03")


def small_spec() -> DeploymentSpec:
    """Returns the deployment of Košice with three of its models, so that the stored files stay small."""
    small = spec()
    catalogue = small.catalogue
    models = [model for model in catalogue["models"] if model["name"] in MODELS]
    adapters = [adapter for adapter in catalogue["adapters"] if adapter["model"] in MODELS][:1]
    small.catalogue = {**catalogue, "models": models, "adapters": adapters}
    return small


def folder_of(node: str) -> Path:
    """Returns the folder with the committed files of a node."""
    return STORED / node.split("-")[0] / node


def expected(node: str) -> dict:
    """Returns the expected content of a node's folder: {"records": {file: records}, "state": image}."""
    *lines, (_, state) = read_lines(f"expected-{node}.jsonl")
    records: dict[str, list] = {}
    for file, record in lines:
        records.setdefault(file, []).append(record)
    return {"records": records, "state": state}


def read_lines(name: str) -> list:
    """Returns the JSON values of a committed file, one per line."""
    return [json.loads(line) for line in (STORED / name).read_text().splitlines()]


def plain(value):
    """Returns the value after a JSON round trip, with lists for tuples."""
    return json.loads(msgspec.json.encode(value))


def snapshot_after(restored) -> dict:
    """Returns the image of the state after replaying a log's snapshot and the entries after it."""
    log, state = restored.log, State()
    if log.snapshot.number:
        state.restore(read_entry(log.snapshot.state))
    for number, entry in enumerate(log.entries, log.base + 1):
        state.apply(number, read_entry(entry))
    return state.snapshot()


def stored_fleet(seed: int) -> Deployment:
    """Starts three cores and one edge, each on the files that an earlier version wrote."""
    deployment = Deployment(small_spec(), seed, edges=1, data="data")
    for node in NODES:
        deployment.kill(node, writes_kept=0)
        disk = deployment.boxes[node].disk
        disk.wipe()
        for path in sorted(folder_of(node).iterdir()):
            disk.file_system.write_new(path.name, path.read_bytes())
        disk.file_system.sync_folder()
        deployment.start(node)
    return deployment
