"""The users' platform: its names stay in platform/, which hides no module of the library."""

import doctest
import importlib
import subprocess
import sys

import documents
import pytest

from tests.platform_adapters.platform_fixtures import (
    FOLDER,
    ROOT,
)


def test_nothing_outside_the_folder_knows_the_platforms_names():
    """Given the platform's headers, fields and calls, no source of the product has one of them."""
    names = {
        "sumachook-" + part
        for part in (
            "request-id",
            "deadline",
            "model",
            "token",
            "prompt",
            "expect",
            "urgency",
            "not-run",
            "server-seal",
            "cold-remaining",
            "base-version",
            "instance",
            "weight-versions",
        )
    }
    names |= {
        "configuration.replace",
        "configuration.update",
        "configuration.read",
        "evacuation.start",
        "evacuation.finish",
        "/instances",
        "next-token",
        "page-token",
        "instance-id",
        "call-sequence",
        "expected-count",
        "fence-number",
        "node-name",
        "ip-address",
        "listen-addresses",
        "seed-addresses",
        "internal-port-range",
        "first-start",
        "sumachook_node_file",
        "route-kind",
        "non_idempotent",
        '"idempotent"',
        "cold-remaining-ms",
        "cold-start-s",
        "load-time-s",
        "/etc/sumachook",
        '"draining"' + ":",
        "tolerated-losses",
    }
    tables = (
        documents.ROUTE_FIELDS,
        documents.SERVICE_FIELDS,
        documents.ENGINE_FIELDS,
        documents.MODEL_FIELDS,
        documents.LIMIT_FIELDS,
    )
    names |= {f'"{name}"' for table in tables for name in table if "-" in name}
    for file in (ROOT / "sumachook").rglob("*.py"):
        text = file.read_text().lower()
        assert [name for name in names if name in text] == [], file


def test_the_folder_hides_no_module_of_the_library():
    """Given the project's root first on the path, `import platform` is still the library's, in a process and here; no file of the
    folder has the name of a library module, since a node runs with the folder first on its path."""
    code = "import sys; sys.path.insert(0, sys.argv[1]); import platform; print(platform.python_implementation(), platform.__file__)"
    done = subprocess.run([sys.executable, "-c", code, str(ROOT)], cwd=ROOT, capture_output=True, text=True, timeout=20)
    assert done.stdout.startswith("CPython ") and str(ROOT) not in done.stdout.replace(sys.prefix, ""), done
    import platform

    assert platform.python_implementation() == "CPython"
    assert not {file.stem for file in FOLDER.iterdir()} & (
        set(sys.stdlib_module_names) | {"sumachook", "tests", "harness"}
    )
    assert not (FOLDER / "__init__.py").exists()


@pytest.mark.parametrize("name", sorted(file.stem for file in FOLDER.glob("*.py")))
def test_examples_in_the_folder_hold(name):
    """Given the doctests of the folder, which no run of the product's own collects, they pass."""
    assert doctest.testmod(importlib.import_module(name)).failed == 0
