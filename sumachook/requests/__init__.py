"""Code shared by the forwarding and inference pipelines of an edge: requests, server windows and quota charges."""
