"""Names that code refers to by strings must exist, so that a rename fails here instead of giving an empty result."""

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
    """Yields all classes in the modules of the product."""
    for found in pkgutil.walk_packages(sumachook.__path__, "sumachook."):
        if not found.name.endswith("__main__"):
            module = importlib.import_module(found.name)
            yield from (kind for kind in vars(module).values() if isinstance(kind, type))


def _slots(kind):
    return {name for base in kind.__mro__ for name in getattr(base, "__slots__", ())}


@pytest.fixture(scope="module")
def deployment():
    """A simulated deployment of cores and one edge, run until the cores have a leader."""
    deployment = Deployment(DeploymentSpec(EXAMPLES / "kosice"), 1, edges=1)
    assert deployment.run_until(lambda: leader(deployment) is not None, 15)
    return deployment


def test_slots_named_by_descriptors_exist():
    """The slot name of each write-once or monotonic value is a slot of its class."""
    found = [
        (kind.__name__, value.slot_name, value.slot_name in _slots(kind))
        for kind in set(_classes())
        for value in vars(kind).values()
        if isinstance(value, (WriteOnce, MonotonicValue))
    ]
    assert len(found) >= 4 and all(exists for _, _, exists in found), found


def test_handlers_of_cores_and_edges_cover_exactly_the_kinds_of_messages_on_the_wire(deployment):
    """The message handlers of cores and edges together cover each kind of message on the wire and no other kind."""
    machines = [leader(deployment), *deployment.machines("edge")]
    taken = {kind for machine in machines for kind in machine.routing.message_handlers}
    assert {str(kind.__struct_config__.tag) for kind in taken} == set(FIELDS)


def test_every_host_event_has_a_handler_in_a_core_or_an_edge(deployment):
    """A core or an edge has a handler for each event that hosts and disks emit."""
    machines = [leader(deployment), *deployment.machines("edge")]
    taken = {kind for machine in machines for kind in machine.routing.event_handlers()}
    given = {kind for kind in vars(events).values() if isinstance(kind, type) and issubclass(kind, events.Event)}
    assert given - {events.Event, events.CallEvent} <= taken and DiskStateChanged in taken


def test_daemon_has_a_handler_for_every_host_effect():
    """A daemon with all sockets and a data folder has a handler for each host effect and for no other effect."""
    folder = DataFolder(SimulatedFileSystem(Random(1)))
    machine = SimpleNamespace(node="n", restart_epoch=1)
    daemon = Daemon(machine, Clock(), print, "127.0.0.1:1", "127.0.0.1:2", "c", folder, "127.0.0.1:3")
    assert set(daemon.effect_handlers) == HOST_EFFECTS
    declared = {kind for kind in vars(effects).values() if isinstance(kind, type) and issubclass(kind, effects.Effect)}
    assert declared - {effects.Effect} == HOST_EFFECTS


def test_components_whose_memory_is_measured_exist(deployment):
    """A node of each role has the components whose memory the capacity run measures."""
    for role, parts in host.PARTS.items():
        machines = deployment.machines(role)
        assert parts and machines
        assert [(role, part) for part in parts if not hasattr(machines[0], part)] == []


def test_message_kinds_assigned_to_a_mechanism_are_on_the_wire():
    """Each kind of message that is assigned to a mechanism exists on the wire and belongs to one mechanism only."""
    kinds = [kind for kinds in mechanism._KINDS.values() for kind in kinds.split()]
    assert kinds and len(kinds) == len(set(kinds)) and set(kinds) <= set(FIELDS)


def test_fields_excluded_from_explored_states_exist():
    """Each field that the exploration excludes from a state is a slot or field of some class of the product."""
    known = {name for kind in set(_classes()) for name in (*_slots(kind), *getattr(kind, "__struct_fields__", ()))}
    assert canonical.DERIVED <= known


def test_log_bound_applies_to_replicas_created_within_it():
    """Replicas created within a bound on log entries have this bound, and replicas created after it do not."""
    with observe.SnapshotBound(7):
        bounded = ControlDeployment(1, 3)
        bounded.run(0.5)
        assert {core.consensus.state.options.max_log_entries for core in bounded.cores()} == {7}
    plain = ControlDeployment(1, 3)
    plain.run(0.5)
    assert 7 not in {core.consensus.state.options.max_log_entries for core in plain.cores()}


def test_paths_named_in_pyproject_exist():
    """Each path and pattern in pyproject.toml for tests, type checks and lint exceptions matches at least one file."""
    root = Path(sumachook.__path__[0]).parent
    tool = tomllib.loads((root / "pyproject.toml").read_text())["tool"]
    patterns = [
        *tool["pytest"]["ini_options"]["testpaths"],
        *tool["mypy"]["files"],
        *tool["ruff"]["lint"].get("per-file-ignores", ()),
    ]
    assert patterns and [pattern for pattern in patterns if not any(root.glob(pattern))] == []
