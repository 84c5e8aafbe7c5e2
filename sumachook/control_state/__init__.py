"""The replicated control state, which every node computes by applying the same ordered log of changes."""
