"""The inference pipeline of an edge: admission, queueing, server selection, retries and response streaming."""
