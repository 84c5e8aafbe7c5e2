"""Durable files of a node: record files, day logs and their write queue (design, section 13)."""
