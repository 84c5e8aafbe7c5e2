"""Tests errors that the command line reports before a node starts."""

from sumachook.cli.node import NodeFlags, serve_node
from sumachook.nodes.serve import USAGE
from sumachook.storage.layout import LOG
from sumachook.storage.single_records import pack_record


def test_core_rejects_data_directory_of_another_node(tmp_path, capsys):
    """A core started with the data directory of another node exits with USAGE and names both nodes."""
    (tmp_path / LOG).write_bytes(pack_record(["seat", "core-2-0badcafe"]))
    flags = NodeFlags(
        node="core-1", address="127.0.0.1:1", door="127.0.0.1:2", area="a", seed=["127.0.0.1:3"], data=str(tmp_path)
    )
    try:
        serve_node(flags, "core", None)
    except SystemExit as end:
        assert end.code == USAGE
    assert "the folder belongs to voter 'core-2-0badcafe', not to node 'core-1'" in capsys.readouterr().err
