"""The forwarding pipeline: proxies whole HTTP requests to the services behind routes (docs/design/forwarding.md)."""
