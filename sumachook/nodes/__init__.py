"""Cores and edges, the two kinds of node, assembled from their components, and the daemon that runs them."""
