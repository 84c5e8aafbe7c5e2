"""Thrift messages between the system's own processes."""
