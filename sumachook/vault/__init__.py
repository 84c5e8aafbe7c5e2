"""The append-only file of checksummed records."""
