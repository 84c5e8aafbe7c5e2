"""A fuzzer for the forwarding path of an edge, over real sockets on loopback."""
