"""Tests of the format of log lines."""

import io
import json

from sumachook.nodes.logs import Logs


def test_log_lines_are_json_with_the_component_as_prefix():
    """A log line is JSON and contains the component ahead of the sentence, the fields and the node's name."""
    stream = io.StringIO()
    Logs("n1", "info", stream).log("info", "ferry", "Request settled.", {"status": 200})
    line = json.loads(stream.getvalue())
    assert line["message"] == "ferry: Request settled." and line["status"] == 200 and line["node"] == "n1"
