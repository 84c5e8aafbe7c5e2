"""Names that code holds as strings: each is one that exists, so that a rename is seen here and not as an empty result."""

import importlib
import pkgutil
import tomllib
from pathlib import Path
from random import Random
from types import SimpleNamespace

import pytest

import sumachook
from harness.experiments.scale import host, mechanism
from harness.model_checking import canonical, observe
from harness.model_checking.control_deployment import ControlDeployment
from sumachook.host import effects, events
from sumachook.host.effects import HOST_EFFECTS
from sumachook.nodes.daemon import Daemon
from sumachook.runtime.clock import Clock
from sumachook.runtime.monotonic_value import MonotonicValue
from sumachook.runtime.write_once import WriteOnce
from sumachook.simulation.deployment import Deployment, DeploymentSpec
from sumachook.simulation.simulated_files import SimulatedFileSystem
from sumachook.storage.events import DiskStateChanged
from sumachook.storage.folder import DataFolder
from sumachook.transport.message_schemas import FIELDS
from tests.deployment_fixtures import EXAMPLES, leader


def _classes():
    """All classes of the product."""
    for found in pkgutil.walk_packages(sumachook.__path__, "sumachook."):
        if not found.name.endswith("__main__"):
            module = importlib.import_module(found.name)
            yield from (kind for kind in vars(module).values() if isinstance(kind, type))


def _slots(kind):
    return {name for base in kind.__mro__ for name in getattr(base, "__slots__", ())}


@pytest.fixture(scope="module")
def deployment():
    """A fleet of cores and edges whose cores have a leader."""
    deployment = Deployment(DeploymentSpec(EXAMPLES / "kosice"), 1, edges=1)
    assert deployment.run_until(lambda: leader(deployment) is not None, 15)
    return deployment


def test_slots_behind_descriptors_exist():
    """Given values that are kept once or only rise, the slot that each names is one of its class."""
    found = [
        (kind.__name__, value.slot_name, value.slot_name in _slots(kind))
        for kind in set(_classes())
        for value in vars(kind).values()
        if isinstance(value, (WriteOnce, MonotonicValue))
    ]
    assert len(found) >= 4 and all(exists for _, _, exists in found), found


def test_every_message_on_the_wire_is_taken_by_a_core_or_an_edge_and_no_other_is(deployment):
    """Given the tables by which cores and edges hand on messages, together they hold each kind on the wire, and nothing else."""
    machines = [leader(deployment), *deployment.machines("edge")]
    taken = {kind for machine in machines for kind in machine.routing.message_handlers}
    assert {str(kind.__struct_config__.tag) for kind in taken} == set(FIELDS)


def test_every_event_of_a_host_is_taken_by_a_core_or_an_edge(deployment):
    """Given all events that hosts and disks give, a core or an edge has a handler for each."""
    machines = [leader(deployment), *deployment.machines("edge")]
    taken = {kind for machine in machines for kind in machine.routing.event_handlers()}
    given = {kind for kind in vars(events).values() if isinstance(kind, type) and issubclass(kind, events.Event)}
    assert given - {events.Event, events.CallEvent} <= taken and DiskStateChanged in taken


def test_every_effect_of_a_host_is_carried_out_by_a_daemon():
    """Given all effects that hosts carry out, a daemon with every socket and a folder has a handler for each, and for no other."""
    folder = DataFolder(SimulatedFileSystem(Random(1)))
    machine = SimpleNamespace(node="n", restart_epoch=1)
    daemon = Daemon(machine, Clock(), print, "127.0.0.1:1", "127.0.0.1:2", "c", folder, "127.0.0.1:3")
    assert set(daemon.effect_handlers) == HOST_EFFECTS
    declared = {kind for kind in vars(effects).values() if isinstance(kind, type) and issubclass(kind, effects.Effect)}
    assert declared - {effects.Effect} == HOST_EFFECTS


def test_parts_whose_memory_is_measured_exist(deployment):
    """Given the parts of each role that the capacity run measures, a node of that role has them."""
    for role, parts in host.PARTS.items():
        machines = deployment.machines(role)
        assert parts and machines
        assert [(role, part) for part in parts if not hasattr(machines[0], part)] == []


def test_kinds_that_are_counted_to_a_mechanism_are_on_the_wire():
    """Given the kinds of messages by mechanism, each is sent by somebody, and is counted to that mechanism alone."""
    kinds = [kind for kinds in mechanism._KINDS.values() for kind in kinds.split()]
    assert kinds and len(kinds) == len(set(kinds)) and set(kinds) <= set(FIELDS)


def test_fields_left_out_of_a_state_exist():
    """Given the fields that the exploration leaves out of a state, each is one of some class of the product."""
    known = {name for kind in set(_classes()) for name in (*_slots(kind), *getattr(kind, "__struct_fields__", ()))}
    assert canonical.DERIVED <= known


def test_bound_on_logs_reaches_the_replicas():
    """Given a bound on the entries of a log, the replicas that are made within it have it, and those made later do not."""
    with observe.SnapshotBound(7):
        bounded = ControlDeployment(1, 3)
        bounded.run(0.5)
        assert {core.consensus.state.options.max_log_entries for core in bounded.cores()} == {7}
    plain = ControlDeployment(1, 3)
    plain.run(0.5)
    assert 7 not in {core.consensus.state.options.max_log_entries for core in plain.cores()}


def test_paths_that_the_project_file_names_exist():
    """Given the folders and patterns by which tests are found, types checked and lint rules excused, each names some file."""
    root = Path(sumachook.__path__[0]).parent
    tool = tomllib.loads((root / "pyproject.toml").read_text())["tool"]
    patterns = [
        *tool["pytest"]["ini_options"]["testpaths"],
        *tool["mypy"]["files"],
        *tool["ruff"]["lint"].get("per-file-ignores", ()),
    ]
    assert patterns and [pattern for pattern in patterns if not any(root.glob(pattern))] == []
