"""A pytest plugin for CI that tolerates the test failures listed in KNOWN-RED.txt."""
