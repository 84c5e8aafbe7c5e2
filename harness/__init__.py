"""Real processes on loopback; outside the product, which starts no process."""
