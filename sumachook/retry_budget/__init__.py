"""The retry budget that all edges share: what bounds resends, and how credit moves between edges (§7.7)."""
