"""Network transport: Thrift messages between nodes, and the HTTP servers and clients of a node."""
