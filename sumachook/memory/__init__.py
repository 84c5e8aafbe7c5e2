"""The budget of bytes that a process holds for its peers (docs/design/memory.md)."""
