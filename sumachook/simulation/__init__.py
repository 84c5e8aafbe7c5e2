"""Stand-ins for what is outside, and the in-memory fleet."""
