"""Durable files of a node: record files, day logs and the queue of writes before them (design, section 13)."""
