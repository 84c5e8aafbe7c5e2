"""Runtime support of a process: clocks, the agreed cluster time, task supervision and attribute descriptors."""
