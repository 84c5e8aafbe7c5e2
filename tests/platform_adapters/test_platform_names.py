"""Tests that platform names occur only in platform/, and that this folder shadows no standard library module."""

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


def test_platform_names_occur_only_in_the_platform_folder():
    """No source file of the sumachook package contains a header, field or call name of the platform."""
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


def test_platform_folder_does_not_shadow_standard_library_modules():
    """`import platform` imports the standard library module even with the project's root first on sys.path. A node runs with the
    folder first on sys.path, so no file in it may have the name of a standard library module."""
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
def test_doctests_in_the_platform_folder_pass(name):
    """Runs the doctests of platform/, which the default test run does not collect."""
    assert doctest.testmod(importlib.import_module(name)).failed == 0
